package serverconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cassiatray/internal/port"
)

// dialect reads the headers of the servers of these tests.
type dialect struct{}

func (dialect) Caller(http.Header) port.CallerMeta { return port.CallerMeta{} }
func (dialect) Identify(http.Header, string)       {}

func (dialect) Forward(http.Header, time.Duration, string) {}
func (dialect) Server(status int, h http.Header) port.ServerMeta {
	return port.ServerMeta{ID: h.Get("Id"), NotRun: h.Get("Not-Run") != "", Signed: h.Get("Unsigned") == ""}
}

// server answers each request on a connection with the text that script returns
// for its number, counted over all connections from 1. An empty text closes
// the connection.
type server struct {
	address string
	conns   atomic.Int32
	heads   chan string
}

func serve(t *testing.T, script func(n int) string) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &server{address: l.Addr().String(), heads: make(chan string, 100)}
	var n atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					body, _ := io.ReadAll(req.Body)
					s.heads <- req.Method + " " + req.RequestURI + " " + req.Host + " " + string(body)
					text := script(int(n.Add(1)))
					if text == "" {
						return
					}
					io.WriteString(c, text)
					if strings.Contains(text, "Connection: close") || strings.HasSuffix(text, "cut") {
						return
					}
				}
			}()
		}
	}()
	return s
}

func forward(p *Pool, address, id string) (*port.ForwardAnswer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return p.Forward(ctx, address, &port.ForwardRequest{
		Method: http.MethodPost, URI: "/a/b%2Fc?q=1", Host: "h.example", Header: http.Header{"X-One": {"1"}},
		Body: []byte("body"), Size: 4, ID: id,
	})
}

const whole = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"

func as(t *testing.T, err error) *port.BackendError {
	t.Helper()
	var be *port.BackendError
	if !errors.As(err, &be) {
		t.Fatalf("error %v has no type", err)
	}
	return be
}

func TestForwardUnchangedOnOneConnection(t *testing.T) {
	s := serve(t, func(int) string { return whole })
	p := New(dialect{})
	for range 3 {
		a, err := forward(p, s.address, "1")
		if err != nil || string(a.Body) != "ok" {
			t.Fatalf("answer %v, error %v", a, err)
		}
		if head := <-s.heads; head != "POST /a/b%2Fc?q=1 h.example body" {
			t.Errorf("server got %q", head)
		}
	}
	if n := s.conns.Load(); n != 1 {
		t.Errorf("%d connections for 3 requests in turn", n)
	}
}

// TestExtraAnswer plays servers that send an answer a second time: it is never
// taken for the next request's.
func TestExtraAnswer(t *testing.T) {
	s := serve(t, func(n int) string {
		if n == 1 {
			return whole
		}
		// The extra answer to request 1 arrives where that to 2 is due.
		return "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nold" +
			"HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\nnew" + map[bool]string{true: "cut"}[n > 2]
	})
	p := New(dialect{})
	if _, err := forward(p, s.address, "1"); err != nil {
		t.Fatal(err)
	}
	a, err := forward(p, s.address, "2")
	if err != nil || string(a.Body) != "new" {
		t.Fatalf("answer %v, error %v", a, err)
	}
	if _, err := forward(p, s.address, "3"); err == nil {
		t.Fatal("an answer to request 2 was taken for one to 3")
	}
}

// TestStrayBytes plays servers that send bytes after a whole answer: the
// connection is not used again.
func TestStrayBytes(t *testing.T) {
	s := serve(t, func(n int) string {
		if n == 1 {
			return whole + "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 5\r\n\r\nstray"
		}
		return strings.Replace(whole, "Id: 1", "Id: 2", 1)
	})
	p := New(dialect{})
	if _, err := forward(p, s.address, "1"); err != nil {
		t.Fatal(err)
	}
	a, err := forward(p, s.address, "2")
	if err != nil || string(a.Body) != "ok" {
		t.Fatalf("answer %v, error %v", a, err)
	}
	if n := s.conns.Load(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

func TestSpoiltAnswers(t *testing.T) {
	for name, x := range map[string]struct {
		text string
		code port.BackendCode
	}{
		"short":   {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nok cut", port.BackendShort},
		"chunk":   {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok cut", port.BackendShort},
		"noise":   {"\x00\x01\x02 not an answer\r\n\r\ncut", port.BackendBroken},
		"nothing": {"", port.BackendBroken},
		"foreign": {"HTTP/1.1 200 OK\r\nId: 7\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", port.BackendMismatch},
		"no id":   {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", port.BackendMismatch},
	} {
		s := serve(t, func(int) string { return x.text })
		a, err := forward(New(dialect{}), s.address, "1")
		if err == nil {
			t.Errorf("%s: delivered %v", name, a)
			continue
		}
		if be := as(t, err); be.Code != x.code || !be.Sent {
			t.Errorf("%s: %v, want %s and sent", name, be, x.code)
		}
	}
}

// TestUnframedAnswer checks a body that ends with its connection.
// TestUnsignedSuccess plays a success that no server vouches for: it is no
// answer. A failure without a signature is passed on as the server's own.
func TestUnsignedSuccess(t *testing.T) {
	s := serve(t, func(n int) string {
		return map[int]string{1: "HTTP/1.1 200 OK", 2: "HTTP/1.1 500 Oops"}[n] + "\r\nId: 1\r\nUnsigned: 1\r\nContent-Length: 2\r\n\r\nok"
	})
	p := New(dialect{})
	_, err := forward(p, s.address, "1")
	var be *port.BackendError
	if !errors.As(err, &be) || be.Code != port.BackendMismatch || !be.Sent {
		t.Errorf("error %v", err)
	}
	if a, err := forward(p, s.address, "1"); err != nil || a.Status != 500 {
		t.Errorf("answer %v, error %v", a, err)
	}
}

func TestUnframedAnswer(t *testing.T) {
	s := serve(t, func(int) string { return "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\nto the end" })
	a, err := forward(New(dialect{}), s.address, "1")
	if err != nil || string(a.Body) != "to the end" {
		t.Fatalf("answer %v, error %v", a, err)
	}
}

// TestNothingSent checks that a refused connection proves that nothing was sent.
func TestNothingSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	_, err = forward(New(dialect{}), address, "1")
	if be := as(t, err); be.Code != port.BackendRefused || be.Sent {
		t.Errorf("%v, want refused and not sent", be)
	}
}

// TestClosedWhileIdle checks that a kept connection that the server has closed
// is not used.
func TestClosedWhileIdle(t *testing.T) {
	accepted := make(chan net.Conn, 4)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					io.WriteString(c, whole)
					accepted <- c
				}
			}()
		}
	}()
	p := New(dialect{})
	for range 2 {
		if _, err := forward(p, l.Addr().String(), "1"); err != nil {
			t.Fatal(err)
		}
		c := <-accepted
		c.Close()
		waitClosed(t, p, l.Addr().String())
	}
}

