package gateway

import (
	"context"
	"runtime"
	"strconv"
	"testing"
	"time"

	"figbank"
	"figbank/schema"
)

// A process announces calls with long bodies and sends none of them. The agent must not take the memory
// for them before they arrive.
func TestAnnouncedBodyTakesNoMemoryBeforeItArrives(t *testing.T) {
	const calls, length, maxHeld = 8, 64 << 20, 16 << 20
	h := newHarness(t, nil)
	h.declare(plain(true))
	_, service := newBackend(t, answerOK)
	h.addAgent(service, calls)
	address := figbank.Address(h.agents[0].Record().GetAddress())
	var before, now runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range calls {
		stream, err := h.pool.Open(context.Background(), address, schema.StreamKind_STREAM_KIND_CALL)
		if err != nil {
			t.Fatal(err)
		}
		defer stream.Close()
		head := &schema.CallHead{Service: "s", Method: "POST", Path: []byte("/x"), Cost: 1, BodyLength: length, Credit: 1 << 10, TimeoutMilliseconds: 10_000}
		if err := stream.Send(&schema.CallFrame{RequestId: strconv.Itoa(i), Frame: &schema.CallFrame_Head{Head: head}}); err != nil {
			t.Fatal(err)
		}
	}
	h.waitFor("the calls to run", func() bool { return h.agents[0].Record().GetInUse() == calls })
	time.Sleep(100 * time.Millisecond)
	runtime.GC()
	runtime.ReadMemStats(&now)
	if held := now.HeapAlloc - min(now.HeapAlloc, before.HeapAlloc); held > maxHeld {
		t.Errorf("held %d bytes for %d announced bodies, want at most %d", held, calls, maxHeld)
	}
}
