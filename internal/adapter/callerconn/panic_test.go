package callerconn

import (
	"io"
	"net/http"
	"testing"
)

// TestFailedHandlerIsAnswered guards against requests that end without an answer because their
// handler failed before it sent any of it. The answer does not say that the request is safe to repeat: it may have run.
func TestFailedHandlerIsAnswered(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"nothing written": func(http.ResponseWriter, *http.Request) { panic("fault") },
		"part held": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "100")
			w.Header().Set("Stamp", "s")
			io.WriteString(w, "part")
			panic("fault")
		},
		"part read": func(_ http.ResponseWriter, r *http.Request) {
			r.Body.Read(make([]byte, 1))
			panic("fault")
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := open(t, Limits{}, h)
			c := s.dial(t)
			c.send(post("/", "body"))
			resp, body := c.answer("POST")
			if resp.StatusCode != http.StatusBadGateway || body != "" || !resp.Close || resp.Header.Get("Stamp") != "" {
				t.Errorf("answer %d %q %v, close %t", resp.StatusCode, body, resp.Header, resp.Close)
			}
			c.ended()
		})
	}
	s := open(t, Limits{}, func(w http.ResponseWriter, _ *http.Request) {
		w.Write(make([]byte, 2*maxHeld))
		panic("fault")
	})
	c := s.dial(t)
	c.send(get("/"))
	resp, err := http.ReadResponse(c.r, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err == nil {
		t.Error("an answer that its handler broke off looks whole")
	}
}
