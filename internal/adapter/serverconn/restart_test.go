package serverconn

import (
	"context"
	"net/http"
	"testing"
	"time"

	"cassiatray/internal/adapter/tcp"
	"cassiatray/internal/port"
)

// Guards against a server that counts as restarted while it keeps a connection: one that cannot
// carry the request, which was refused on it, shows the same process as any other.
func TestKeptConnectionOfARefusalShowsTheProcess(t *testing.T) {
	s := serve(t, func(n int) string {
		if n == 1 {
			return "HTTP/1.1 503 X\r\nId: 1\r\nNot-Run: 1\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n"
		}
		return "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=10\r\nContent-Length: 2\r\n\r\nok"
	})
	p := New(dialect{})
	defer p.Close()
	for range 2 {
		// The second goes over a connection of its own.
		if _, err := forward(p, s.address, "1"); err != nil {
			t.Fatal(err)
		}
	}
	p.mu.Lock()
	list := p.idle[s.address]
	p.mu.Unlock()
	if len(list) != 2 || !list[0].mayMix("1") || list[1].mayMix("1") {
		t.Fatalf("idle connections %+v", list)
	}
	list[1].Conn.(*tcp.Conn).Conn.(interface{ CloseRead() error }).CloseRead()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if _, err := p.Forward(ctx, s.address, &port.ForwardRequest{Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, ID: "1", SameProcess: true}); err != nil {
		t.Errorf("error %v, while a connection is kept", err)
	}
}
