package serverconn

import (
	"net/http"
	"testing"

	"cassiatray/internal/port"
	"cassiatray/internal/standin/rawserver"
)

// Guards against responses that HTTP does not allow and that are delivered, or believed when they
// say that a request has not run: net/http reads some of them as others than they are.
func TestMalformedResponses(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusNotFound, http.StatusServiceUnavailable} {
		fields := "Id: 1\r\n"
		if status == http.StatusServiceUnavailable {
			fields += "Not-Run: 1\r\n"
		}
		for name, text := range rawserver.Malformed(status, fields, "ok") {
			address := startRaw(t, rawserver.Response{Text: text, Ending: rawserver.Finish})
			p := New(dialect{})
			a, err := forward(p, address, "1")
			if err == nil {
				t.Errorf("%d, %s: delivered %d %q %v", status, name, a.Status, a.Body, a.Header)
			} else if be := as(t, err); be.Code != port.BackendBroken && be.Code != port.BackendShort || !be.Sent || be.ResetAtOnce {
				t.Errorf("%d, %s: error %v", status, name, err)
			}
			if p.Kept(address) != port.KeptNone {
				t.Errorf("%d, %s: the connection is kept", status, name)
			}
			// What is behind the head of a health answer changes nothing of it.
			if _, got, err := p.Probe(t.Context(), address, "/"); err == nil && name != "blank in a name, trailer" {
				t.Errorf("%d, %s: health check says %d", status, name, got)
			}
			if p.probes[address] != nil {
				t.Errorf("%d, %s: the connection is kept for the next check", status, name)
			}
			p.Close()
		}
	}
}

// Guards against an answer that is taken from behind one to an earlier request that is none.
func TestMalformedEarlierResponses(t *testing.T) {
	for name, text := range rawserver.Malformed(http.StatusOK, "Id: 0\r\n", "ok") {
		s := serve(t, func(n int) string {
			if n == 1 {
				return whole
			}
			return text + whole
		})
		p := New(dialect{})
		if _, err := forward(p, s.address, "1"); err != nil {
			t.Fatal(err)
		}
		if a, err := forward(p, s.address, "1"); err == nil {
			t.Errorf("%s: delivered %d %q", name, a.Status, a.Body)
		}
		p.Close()
	}
}

// Checks that responses that HTTP allows are delivered, however rare.
func TestUnusualResponses(t *testing.T) {
	for name, text := range rawserver.Unusual(http.StatusOK, "Id: 1\r\n", "ok") {
		address := startRaw(t, rawserver.Response{Text: text, Ending: rawserver.Finish})
		p := New(dialect{})
		if a, err := forward(p, address, "1"); err != nil || a.Status != http.StatusOK || string(a.Body) != "ok" {
			t.Errorf("%s: answer %+v, error %v", name, a, err)
		}
		if _, status, err := p.Probe(t.Context(), address, "/"); err != nil || status != http.StatusOK {
			t.Errorf("%s: health check says %d, error %v", name, status, err)
		}
		p.Close()
	}
}

// Guards against connections that keep the buffer of a long head, and against bytes that are lost
// or read twice with it.
func TestLongHeadsOnOneConnection(t *testing.T) {
	text := rawserver.Unusual(http.StatusOK, "Id: 1\r\n", "ok")["long head"]
	s := serve(t, func(n int) string {
		if n%2 == 0 {
			return whole
		}
		return text
	})
	p := New(dialect{})
	defer p.Close()
	for n := range 6 {
		if a, err := forward(p, s.address, "1"); err != nil || string(a.Body) != "ok" {
			t.Fatalf("request %d: answer %v, error %v", n, a, err)
		}
		if held := p.idle[s.address][0].r.Size(); held != bufferSize {
			t.Errorf("request %d: an idle connection holds a buffer of %d bytes", n, held)
		}
	}
	if n := s.conns.Load(); n != 1 {
		t.Errorf("%d connections", n)
	}
}
