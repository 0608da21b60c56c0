package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"figbank"
	"figbank/answers"
	"figbank/memory"
)

const (
	// maxInlineBody is the largest body that is sent in one write with the head.
	maxInlineBody = 64 << 10
	// maxHeads limits how many heads are read for one request. All heads before the
	// final response are informational (1xx).
	maxHeads = 10
	// maxHeadBytes limits the bytes that are read for one request until the head of the
	// final response is complete.
	maxHeadBytes = 64 << 10
	// headShare is the memory that each head may take even if the budget is spent. Usual heads take less.
	headShare figbank.Bytes = 8 << 10
	// maxDiscard is the maximum number of bytes of an unwanted response that Discard reads,
	// discardTimeout the time that it waits for them.
	maxDiscard     = 4 << 10
	discardTimeout = 50 * time.Millisecond
)

type (
	// Call is one request to one upstream. Header is sent unchanged, in addition to
	// Host and Content-Length.
	Call struct {
		Address figbank.Address
		Method  string
		// Target is the target in the request line. It is sent unchanged.
		Target string
		Host   string
		Header http.Header
		Body   []byte
		// Close closes the connection after the response instead of keeping it.
		Close bool
		// MaySend is called once there is a connection. If it returns false, nothing is sent. It may be
		// nil.
		MaySend func() bool
	}

	// Answer is a response whose head has been read. Body must be closed. A body
	// that is neither chunked nor has a length ends with the connection.
	Answer struct {
		Status int
		Header http.Header
		// Length is -1 if the head does not contain the length.
		Length int64
		// Unframed is set if the body ends with the connection, so that its end does not prove that
		// it is complete.
		Unframed bool
		// Reused is set if the connection has carried a request before, so that the response may be
		// a late or repeated one to that request.
		Reused bool
		Body   io.ReadCloser
	}
)

// Exchange sends a request and returns when the head of the response has been
// read. An error of type NotRunError proves that no byte of the request was sent; its reason is
// UpstreamLeaving if MaySend forbade that.
// After any other error it is unknown whether the request ran. When ctx ends before
// the body has been read to its end, the connection is reset.
func (p *Pool) Exchange(ctx context.Context, call *Call) (*Answer, error) {
	c, err := p.get(ctx, call.Address)
	if err != nil {
		return nil, err
	}
	if call.MaySend != nil && !call.MaySend() {
		c.release()
		return nil, figbank.WrapError("upstream", "NotSent", figbank.NotRunError{Reason: figbank.ReasonUpstreamLeaving}, "address", call.Address)
	}
	stop := context.AfterFunc(ctx, c.reset)
	written := make(chan error, 1)
	if err := c.send(call, written); err != nil {
		stop()
		c.reset()
		return nil, connectionLost("Send", err, call)
	}
	held := p.memory.Reserve(memory.Event, headShare)
	response, err := c.receiveHead(call.Method, held) //nolint:bodyclose // the body is returned to the caller
	if err != nil {
		held.Release()
		stop()
		c.reset()
		return nil, connectionLost("Receive", err, call)
	}
	c.parseKeepAlive(response.Header.Get("Keep-Alive"))
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	b := &body{ReadCloser: response.Body, conn: c, reuse: framed && !response.Close && !call.Close, stop: stop, written: written, head: held}
	answer := &Answer{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, Unframed: !framed, Reused: c.used, Body: b}
	c.used = true
	if response.ContentLength == 0 {
		b.finish()
	}
	return answer, nil
}

// send writes the request. A large body is written in the background, since the upstream may
// respond before it has read the whole body. Unless send returns an error, written receives
// the result of writing the request.
func (c *conn) send(call *Call, written chan<- error) error {
	head := call.head()
	c.watched.BeginRequest()
	if len(call.Body) <= maxInlineBody {
		_, err := c.watched.Write(append(head, call.Body...))
		c.watched.EndRequest()
		written <- err
		return err
	}
	if _, err := c.watched.Write(head); err != nil {
		return err
	}
	go func() {
		_, err := c.watched.Write(call.Body)
		c.watched.EndRequest()
		written <- err
	}()
	return nil
}

// receiveHead reads the head of the final response and skips informational responses. All of
// them together may have maxHeadBytes, and must fit in held. A status that is none is a ProtocolError, a line that does not
// begin with a name an answers.FieldNameError.
func (c *conn) receiveHead(method string, held *memory.Reservation) (*http.Response, error) {
	c.heads.begin(maxHeadBytes, held)
	defer c.heads.end()
	c.watched.ExpectHead()
	for range maxHeads {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if c.heads.full {
			return nil, memory.FullError{}
		}
		if bad := c.watched.CheckHead(); bad != nil {
			return nil, bad
		}
		if err != nil {
			return nil, err
		}
		if !held.Fit(memory.HeaderSize(response.Header)) {
			return nil, memory.FullError{}
		}
		if figbank.IsFinalStatus(response.StatusCode) {
			return response, nil
		}
		if !figbank.IsInformationalStatus(response.StatusCode) {
			return nil, figbank.ProtocolError{Detail: "status " + strconv.Itoa(response.StatusCode) + " is no status of an answer"}
		}
	}
	return nil, figbank.ProtocolError{Detail: "upstream sent too many informational answers"}
}

// head returns the encoded request line and headers.
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

// connectionLost returns the error for a connection that failed, or is given up, after the request
// may have been sent.
func connectionLost(code string, err error, call *Call) error {
	var failure error = figbank.UnknownOutcomeError{Detail: "connection to the upstream was lost: " + err.Error()}
	var badName answers.FieldNameError
	switch {
	case errors.As(err, new(memory.FullError)):
		// The upstream is not to blame.
		failure = errors.Join(failure, memory.FullError{})
	case errors.As(err, &badName):
		// The connection was not lost, so that nothing is suspected of having crashed the upstream.
		failure = errors.Join(figbank.UnknownOutcomeError{Detail: "bytes of the upstream are no answer"}, badName)
	}
	return figbank.WrapError("upstream", code, failure, "address", call.Address)
}

// ReadAll reads the body of a response and closes it. A body longer than limit is
// an error.
func ReadAll(answer *Answer, limit int64) ([]byte, error) {
	defer answer.Body.Close()
	content, err := io.ReadAll(io.LimitReader(answer.Body, limit+1))
	if err != nil {
		return nil, figbank.IncompleteAnswerError{Detail: err.Error()}
	}
	if int64(len(content)) > limit {
		return nil, figbank.ProtocolError{Detail: "answer is longer than " + strconv.FormatInt(limit, 10) + " bytes"}
	}
	return content, nil
}

// Discard reads the rest of a response if it is short and arrives at once, so that the
// connection can be reused, and closes the body.
func Discard(answer *Answer) {
	if b, isBody := answer.Body.(*body); isBody {
		b.conn.limitReadTime(discardTimeout)
	}
	_, _ = io.CopyN(io.Discard, answer.Body, maxDiscard)
	_ = answer.Body.Close()
}
