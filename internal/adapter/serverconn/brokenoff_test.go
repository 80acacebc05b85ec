package serverconn

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"cassiatray/internal/adapter/tcp"
	"cassiatray/internal/port"
)

// Guards against a crash in the middle of an answer that shows nowhere: in the streamed part, in
// a body without a length, and by the connections that the server leaves open or closes.
func TestAnswersThatBreakOff(t *testing.T) {
	long := strings.Repeat("x", wholeLimit+1000)
	for _, c := range []struct {
		name, headers string
		code          port.BackendCode
		unframed      bool
	}{
		{"framed", fmt.Sprintf("Content-Length: %d\r\n", 2*len(long)), port.BackendShort, false},
		{"chunked", "Transfer-Encoding: chunked\r\n", port.BackendShort, false},
		{"unframed", "Connection: close\r\n", "", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			body := long
			if c.name == "chunked" {
				body = fmt.Sprintf("%x\r\n%s", 2*len(long), long)
			}
			s := serve(t, func(int) string { return "HTTP/1.1 200 OK\r\nId: 1\r\n" + c.headers + "\r\n" + body + "cut" })
			p := New(dialect{})
			defer p.Close()
			a, err := p.Forward(t.Context(), s.address, &port.ForwardRequest{Method: http.MethodGet, URI: "/", Header: http.Header{}, ID: "1"})
			if err != nil || a.Rest == nil || a.Unframed != c.unframed {
				t.Fatalf("answer %+v, error %v", a, err)
			}
			defer a.Rest.Close()
			switch _, err := io.Copy(io.Discard, a.Rest); {
			case c.code == "" && err != nil:
				t.Errorf("error %v", err)
			case c.code != "" && as(t, err).Code != c.code:
				t.Errorf("error %v, want %s", err, c.code)
			}
			if kept := p.Kept(s.address); kept != port.KeptNone {
				t.Errorf("kept connections: %v, want none", kept)
			}
		})
	}
}

// Guards against a process that seems to run by a connection that it has closed, also where bytes
// that belong to no request came before the close.
func TestKeptConnectionsTellOfTheProcess(t *testing.T) {
	for late, want := range map[string]port.KeptState{"": port.KeptClosed, "late bytes cut": port.KeptNone} {
		s := serve(t, func(n int) string {
			if n == 2 {
				return late
			}
			return whole
		})
		p := New(dialect{})
		defer p.Close()
		if _, err := forward(p, s.address, "1"); err != nil {
			t.Fatal(err)
		}
		if kept := p.Kept(s.address); kept != port.KeptOpen {
			t.Errorf("kept connections: %v, want open", kept)
		}
		p.mu.Lock()
		c := p.idle[s.address][0]
		p.mu.Unlock()
		if _, err := write(c, &port.ForwardRequest{Method: http.MethodGet, URI: "/", Header: http.Header{}}); err != nil {
			t.Fatal(err)
		}
		for end := time.Now().Add(5 * time.Second); tcp.Peek(c.Conn) == tcp.Quiet && time.Now().Before(end); {
			runtime.Gosched()
		}
		if kept := p.Kept(s.address); kept != want {
			t.Errorf("after %q: kept connections: %v, want %v", late, kept, want)
		}
	}
}
