package demo

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"figbank"
	"figbank/schema"
	"figbank/weights"

	"github.com/dustin/go-humanize"
)

// Summary is what a demo found.
type Summary struct {
	Hosts      int
	HostsWhole int
	Size       figbank.Bytes
	// Whole are the times from publishing until each host had the weights, sorted.
	Whole []time.Duration
	// Serving is the time until all served them.
	Serving     time.Duration
	OriginBytes figbank.Bytes
	// Misplaced are calls run in the pulled domain after the grace.
	Misplaced  int
	Return     time.Duration
	DoubleRuns int
	Outcomes   *Outcomes
	MemoryPeak figbank.Bytes
}

// Kept tells whether every promise held.
func (s *Summary) Kept() bool {
	return s.HostsWhole == s.Hosts && s.Misplaced == 0 && s.DoubleRuns == 0 && s.Outcomes.kept()
}

// Print writes the summary as a table.
func (s *Summary) Print(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name, format string, values ...any) {
		fmt.Fprintf(table, "%s\t%s\n", name, fmt.Sprintf(format, values...))
	}
	fmt.Fprintln(w)
	row("Hosts whole", "%d of %d, byte for byte", s.HostsWhole, s.Hosts)
	if n := len(s.Whole); n > 0 {
		row("Time to 1, half, all whole", "%s, %s, %s", tenths(s.Whole[0]), tenths(s.Whole[(n-1)/2]), tenths(s.Whole[n-1]))
	}
	row("Time to all serving", "%s", tenths(s.Serving))
	row("Drawn from the origin", "%.2f copies of %s", float64(s.OriginBytes)/float64(max(1, s.Size)), sizeText(s.Size))
	o := s.Outcomes
	row("Answers whole and true", "%d", o.Answered)
	row("Answers given again under their key", "%d", o.Replayed)
	row("Tries refused as not run", "%s", refusedText(o.Refused))
	row("Requests lost, cut, unknown", "%d, %d, %d", o.Lost, o.Cut, o.Unknown)
	row("Wrong text, wrong version", "%d, %d", o.WrongText, o.WrongVersion)
	row("False \"not run\"", "%d", o.FalseNotRun)
	row("Double runs", "%d", s.DoubleRuns)
	row("Calls in the pulled domain after 3 s", "%d", s.Misplaced)
	row("Time until it worked again", "%s", tenths(s.Return))
	if n := len(o.Latencies); n > 0 {
		slices.Sort(o.Latencies)
		row("Request time, median and 95th percentile", "%s, %s", o.Latencies[n/2].Round(time.Millisecond), o.Latencies[n*95/100].Round(time.Millisecond))
	}
	row("Memory peak", "%s", sizeText(s.MemoryPeak))
	row("Every promise held", "%t", s.Kept())
	_ = table.Flush()
	for _, note := range o.Notes {
		fmt.Fprintln(w, "note:", note)
	}
}

func refusedText(refused map[string]int) string {
	if len(refused) == 0 {
		return "0"
	}
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(refused)) {
		parts = append(parts, fmt.Sprintf("%d %s", refused[reason], reason))
	}
	return strings.Join(parts, ", ")
}

func tenths(d time.Duration) string {
	return d.Round(100 * time.Millisecond).String()
}

func sizeText(size figbank.Bytes) string {
	return humanize.IBytes(uint64(max(0, size)))
}

func sizeOf(manifest *schema.Manifest) figbank.Bytes {
	return weights.Size(manifest)
}

// memoryPeak is this process's largest resident size, 0 where the system does
// not tell.
func memoryPeak() figbank.Bytes {
	content, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		fields := strings.Fields(line)
		if len(fields) >= 2 && fields[0] == "VmHWM:" {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			return figbank.Bytes(kilobytes << 10)
		}
	}
	return 0
}
