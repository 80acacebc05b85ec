package callerconn

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// chunked returns a POST whose body comes in chunks, and post one that declares its length.
func chunked(path, body string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", path)
	for len(body) > 0 {
		n := min(len(body), 10000)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return b.String() + "0\r\n\r\n"
}

// Guards against a process that ends because the unread rest of a request's body is just as
// long as the bound on it, and against answers that are lost or crossed there. Each request is
// followed by another one, which is answered as well unless the connection was closed.
func TestBodiesLeftUnread(t *testing.T) {
	const before = 5000
	handlers := map[string]http.HandlerFunc{
		"refused": func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				w.WriteHeader(http.StatusNotFound)
			}
		},
		"answered early": func(w http.ResponseWriter, r *http.Request) {
			if r.Method != http.MethodPost {
				return
			}
			io.CopyN(io.Discard, r.Body, before)
			w.WriteHeader(http.StatusNotFound)
		},
		"aborted": func(_ http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				panic(http.ErrAbortHandler)
			}
		},
	}
	for name, handler := range handlers {
		for framing, request := range map[string]func(path, body string) string{"length": post, "chunks": chunked} {
			for _, ahead := range []bool{false, true} {
				for _, stopping := range []bool{false, true} {
					for rest := maxUnread - 1; rest <= maxUnread+2; rest++ {
						t.Run(fmt.Sprintf("%s/%s/ahead %t/stopping %t/%d", name, framing, ahead, stopping, rest), func(t *testing.T) {
							size := rest
							if name == "answered early" {
								size += before
							}
							playUnread(t, handler, request("/x", repeat("b", size)), ahead, stopping, name == "aborted")
						})
					}
				}
			}
		}
	}
}

// playUnread sends a request whose body is left unread, and a second one behind it.
func playUnread(t *testing.T, handler http.HandlerFunc, request string, ahead, stopping, aborted bool) {
	s := open(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		if stopping {
			time.Sleep(5 * time.Millisecond)
		}
		handler(w, r)
	})
	c := s.dial(t)
	go func() {
		// The connection may be closed before all is sent.
		io.WriteString(c, request)
		if ahead {
			io.WriteString(c, get("/second"))
		}
	}()
	if stopping {
		go s.Shutdown(t.Context())
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: http.MethodPost})
	if aborted {
		if err == nil {
			t.Errorf("answer %d to a request that was aborted", resp.StatusCode)
		}
		return
	}
	if err != nil || resp.StatusCode != http.StatusNotFound {
		t.Fatalf("answer %v, error %v", resp, err)
	}
	if resp.Close {
		return
	}
	if !ahead {
		io.WriteString(c, get("/second"))
	}
	if resp, err := http.ReadResponse(c.r, &http.Request{Method: http.MethodGet}); err == nil && resp.StatusCode != http.StatusOK {
		t.Errorf("second request: %d", resp.StatusCode)
	} else if err != nil && !stopping {
		t.Errorf("second request: %v", err)
	}
}

// Guards against a success that nobody gave: a handler that returns without an answer because
// its caller has left has none, also if the caller still reads.
func TestNoAnswerForCallersThatLeft(t *testing.T) {
	for name, request := range map[string]string{
		"whole request":   get("/x"),
		"broken-off body": "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\npart",
	} {
		t.Run(name, func(t *testing.T) {
			s := open(t, Limits{}, func(_ http.ResponseWriter, r *http.Request) {
				if _, err := io.Copy(io.Discard, r.Body); err == nil {
					<-r.Context().Done()
				}
			})
			c := s.dial(t)
			c.send(request)
			c.Conn.(*net.TCPConn).CloseWrite()
			if resp, err := http.ReadResponse(c.r, &http.Request{Method: http.MethodGet}); err == nil {
				t.Errorf("answer %d", resp.StatusCode)
			}
		})
	}
}
