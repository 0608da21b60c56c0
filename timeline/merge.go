package timeline

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"figbank"
	"figbank/schema"
)

// Filter selects the events that match all its fields. An empty field matches all events.
type Filter struct {
	RequestID string
	Chunk     string
	Upstream  string
}

// Before reports whether a is earlier than b in hybrid logical time.
func Before(a, b *schema.Stamp) bool {
	return compareStamps(a, b) < 0
}

// Merge returns the events of several processes, ordered by stamp and then by process.
func Merge(lists ...[]*schema.Event) []*schema.Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, func(a, b *schema.Event) int {
		return cmp.Or(compareStamps(a.GetStamp(), b.GetStamp()), cmp.Compare(a.GetProcess(), b.GetProcess()))
	})
	return merged
}

// Select returns the events that match a filter.
func Select(events []*schema.Event, filter Filter) []*schema.Event {
	return slices.DeleteFunc(slices.Clone(events), func(e *schema.Event) bool {
		return !matches(filter.RequestID, e.GetRequestId()) ||
			!matches(filter.Chunk, e.GetChunk()) ||
			!matches(filter.Upstream, e.GetUpstream())
	})
}

// WriteText writes one line of text for each event.
func WriteText(w io.Writer, events []*schema.Event) error {
	for _, event := range events {
		if _, err := fmt.Fprintln(w, textLine(event)); err != nil {
			return figbank.WrapError("timeline", "WriteText", err)
		}
	}
	return nil
}

func textLine(event *schema.Event) string {
	stamp := event.GetStamp()
	at := time.Unix(0, stamp.GetWallUnixNano()).UTC().Format("15:04:05.000000")
	line := fmt.Sprintf("%s+%d %-14s %-11s %-18s", at, stamp.GetCounter(), event.GetProcess(), event.GetPart(), event.GetName())
	fields := []struct{ name, value string }{
		{"Request", event.GetRequestId()},
		{"Chunk", event.GetChunk()},
		{"Upstream", event.GetUpstream()},
		{"Detail", event.GetDetail()},
	}
	for _, field := range fields {
		if field.value != "" {
			line += fmt.Sprintf(" %s=%s", field.name, field.value)
		}
	}
	if event.GetCommitIndex() != 0 {
		line += fmt.Sprintf(" CommitIndex=%d", event.GetCommitIndex())
	}
	return strings.TrimRight(line, " ")
}

func matches(wanted, value string) bool {
	return wanted == "" || wanted == value
}

func compareStamps(a, b *schema.Stamp) int {
	return cmp.Or(
		cmp.Compare(a.GetWallUnixNano(), b.GetWallUnixNano()),
		cmp.Compare(a.GetCounter(), b.GetCounter()),
	)
}
