package answers

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// A server answers with a field whose name holds a blank, and net/http keeps the connection for the next request.
func TestTransportRefusesNamesThatAreNone(t *testing.T) {
	for _, rest := range []string{"Odd : x\r\nContent-Length: 0\r\n\r\n", "Odd x: x\r\nContent-Length: 3\r\n\r\nabc", "Content-Length : 3\r\n\r\nabc", "A: b\r\n Content-Length: 3\r\n\r\nabc"} {
		t.Run(rest, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			connections := atomic.Int64{}
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					connections.Add(1)
					go func() {
						defer func() { _ = conn.Close() }()
						reader := bufio.NewReader(conn)
						for {
							if _, err := http.ReadRequest(reader); err != nil {
								return
							}
							_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+rest)
						}
					}()
				}
			}()
			client := &http.Client{Transport: NewTransport(&http.Transport{})}
			const requests = 5
			for range requests {
				request, _ := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+listener.Addr().String(), strings.NewReader("body"))
				response, err := client.Do(request)
				if err == nil {
					_ = response.Body.Close()
				}
				if !errors.As(err, new(FieldNameError)) {
					t.Errorf("Do() = %v, want FieldNameError", err)
				}
			}
			if got := connections.Load(); got != requests {
				t.Errorf("%d connections for %d requests, want one each", got, requests)
			}
		})
	}
}