// waitClosed waits until the close of the idle connection has arrived.
func waitClosed(t *testing.T, p *Pool, address string) {
	t.Helper()
	p.mu.Lock()
	c := p.idle[address][0]
	p.mu.Unlock()
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.r.Peek(1); !errors.Is(err, io.EOF) {
		t.Fatalf("idle connection: %v", err)
	}
}

// TestCancelClosesTheConnection checks that the server learns at once that its
// caller left.
func TestCancelClosesTheConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			ended <- err
			return
		}
		r := bufio.NewReader(c)
		if _, err := http.ReadRequest(r); err != nil {
			ended <- err
			return
		}
		cancel()
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err = r.ReadByte()
		ended <- err
	}()
	_, err = New(dialect{}).Forward(ctx, l.Addr().String(), &port.ForwardRequest{Method: "GET", URI: "/", Host: "h", ID: "1"})
	if be := as(t, err); be.Code != port.BackendCanceled || !be.Sent {
		t.Errorf("%v, want canceled and sent", be)
	}
	if err := <-ended; !errors.Is(err, io.EOF) {
		t.Errorf("server saw %v", err)
	}
}

func TestKeepFor(t *testing.T) {
	for text, want := range map[string]struct {
		keep   time.Duration
		stated bool
	}{
		"": {idleDefault, false}, "timeout=10": {8500 * time.Millisecond, true}, "max=5, timeout=2": {1700 * time.Millisecond, true}, "timeout=x": {idleDefault, false},
	} {
		if keep, stated := keepFor(http.Header{"Keep-Alive": {text}}); keep != want.keep || stated != want.stated {
			t.Errorf("%q: %v, %t, want %v", text, keep, stated, want)
		}
	}
}

// TestRestartedServerIsReported checks that a request that asks for the same process is not
// sent over a new connection after the server has closed the kept one within the idle
// timeout that it stated: a restarted server got requests as if nothing had happened.
func TestRestartedServerIsReported(t *testing.T) {
	const stated = "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=10\r\nContent-Length: 2\r\n\r\nok"
	for _, x := range []struct {
		name     string
		answer   string
		same     bool
		reported bool
	}{
		{"stated idle timeout", stated, true, true},
		{"no stated idle timeout", whole, true, false},
		{"any process will do", stated, false, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			accepted := make(chan net.Conn, 4)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
							io.WriteString(c, x.answer)
							accepted <- c
						}
					}()
				}
			}()
			p, address := New(dialect{}), l.Addr().String()
			if _, err := forward(p, address, "1"); err != nil {
				t.Fatal(err)
			}
			(<-accepted).Close()
			waitClosed(t, p, address)
			send := func() error {
				_, err := p.Forward(t.Context(), address, &port.ForwardRequest{Method: "GET", URI: "/", Host: "h", Header: http.Header{}, ID: "1", SameProcess: x.same})
				return err
			}
			err = send()
			var be *port.BackendError
			if reported := errors.As(err, &be) && be.Code == port.BackendRestarted && !be.Sent; reported != x.reported {
				t.Errorf("error %v, want one: %t", err, x.reported)
			}
			if x.reported {
				err = send()
			}
			if err != nil {
				t.Errorf("request over a new connection: %v", err)
			}
		})
	}
}

// TestUnframedAnswerReset plays a server that resets the connection in the middle of
// a body that would end with it: the answer is not whole.
func TestUnframedAnswerReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		http.ReadRequest(bufio.NewReader(c))
		io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\nhalf of")
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}()
	a, err := forward(New(dialect{}), l.Addr().String(), "1")
	if err == nil {
		t.Fatalf("delivered %q", a.Body)
	}
	if be := as(t, err); !be.Sent {
		t.Errorf("%v: not sent", be)
	}
}
