package feed

import "time"

// crossingDelay is how long a replica waits before it sends the fleet state to a process in another region. Most
// have it by then from a replica of their own region, and links between regions are narrow.
const crossingDelay = 150 * time.Millisecond

// crossing decides when a fleet state is sent to one process in another region. Its zero value is ready for use.
type crossing struct {
	// index is that of a fleet state that the process lacked at since. It is 0 while it lacks none.
	index uint64
	since time.Time
}

// wait returns for how long the newest fleet state is not sent yet to a process that has told that it has known.
func (c *crossing) wait(now time.Time, newest, known uint64) time.Duration {
	if c.index <= known {
		c.index, c.since = newest, now
	}
	return max(0, c.since.Add(crossingDelay).Sub(now))
}
