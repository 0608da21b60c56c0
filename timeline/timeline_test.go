package timeline

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"figbank/schema"
)

// fixedClock always returns the same time.
type fixedClock struct {
	now time.Time
}

func (c *fixedClock) Now() time.Time                       { return c.now }
func (c *fixedClock) After(time.Duration) <-chan time.Time { return nil }
func (c *fixedClock) Tick(time.Duration) (<-chan time.Time, func()) {
	return nil, func() {}
}

func TestMergeKeepsCauseBeforeEffect(t *testing.T) {
	noon := time.Unix(1_700_000_000, 0)
	// The sender's clock is ten seconds ahead of the receiver's.
	sender := NewRecorder("sender", &fixedClock{now: noon.Add(10 * time.Second)}, 16)
	receiver := NewRecorder("receiver", &fixedClock{now: noon}, 16)
	for i := range 3 {
		sender.Record(&schema.Event{Name: fmt.Sprintf("sent %d", i)})
		receiver.Observe(sender.Stamp())
		receiver.Record(&schema.Event{Name: fmt.Sprintf("received %d", i)})
		sender.Observe(receiver.Stamp())
	}
	var got []string
	for _, event := range Merge(receiver.Events(), sender.Events()) {
		got = append(got, event.GetName())
	}
	want := "sent 0,received 0,sent 1,received 1,sent 2,received 2"
	if strings.Join(got, ",") != want {
		t.Errorf("merged = %v, want %s", got, want)
	}
}

func TestRecorderKeepsNewest(t *testing.T) {
	recorder := NewRecorder("p", &fixedClock{}, 4)
	for i := range 10 {
		recorder.Record(&schema.Event{RequestId: fmt.Sprint(i)})
	}
	events := recorder.Events()
	if len(events) != 4 || events[0].GetRequestId() != "6" || events[3].GetRequestId() != "9" {
		t.Errorf("events = %v, want the newest four in order", events)
	}
}

func TestSelectAndWrite(t *testing.T) {
	events := []*schema.Event{
		{Stamp: &schema.Stamp{WallUnixNano: 1}, Process: "g", Name: "Received", RequestId: "r1"},
		{Stamp: &schema.Stamp{WallUnixNano: 2}, Process: "g", Name: "Received", RequestId: "<r2>"},
	}
	selected := Select(events, Filter{RequestID: "<r2>"})
	if len(selected) != 1 || selected[0] != events[1] {
		t.Errorf("Select() = %v, want the second event", selected)
	}
	var text, page bytes.Buffer
	if err := WriteText(&text, selected); err != nil || !strings.Contains(text.String(), "Request=<r2>") {
		t.Errorf("WriteText() wrote %q, error %v, want a line with Request=<r2>", text.String(), err)
	}
	if err := WriteHTML(&page, selected); err != nil || !strings.Contains(page.String(), "&lt;r2&gt;") {
		t.Errorf("WriteHTML(): error %v, want none and a page that contains the escaped request id", err)
	}
}
