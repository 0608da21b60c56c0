package engine

import (
	"context"
	"errors"
	"testing"
	"time"

	"figbank"
	"figbank/answers"
)

// An engine answers with a status line that is no final answer. The gateway cannot send such a
// status to its caller.
func TestAnswerWithoutAFinalStatusIsRefused(t *testing.T) {
	for _, status := range []string{"000 None", "007 Low", "101 Switching Protocols", "600 High", "999 High"} {
		t.Run(status, func(t *testing.T) {
			plain := NewPlain(endlessBackEnd(t, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n", ""))
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			answer, err := plain.Call(ctx, &figbank.ServiceRequest{ID: "r", Method: "POST", Path: "/"})
			if err == nil {
				_ = answer.Body.Close()
				t.Fatalf("Call() = status %d, want an error", answer.Status)
			}
			if !errors.As(err, new(figbank.ProtocolError)) {
				t.Errorf("Call() = %v, want ProtocolError", err)
			}
		})
	}
}

// The head of an engine's answer has a line whose name holds a blank. Its framing may be overlooked for it.
func TestAnswerWithANamelessFieldIsRefused(t *testing.T) {
	for _, fields := range []string{"Odd : x\r\nContent-Length: 0\r\n", "Transfer-Encoding : chunked\r\n", "Content Length: 3\r\n", "Odd: x\r\n Transfer-Encoding: chunked\r\n"} {
		for _, repeatable := range []bool{false, true} {
			plain := NewPlain(endlessBackEnd(t, "HTTP/1.1 200 OK\r\n"+fields+"\r\n", ""))
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			answer, err := plain.Call(ctx, &figbank.ServiceRequest{ID: "r", Method: "POST", Path: "/", Repeatable: repeatable})
			if err == nil {
				_ = answer.Body.Close()
			}
			if !errors.As(err, new(answers.FieldNameError)) || errors.As(err, new(figbank.NotRunError)) {
				t.Errorf("Call() = %v after %q, want FieldNameError", err, fields)
			}
			if _, err := plain.Status(ctx); !errors.As(err, new(answers.FieldNameError)) {
				t.Errorf("Status() = %v after %q, want FieldNameError", err, fields)
			}
		}
	}
}
