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

// Summary holds the results of a demo.
type Summary struct {
	// Hosts is the number of model hosts.
	Hosts int
	// HostsWhole is the number of model hosts that hold exactly the declared weights.
	HostsWhole int
	// Size is the size of the weights.
	Size figbank.Bytes
	// Whole holds, for each host, the time from publication until it had all weights. The times
	// are sorted.
	Whole []time.Duration
	// Serving is the time from publication until all hosts served the weights.
	Serving time.Duration
	// OriginBytes is how much the origin has sent.
	OriginBytes figbank.Bytes
	// Misplaced counts calls that ran in the drained failure domain after drainGrace.
	Misplaced int
	// Return is the time from the declaration that brought the drained domain back until an
	// upstream in that domain got a call.
	Return time.Duration
	// DoubleRuns counts bookings that ran more than once.
	DoubleRuns int
	Outcomes   *Outcomes
	// MemoryPeak is the peak resident size of this process, or 0 if it is unknown.
	MemoryPeak figbank.Bytes
}

// Passed reports whether every check succeeded: all hosts hold exactly the declared weights, no
// call ran in the drained domain after drainGrace, no booking ran more than once, and Outcomes
// counts no failure.
func (s *Summary) Passed() bool {
	return s.HostsWhole == s.Hosts && s.Misplaced == 0 && s.DoubleRuns == 0 && s.Outcomes.passed()
}

// Print writes the summary as a table.
func (s *Summary) Print(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name, format string, values ...any) {
		fmt.Fprintf(table, "%s\t%s\n", name, fmt.Sprintf(format, values...))
	}
	fmt.Fprintln(w)
	row("Hosts with correct weights", "%d of %d, byte for byte", s.HostsWhole, s.Hosts)
	if n := len(s.Whole); n > 0 {
		row("Time until one, half, all had the weights", "%s, %s, %s", roundToTenths(s.Whole[0]), roundToTenths(s.Whole[(n-1)/2]), roundToTenths(s.Whole[n-1]))
	}
	row("Time until all served them", "%s", roundToTenths(s.Serving))
	row("Read from the origin", "%.2f copies of %s", float64(s.OriginBytes)/float64(max(1, s.Size)), sizeText(s.Size))
	o := s.Outcomes
	row("Complete and correct answers", "%d", o.Answered)
	row("Bookings replayed under their key", "%d", o.Replayed)
	row("Refused attempts", "%s", refusedText(o.Refused))
	row("Requests lost, cut off, unknown", "%d, %d, %d", o.Lost, o.Incomplete, o.Unknown)
	row("Wrong text, wrong version", "%d, %d", o.WrongText, o.WrongVersion)
	row("False \"not run\"", "%d", o.FalseNotRun)
	row("Bookings run more than once", "%d", s.DoubleRuns)
	row("Calls in the drained domain after 3 s", "%d", s.Misplaced)
	row("Time until it got calls again", "%s", roundToTenths(s.Return))
	if n := len(o.Latencies); n > 0 {
		slices.Sort(o.Latencies)
		row("Request time, median and 95th percentile", "%s, %s", o.Latencies[n/2].Round(time.Millisecond), o.Latencies[n*95/100].Round(time.Millisecond))
	}
	row("Peak memory", "%s", sizeText(s.MemoryPeak))
	row("Every promise held", "%t", s.Passed())
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

func roundToTenths(d time.Duration) string {
	return d.Round(100 * time.Millisecond).String()
}

func sizeText(size figbank.Bytes) string {
	return humanize.IBytes(uint64(max(0, size)))
}

func sizeOf(manifest *schema.Manifest) figbank.Bytes {
	return weights.Size(manifest)
}

// peakMemory returns the peak resident size of this process, or 0 if the system does not
// report it.
func peakMemory() figbank.Bytes {
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
