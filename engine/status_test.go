package engine

import (
	"context"
	"errors"
	"testing"
	"time"

	"figbank"
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
