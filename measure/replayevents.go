package measure

import "time"

type (
	replayEvent struct {
		at     time.Duration
		number int
		act    func()
	}

	replayEvents []replayEvent
)

func (e replayEvents) Len() int { return len(e) }
func (e replayEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].number < e[j].number
}
func (e replayEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event, for package heap.
func (e *replayEvents) Push(x any) { *e = append(*e, x.(replayEvent)) } //nolint:forcetypeassert // nothing else is pushed

// Pop removes the last event, for package heap.
func (e *replayEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
