package transfer

import (
	"time"

	"figbank"
)

// received is the content that a peer has sent in parts.
type received struct {
	content []byte
	// firstBytes is the length of the first part, which arrived at firstAt. lastAt is when the
	// last part arrived.
	firstBytes      int
	firstAt, lastAt time.Time
	// concurrent is the largest number of answers that arrived at the same time, with this one.
	concurrent int
}

// add appends a part that has arrived while the given number of answers share the link.
func (r *received) add(now time.Time, part []byte, concurrent int) {
	r.concurrent = max(r.concurrent, concurrent)
	if r.firstAt.IsZero() {
		r.firstAt, r.firstBytes = now, len(part)
	}
	r.lastAt = now
	r.content = append(r.content, part...)
}

// afterFirstPart returns how many bytes arrived after the first part, and in which time. The
// time until the first part shows nothing about the link, since a busy peer lets requests wait.
// If there is only one part, afterFirstPart returns the whole content and the given time.
func (r *received) afterFirstPart(whole time.Duration) (figbank.Bytes, time.Duration) {
	if len(r.content) == r.firstBytes {
		return figbank.Bytes(len(r.content)), whole
	}
	return figbank.Bytes(len(r.content) - r.firstBytes), r.lastAt.Sub(r.firstAt)
}
