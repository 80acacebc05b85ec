package serverconn

import (
	"io"
	"net"
	"testing"
	"time"

	"cassiatray/internal/port"
)

// TestAnswerCutInItsHead guards against a success with a short body, framed as whole, for an
// answer whose head breaks off: it is cut at every byte, by servers that then close.
func TestAnswerCutInItsHead(t *testing.T) {
	for name, text := range map[string]string{
		"with a length":    "HTTP/1.1 200 OK\r\nId: 1\r\nX: y\r\nContent-Length: 12\r\n\r\n",
		"in chunks":        "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"without a length": "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\n",
		"length first":     "HTTP/1.1 200 OK\nContent-Length: 0\nId: 1\n\n",
		"refusal":          "HTTP/1.1 503 X\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for cut := range len(text) {
				address := serveOnce(t, text[:cut])
				p := New(dialect{})
				a, err := forward(p, address, "1")
				if err == nil {
					t.Fatalf("cut after %q: answer %d with body %q", text[:cut], a.Status, a.Body)
				}
				if be := as(t, err); be.Code != port.BackendBroken || !be.Sent {
					t.Errorf("cut after %q: %v", text[:cut], err)
				}
				if _, status, err := p.Probe(t.Context(), serveOnce(t, text[:cut]), "/"); err == nil {
					t.Errorf("health check, cut after %q: status %d", text[:cut], status)
				}
			}
		})
	}
}

// serveOnce reads what comes on one connection, answers a text and closes.
func serveOnce(t *testing.T, text string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		defer l.Close()
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		// The whole request is read, so that the close is not a reset.
		if _, err := c.Read(make([]byte, 4<<10)); err != nil {
			return
		}
		io.WriteString(c, text)
		c.(*net.TCPConn).CloseWrite()
		io.Copy(io.Discard, c)
	}()
	return l.Addr().String()
}
