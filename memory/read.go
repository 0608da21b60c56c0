package memory

import (
	"errors"
	"io"

	"figbank"
)

// firstRead is the size of the first buffer in bytes.
const firstRead = 4 << 10

// FullError reports that the budget has no room for more bytes.
type FullError struct{}

// Error describes the failure.
func (FullError) Error() string { return "no memory is left for more bytes" }

// ReadAll reads to the end of source, or until it has more than limit bytes, and reserves memory as
// they arrive. length is the expected number of bytes, negative if it is unknown. After an error,
// FullError if there is no memory left, it returns what it has read.
func (r *Reservation) ReadAll(source io.Reader, length, limit figbank.Bytes) ([]byte, error) {
	var content []byte
	for figbank.Bytes(len(content)) <= limit {
		if len(content) == cap(content) {
			size := nextSize(figbank.Bytes(cap(content)), length, limit)
			if !r.Fit(size) {
				return content, FullError{}
			}
			content = append(make([]byte, 0, size), content...)
		}
		n, err := source.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		if errors.Is(err, io.EOF) {
			return content, nil
		}
		if err != nil {
			return content, err
		}
	}
	return content, nil
}

// nextSize returns the size of the buffer that follows a full one. One byte more than expected lets
// the end of the source be read.
func nextSize(size, length, limit figbank.Bytes) figbank.Bytes {
	next := max(firstRead, 2*size)
	if length >= size {
		next = min(next, length+1)
	}
	return min(next, limit+1)
}
