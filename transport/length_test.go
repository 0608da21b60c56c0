package transport

import (
	"net"
	"runtime"
	"testing"
	"time"

	"figbank/clock"
	"figbank/schema"

	"github.com/hashicorp/yamux"
)

// A peer in trouble announces long messages on many streams and sends few of their bytes. The process
// must not take the memory for them before they arrive.
func TestAnnouncedMessageTakesNoMemoryBeforeItArrives(t *testing.T) {
	const streams, maxHeld = 40, 16 << 20
	for _, opened := range []bool{false, true} {
		name := "before the stream is opened"
		if opened {
			name = "on an open stream"
		}
		t.Run(name, func(t *testing.T) {
			_, address, _ := newPair(t, echo)
			conn, err := net.Dial("tcp", string(address))
			if err != nil {
				t.Fatal(err)
			}
			peer, err := newSession(clock.System{}, conn, yamux.Client, defaultProbes)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = peer.Close() }()
			var before, now runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for range streams {
				raw, err := peer.OpenStream()
				if err != nil {
					t.Fatal(err)
				}
				if opened {
					if err := newStream(raw).Send(&schema.StreamOpen{Kind: kind, From: "peer"}); err != nil {
						t.Fatal(err)
					}
				}
				// The length of a message of 16 MiB, and its first bytes.
				if _, err := raw.Write(append([]byte{0x80, 0x80, 0x80, 0x08}, make([]byte, 2*readBuffer)...)); err != nil {
					t.Fatal(err)
				}
			}
			var held uint64
			for range 10 {
				time.Sleep(20 * time.Millisecond)
				runtime.GC()
				runtime.ReadMemStats(&now)
				held = max(held, now.HeapAlloc-min(now.HeapAlloc, before.HeapAlloc))
			}
			if held > maxHeld {
				t.Errorf("held %d bytes for %d announced messages, want at most %d", held, streams, maxHeld)
			}
		})
	}
}
