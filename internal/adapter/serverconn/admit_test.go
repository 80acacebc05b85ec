package serverconn

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"cassiatray/internal/port"
)

// countingConn counts the bytes that are written to a connection.
type countingConn struct {
	net.Conn
	written *atomic.Int64
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// Guards against a request that is sent although it was withdrawn while its connection was opened,
// and against connections that are lost, or used beyond their time, by a request that is withdrawn.
func TestWithdrawnRequestsSendNothing(t *testing.T) {
	s := serve(t, func(int) string {
		return "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=10\r\nContent-Length: 2\r\n\r\nok"
	})
	p := New(dialect{})
	defer p.Close()
	var written, dialed atomic.Int64
	dial := p.dial
	p.dial = func(ctx context.Context, address string) (net.Conn, error) {
		c, err := dial(ctx, address)
		dialed.Add(1)
		return countingConn{c, &written}, err
	}
	send := func(admit func() error) (*port.ForwardAnswer, error) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		return p.Forward(ctx, s.address, &port.ForwardRequest{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, ID: "1", Admit: admit})
	}
	idle := func() []*conn {
		p.mu.Lock()
		defer p.mu.Unlock()
		return slices.Clone(p.idle[s.address])
	}
	refusal := errors.New("not any more")
	asked := 0
	withdraw := func() {
		t.Helper()
		before := written.Load()
		_, err := send(func() error {
			asked++
			if dialed.Load() == 0 {
				t.Error("asked before there was a connection")
			}
			return refusal
		})
		if be := as(t, err); be.Code != port.BackendWithdrawn || be.Sent || !errors.Is(err, refusal) {
			t.Errorf("error %v, want withdrawn and not sent", err)
		}
		if sent := written.Load() - before; sent != 0 {
			t.Errorf("%d bytes sent", sent)
		}
	}
	serveOne := func() {
		t.Helper()
		if _, err := send(func() error { asked++; return nil }); err != nil {
			t.Fatal(err)
		}
	}
	// A new connection, and then the one that is kept from it.
	withdraw()
	serveOne()
	if dialed.Load() != 1 || asked != 2 {
		t.Errorf("%d connections opened for one request and one withdrawn, asked %d times", dialed.Load(), asked)
	}
	kept := idle()
	if len(kept) != 1 {
		t.Fatalf("%d idle connections", len(kept))
	}
	until, since, promised := kept[0].until, kept[0].since, kept[0].promised
	time.Sleep(20 * time.Millisecond)
	withdraw()
	if again := idle(); len(again) != 1 || again[0] != kept[0] || !again[0].until.Equal(until) || !again[0].since.Equal(since) || again[0].promised != promised {
		t.Errorf("idle connections %+v after a withdrawn request, before %+v", again, kept)
	}
	serveOne()
	if dialed.Load() != 1 || len(s.heads) != 2 || p.open.Load() != 1 {
		t.Errorf("%d connections opened, %d open, %d requests at the server, want 1, 1 and 2", dialed.Load(), p.open.Load(), len(s.heads))
	}
}
