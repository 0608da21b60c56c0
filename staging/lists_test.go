package staging

import (
	"context"
	"encoding/hex"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"figbank"
	"figbank/clock"
	"figbank/schema"
	"figbank/swarm"

	"go.uber.org/zap"
)

type (
	// listOrigin hands out digests, and counts how often. spoils is the number of the answer that is wrong.
	listOrigin struct {
		Origin
		mu     sync.Mutex
		asked  int
		spoils int
	}

	// listHosts are the hosts of one deployment.
	listHosts struct {
		origin *listOrigin
		hosts  []swarm.Peer
		lists  map[figbank.Address]*Lists
		// silent hosts do not answer others.
		silent func(figbank.Address) bool
	}
)

var listSource = Source{Address: "origin:1", Model: "m", Version: 2}

func digestsOf(fill byte) Digests {
	digest := hex.EncodeToString([]byte(strings.Repeat(string(rune(fill)), 32)))
	return Digests{PieceBytes: 16, SHA256: []string{digest, digest}}
}

func (o *listOrigin) Digests(context.Context, Source) (Digests, error) {
	time.Sleep(10 * time.Millisecond)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.asked++
	if o.asked == o.spoils {
		return digestsOf('x'), nil
	}
	return digestsOf('a'), nil
}

// newListHosts returns hosts in three regions.
func newListHosts(t *testing.T, count, spoils int) *listHosts {
	t.Helper()
	h := &listHosts{origin: &listOrigin{spoils: spoils}, lists: map[figbank.Address]*Lists{}, silent: func(figbank.Address) bool { return false }}
	for i := range count {
		region := fmt.Sprintf("r%d", i%3)
		peer := swarm.Peer{ID: figbank.ProcessID(fmt.Sprintf("h%d", i)), Address: figbank.Address(fmt.Sprintf("h%d:1", i)), Region: figbank.Region(region)}
		h.hosts, h.lists[peer.Address] = append(h.hosts, peer), NewLists()
	}
	return h
}

func (h *listHosts) ask(ctx context.Context, address figbank.Address, request *schema.DigestsRequest) (*schema.DigestsAnswer, error) {
	if h.silent(address) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(2 * time.Millisecond)
	return h.lists[address].answer(request), nil
}

// find lets all hosts that answer look for the digests at once. It returns how many found the right ones, and after how long
// the last of them.
func (h *listHosts) find(t *testing.T) (right int, last time.Duration) {
	t.Helper()
	began := time.Now()
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, host := range h.hosts {
		if h.silent(host.Address) {
			continue
		}
		group.Go(func() {
			search := &listSearch{
				common: figbank.Common{Log: zap.NewNop(), Clock: clock.System{}}, origin: h.origin, lists: h.lists[host.Address], asks: h.ask, self: host, source: listSource,
			}
			list, err := search.find(t.Context(), h.hosts)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && list.digests.SHA256[0] == digestsOf('a').SHA256[0] {
				right++
				last = max(last, time.Since(began))
			}
		})
	}
	group.Wait()
	return right, last
}

// A version is named while ninety hosts run. If each asked the origin for the digests, they would take as much of its link as
// a third of the pieces.
func TestFewHostsAskTheOriginForDigests(t *testing.T) {
	scenarios := []struct {
		name      string
		spoils    int
		silent    int
		wantAsked int
		wantIn    time.Duration
	}{
		{name: "all answer", wantAsked: 9, wantIn: 300 * time.Millisecond},
		{name: "one list is spoilt", spoils: 1, wantAsked: 45, wantIn: 700 * time.Millisecond},
		{name: "a fifth of the hosts do not answer", silent: 5, wantAsked: 12, wantIn: 1500 * time.Millisecond},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newListHosts(t, 90, s.spoils)
				want := 90
				if s.silent > 0 {
					h.silent = func(address figbank.Address) bool {
						return swarm.HashOf(figbank.ProcessID(address))%uint64(s.silent) == 0
					}
					want = 0
					for address := range h.lists {
						if !h.silent(address) {
							want++
						}
					}
				}
				right, last := h.find(t)
				if right != want || last > s.wantIn {
					t.Errorf("%d of %d hosts have the right digests, the last after %v, want all within %v", right, want, last, s.wantIn)
				}
				if h.origin.asked > s.wantAsked {
					t.Errorf("the origin was asked %d times, want at most %d", h.origin.asked, s.wantAsked)
				}
			})
		})
	}
}
