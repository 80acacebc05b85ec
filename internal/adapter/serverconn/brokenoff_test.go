package serverconn

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

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

func TestKeptConnectionsTellOfTheProcess(t *testing.T) {
	s := serve(t, func(n int) string {
		if n == 2 {
			return ""
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
	// The server closes the connection in place of a response.
	if _, err := write(c, &port.ForwardRequest{Method: http.MethodGet, URI: "/", Header: http.Header{}}); err != nil {
		t.Fatal(err)
	}
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.r.ReadByte(); err != io.EOF {
		t.Fatalf("error %v, want the end of the connection", err)
	}
	if kept := p.Kept(s.address); kept != port.KeptClosed {
		t.Errorf("kept connections: %v, want closed", kept)
	}
}
