package callerhttp

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"cassiatray/api"
)

// pipes is a listener whose connections are in memory.
type pipes struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	close(p.closed)
	return nil
}

func (p *pipes) Addr() net.Addr { return new(net.IPAddr) }

// TestSlowSender checks, on virtual time, how long a caller may take over its
// headers and its body, and that its connection is let go after that.
func TestSlowSender(t *testing.T) {
	for name, c := range map[string]struct {
		sent  string
		limit time.Duration
		code  api.Code
	}{
		"headers": {"GET /v1/request/orders/stock/1 HTTP/1.1\r\nHost: x\r\nX: ", headerTimeout, api.CodeBadRequest},
		"body":    {"POST /v1/request/orders/stock/1" + host + "Content-Length: 9\r\n\r\nx", bodyTimeout, api.CodeBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &pipes{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
				l := NewListener(p, 8, 8)
				srv := NewServer(NewHandler(new(fake), "a-1"), nil, 0)
				go srv.Serve(l)
				near, far := net.Pipe()
				p.conns <- far
				start := time.Now()
				io.WriteString(near, c.sent)
				code := readCode(near)
				if took := time.Since(start); took < c.limit || took > c.limit+time.Second || code != c.code {
					t.Errorf("ended after %s with code %q", took, code)
				}
				near.Close()
				srv.Close()
				synctest.Wait()
				if l.total != 0 || len(l.sources) != 0 {
					t.Errorf("%d connections are still counted", l.total)
				}
			})
		})
	}
}

// readCode returns the code of the failure that is answered, if any.
func readCode(c net.Conn) api.Code {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	var e api.Error
	json.NewDecoder(resp.Body).Decode(&e)
	return e.Code
}
