package timeline

import (
	"context"
	"sync"
	"time"

	"figbank"
	"figbank/schema"
	"figbank/transport"
)

// gatherTimeout limits how long Gather waits for the answers of other processes.
const gatherTimeout = 3 * time.Second

// Serve handles a stream on which another process requests the recorder's events.
func (r *Recorder) Serve(_ context.Context, _ figbank.ProcessID, stream *transport.Stream) {
	if err := stream.Receive(&schema.InspectRequest{}); err != nil {
		return
	}
	_ = stream.Send(&schema.InspectAnswer{Process: string(r.process), Events: r.Events()})
}

// Gather merges this process's events with those of the processes at addresses. It omits
// processes that fail to answer within gatherTimeout.
func (r *Recorder) Gather(ctx context.Context, pool *transport.Pool, addresses []figbank.Address) []*schema.Event {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	var mu sync.Mutex
	lists := [][]*schema.Event{r.Events()}
	var group sync.WaitGroup
	for _, address := range addresses {
		group.Go(func() {
			answer := &schema.InspectAnswer{}
			request := &schema.InspectRequest{Timeline: true}
			if _, err := pool.Call(ctx, address, schema.StreamKind_STREAM_KIND_INSPECT, request, answer); err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			lists = append(lists, answer.GetEvents())
		})
	}
	group.Wait()
	return Merge(lists...)
}
