package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"cassiatray/internal/daemon/memory"
)

// Guards against look-ups, readiness checks and operators' requests that get no connection, and
// against a process without descriptors, because others keep connections open there.
func TestSideConnectionsAreBounded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const most = 4
	f := newCustomerFixture(nil)
	side := newSideServer(f.node, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), most, memory.NewClosings("gateway", discardLog()))
	defer side.Close()
	go side.Serve(l)
	for range 5 * most {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	client := &http.Client{Timeout: 10 * time.Second}
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if open := side.Connections(); open > most {
		t.Errorf("%d connections open, %d are allowed", open, most)
	}
}
