package serverconn

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"cassiatray/internal/port"
)

// statusText returns a status line as a server may write it, with the headers of an answer to
// request 1 and without a body.
func statusText(status int) string {
	return fmt.Sprintf("HTTP/1.1 %03d X\r\nId: 1\r\nContent-Length: 0\r\n\r\n", status)
}

// Guards against statuses that are no answer and are taken for one, or for an interim one behind
// which the next answer on the connection is taken or waited for. Each is followed by a whole
// answer; only those to 1xx may be delivered.
func TestEveryStatusOfAServer(t *testing.T) {
	for status := range 1000 {
		next := whole
		if status >= http.StatusOK {
			next = ""
		}
		s := serve(t, func(int) string { return statusText(status) + next })
		p := New(dialect{})
		a, err := forward(p, s.address, "1")
		switch {
		case status < 100 || status == http.StatusSwitchingProtocols:
			if err == nil {
				t.Errorf("status %03d: delivered %d %q", status, a.Status, a.Body)
			} else if be := as(t, err); be.Code != port.BackendBroken || !be.Sent {
				t.Errorf("status %03d: error %v", status, err)
			}
			if kept := p.Kept(s.address); kept != port.KeptNone {
				t.Errorf("status %03d: the connection is kept", status)
			}
		case err != nil:
			t.Errorf("status %03d: error %v", status, err)
		case status < http.StatusOK:
			if a.Status != http.StatusOK || string(a.Body) != "ok" {
				t.Errorf("status %03d: delivered %d %q, want the answer behind it", status, a.Status, a.Body)
			}
		case a.Status != status:
			t.Errorf("status %03d: delivered %d", status, a.Status)
		}
		_, got, err := p.Probe(t.Context(), s.address, "/")
		none, want := status < 100 || status == http.StatusSwitchingProtocols, status
		if status < http.StatusOK {
			want = http.StatusOK
		}
		if none != (err != nil) || err == nil && got != want {
			t.Errorf("health check, status %03d: %d, error %v", status, got, err)
		}
		p.Close()
	}
}

// Guards against an exchange that lasts until its deadline: the server sends nothing behind a
// status that is no answer, and leaves the connection open.
func TestNoWaitBehindAStatusThatIsNone(t *testing.T) {
	for _, status := range []int{0, 7, 99, http.StatusSwitchingProtocols} {
		s := serve(t, func(int) string { return statusText(status) })
		p := New(dialect{})
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		_, err := p.Forward(ctx, s.address, &port.ForwardRequest{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, ID: "1"})
		if err == nil || ctx.Err() != nil {
			t.Errorf("status %03d: error %v, at the deadline %t", status, err, ctx.Err() != nil)
		}
		cancel()
	}
}
