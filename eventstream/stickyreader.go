package eventstream

import "io"

// stickyReader reads until the first error and then repeats it. A connection reports a reset once and
// then its end, and bufio.Reader reports an error of its source once too, also to a Peek.
type stickyReader struct {
	source io.Reader
	err    error
}

// Read reads from the source.
func (r *stickyReader) Read(buffer []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.source.Read(buffer)
	r.err = err
	return n, err
}
