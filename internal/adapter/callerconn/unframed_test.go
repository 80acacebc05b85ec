package callerconn

import (
	"io"
	"net/http"
	"testing"
)

// Guards against a part of an answer that a caller of HTTP/1.0 takes for a whole one: without
// chunks the answer ends with its connection, and must end by a reset if it is broken off.
func TestUnframedAnswerThatIsBrokenOff(t *testing.T) {
	const size = 4 * maxHeld
	passed := make(chan struct{})
	s := open(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		w.Write(make([]byte, size))
		<-passed
		switch r.URL.Path {
		case "/abort":
			panic(http.ErrAbortHandler)
		case "/fail":
			panic("fault")
		}
	})
	for path, whole := range map[string]bool{"/abort": false, "/fail": false, "/whole": true} {
		c := s.dial(t)
		c.send("GET " + path + " HTTP/1.0\r\nHost: h\r\n\r\n")
		resp, err := http.ReadResponse(c.r, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(resp.Body, make([]byte, size)); err != nil {
			t.Fatal(err)
		}
		passed <- struct{}{}
		if _, err := io.Copy(io.Discard, resp.Body); whole != (err == nil) {
			t.Errorf("%s: ends with error %v", path, err)
		}
	}
}

// Guards against the same while the process ends or is killed.
func TestUnframedAnswerWhoseServerIsClosed(t *testing.T) {
	const size = 4 * maxHeld
	s := open(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		w.Write(make([]byte, size))
		<-r.Context().Done()
	})
	c := s.dial(t)
	c.send("GET / HTTP/1.0\r\nHost: h\r\n\r\n")
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(resp.Body, make([]byte, size)); err != nil {
		t.Fatal(err)
	}
	s.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err == nil {
		t.Error("the end of a whole answer")
	}
}
