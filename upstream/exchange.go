package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"figbank"
)

const (
	// inlineBody is the largest body that is sent in one write with the head.
	inlineBody = 64 << 10
	// headLimit bounds the informational answers before the real one.
	headLimit = 10
	// discardMost is how much of an unwanted answer is read.
	discardMost = 4 << 10
)

type (
	// Call is one request to one upstream. Header is sent as it is, besides Host
	// and Content-Length.
	Call struct {
		Address figbank.Address
		Method  string
		// Target is the request line's, unchanged.
		Target string
		Host   string
		Header http.Header
		Body   []byte
		// Once closes the connection after the answer instead of keeping it.
		Once bool
	}

	// Answer is the head of an answer. Body must be closed. A body without a
	// length ends with its connection.
	Answer struct {
		Status int
		Header http.Header
		// Length is -1 when the head does not tell.
		Length int64
		Body   io.ReadCloser
	}
)

// Exchange sends a request and returns once the head of its answer is there. An
// error of type NotRunError proves that no byte of the request was sent; any
// other leaves open whether it ran. When ctx ends, the connection is reset.
func (p *Pool) Exchange(ctx context.Context, call *Call) (*Answer, error) {
	c, err := p.get(ctx, call.Address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, c.reset)
	written := make(chan error, 1)
	if err := c.send(call, written); err != nil {
		stop()
		c.reset()
		return nil, lost("Send", err, call)
	}
	response, err := c.receiveHead(call.Method) //nolint:bodyclose // becomes the answer's body
	if err != nil {
		stop()
		c.reset()
		return nil, lost("Receive", err, call)
	}
	c.hearKeepAlive(response.Header.Get("Keep-Alive"))
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	b := &body{ReadCloser: response.Body, conn: c, reuse: framed && !response.Close && !call.Once, stop: stop, written: written}
	answer := &Answer{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, Body: b}
	if response.ContentLength == 0 {
		b.finish()
	}
	return answer, nil
}

// send writes the request; a long body goes on in the background, since the
// upstream may answer before it has read all of it.
func (c *conn) send(call *Call, written chan<- error) error {
	head := call.head()
	if len(call.Body) <= inlineBody {
		_, err := c.raw.Write(append(head, call.Body...))
		written <- err
		return err
	}
	if _, err := c.raw.Write(head); err != nil {
		return err
	}
	go func() {
		_, err := c.raw.Write(call.Body)
		written <- err
	}()
	return nil
}

// receiveHead skips informational answers.
func (c *conn) receiveHead(method string) (*http.Response, error) {
	for range headLimit {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, figbank.ProtocolError{Detail: "upstream sent too many informational answers"}
}

// head writes the request line and headers.
func (call *Call) head() []byte {
	var head bytes.Buffer
	head.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	_ = call.Header.Write(&head)
	if len(call.Body) > 0 || call.Method == http.MethodPost || call.Method == http.MethodPut {
		head.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	return head.Bytes()
}

func lost(code string, err error, call *Call) error {
	failure := figbank.UnknownOutcomeError{Detail: "connection to the upstream was lost: " + err.Error()}
	return figbank.Fail("upstream", code, failure, "address", call.Address)
}

// ReadAll reads a small answer to its end.
func ReadAll(answer *Answer, limit int64) ([]byte, error) {
	defer answer.Body.Close()
	content, err := io.ReadAll(io.LimitReader(answer.Body, limit+1))
	if err != nil {
		return nil, figbank.CutAnswerError{Detail: err.Error()}
	}
	if int64(len(content)) > limit {
		return nil, figbank.ProtocolError{Detail: "answer is longer than " + strconv.FormatInt(limit, 10) + " bytes"}
	}
	return content, nil
}

// Discard reads what little is left of an answer, so that its connection can be
// used again, and closes it.
func Discard(answer *Answer) {
	_, _ = io.CopyN(io.Discard, answer.Body, discardMost)
	_ = answer.Body.Close()
}
