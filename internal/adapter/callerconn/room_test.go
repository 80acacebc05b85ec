package callerconn

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"cassiatray/internal/core/membudget"
)

// openBounded is open with a budget of bytes and a bound on connections; closed counts by cause.
func openBounded(t *testing.T, budget int64, conns int, h http.HandlerFunc) (s *site, closed func(Cause) int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	counts := map[Cause]*atomic.Int64{}
	for _, c := range []Cause{CauseIdle, CauseSlow, CauseNoConnections, CauseMemory, CauseStalledBody, CauseStalledAnswer} {
		counts[c] = new(atomic.Int64)
	}
	s = &site{
		Server: &Server{
			Handler: h, Independent: independentGets, Limits: func() Limits { return Limits{HeadBytes: 1 << 20} },
			Budget: membudget.New(budget), MaxConns: conns, Closed: func(c Cause, _ string) { counts[c].Add(1) },
		},
		address: l.Addr().String(), served: make(chan error, 1),
	}
	go func() { s.served <- s.Serve(l) }()
	t.Cleanup(s.Close)
	return s, func(c Cause) int64 { return counts[c].Load() }
}

// eventually waits for a condition.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not seen: %s", what)
		}
	}
}

// holding is a handler that holds 300 KiB for a body, and answers 503 if it was ended.
func holding(w http.ResponseWriter, r *http.Request) {
	x := w.(*exchange)
	if !x.Hold().Grow(300<<10, time.Now()) {
		w.WriteHeader(http.StatusInsufficientStorage)
		return
	}
	_, err := io.Copy(io.Discard, r.Body)
	if !x.Hold().Enter(membudget.Working, time.Now()) || err != nil {
		w.Header().Set("Connection", "close")
		x.GiveUpBody()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "served")
}

// Guards against a caller that does not finish its body and so keeps others from being served,
// and against one that is ended without an answer although nothing was sent on.
func TestUnfinishedBodyGivesWay(t *testing.T) {
	s, closed := openBounded(t, 600<<10, 0, holding)
	slow := s.dial(t)
	slow.send("POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nbod")
	eventually(t, "a body", func() bool { return s.Budget.Held() > 300<<10 })
	time.Sleep(50 * time.Millisecond)
	next := s.dial(t)
	next.send(post("/next", "body"))
	if resp, body := next.answer("POST"); resp.StatusCode != http.StatusOK || body != "served" {
		t.Errorf("the next request: status %d, %q", resp.StatusCode, body)
	}
	if resp, _ := slow.answer("POST"); resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Errorf("the unfinished request: status %d, close %t", resp.StatusCode, resp.Close)
	}
	slow.ended()
	if closed(CauseMemory) != 1 {
		t.Errorf("%d exchanges ended", closed(CauseMemory))
	}
	next.Close()
	eventually(t, "all released", func() bool { return s.Budget.Held() == 0 })
}

// Guards against a caller that does not read its answer and so keeps others from being served,
// and against an answer that is cut short and looks whole.
func TestUnreadAnswerGivesWay(t *testing.T) {
	const size = 16 << 20
	s, _ := openBounded(t, 600<<10, 0, func(w http.ResponseWriter, r *http.Request) {
		hold := w.(*exchange).Hold()
		if r.URL.Path == "/next" {
			if !hold.Grow(300<<10, time.Now()) {
				w.WriteHeader(http.StatusInsufficientStorage)
			}
			return
		}
		hold.Grow(300<<10, time.Now())
		hold.Enter(membudget.Passing, time.Now())
		w.Header().Set("Content-Length", fmt.Sprint(size))
		for block := make([]byte, 64<<10); ; {
			if _, err := w.Write(block); err != nil {
				panic(http.ErrAbortHandler)
			}
		}
	})
	unread := s.dial(t)
	unread.Conn.(*net.TCPConn).SetReadBuffer(8 << 10)
	unread.send(get("/unread"))
	eventually(t, "an answer", func() bool { return s.Budget.Held() > 300<<10 })
	time.Sleep(200 * time.Millisecond)
	next := s.dial(t)
	next.send(get("/next"))
	if resp, _ := next.answer("GET"); resp.StatusCode != http.StatusOK {
		t.Errorf("the next request: status %d", resp.StatusCode)
	}
	resp, err := http.ReadResponse(unread.r, &http.Request{Method: "GET"})
	if err == nil {
		var n int64
		if n, err = io.Copy(io.Discard, resp.Body); err == nil {
			t.Errorf("%d bytes of an answer of %d taken for whole", n, size)
		}
	}
}

// Guards against a process without descriptors: too many connections, of which the one that is
// idle for longest is closed, and none that has a request.
func TestTooManyConnections(t *testing.T) {
	release := make(chan struct{})
	s, closed := openBounded(t, 0, 3, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-release
		}
		io.WriteString(w, "served")
	})
	var all []*caller
	for i, path := range []string{"/wait", "/idle", "/idle"} {
		c := s.dial(t)
		all = append(all, c)
		c.send(get(path))
		if i > 0 {
			c.answer("GET")
		}
	}
	next := s.dial(t)
	next.send(get("/wait"))
	all[1].ended()
	fourth := s.dial(t)
	fourth.send(get("/wait"))
	all[2].ended()
	// All have a request in hand now, and their callers hold nothing up.
	eventually(t, "connections", func() bool { return s.Connections() == 3 })
	refused := s.dial(t)
	if resp, _ := refused.answer("GET"); resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Errorf("one too many: status %d, %v", resp.StatusCode, resp.Header)
	}
	close(release)
	for _, c := range []*caller{all[0], next, fourth} {
		if resp, body := c.answer("GET"); resp.StatusCode != http.StatusOK || body != "served" {
			t.Errorf("a request in hand: status %d, %q", resp.StatusCode, body)
		}
	}
	if closed(CauseIdle) != 2 || closed(CauseNoConnections) != 1 {
		t.Errorf("%d idle connections closed, %d refused", closed(CauseIdle), closed(CauseNoConnections))
	}
}

// Guards against connections that are kept by a body that does not come: they are closed in
// favour of a new one.
func TestSlowConnectionGivesWay(t *testing.T) {
	s, closed := openBounded(t, 0, 1, holding)
	slow := s.dial(t)
	slow.send("POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nbod")
	eventually(t, "a body", func() bool { return s.Budget.Held() > 300<<10 })
	eventually(t, "an ordinary request", func() bool {
		c, ok := s.dialOnce()
		if !ok {
			return false
		}
		defer c.Close()
		io.WriteString(c, get("/next"))
		resp, err := http.ReadResponse(c.r, nil)
		return err == nil && resp.StatusCode == http.StatusOK
	})
	if closed(CauseSlow) != 1 {
		t.Errorf("%d slow connections closed", closed(CauseSlow))
	}
}

// Guards against a body that stalls for ever: its reader gets a time-out, so that the caller can
// be told.
func TestStalledBody(t *testing.T) {
	failed := make(chan error, 1)
	s, closed := openBounded(t, 0, 0, func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		failed <- err
		w.(*exchange).GiveUpBody()
		w.WriteHeader(http.StatusRequestTimeout)
	})
	c := s.dial(t)
	c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nbod")
	eventually(t, "a time-out", func() bool {
		s.each(func(c *conn) { c.sweep(time.Now().Add(stallTimeout), Limits{}) })
		return len(failed) > 0
	})
	if err := <-failed; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("error %v", err)
	}
	if resp, _ := c.answer("POST"); resp.StatusCode != http.StatusRequestTimeout || !resp.Close {
		t.Errorf("status %d, close %t", resp.StatusCode, resp.Close)
	}
	if closed(CauseStalledBody) == 0 {
		t.Error("not counted")
	}
}

// Guards against heads that take memory beside the budget.
func TestHeadWithoutRoom(t *testing.T) {
	s, _ := openBounded(t, 100<<10, 0, func(http.ResponseWriter, *http.Request) {})
	for size, want := range map[int]int{30 << 10: http.StatusOK, 90 << 10: http.StatusServiceUnavailable} {
		c := s.dial(t)
		// What is not read of it resets the connection, which may come first.
		io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nX-Long: "+strings.Repeat("v", size)+"\r\n\r\n")
		if resp, err := http.ReadResponse(c.r, nil); err == nil && resp.StatusCode != want || err != nil && want == http.StatusOK {
			t.Errorf("head of %d bytes: %v, error %v", size, resp, err)
		}
		c.Close()
		eventually(t, "all released", func() bool { return s.Budget.Held() == 0 })
	}
}

// Guards against answers of megabytes that the kernel keeps for a caller that reads nothing:
// they count towards the memory of the machine.
func TestUnsentBytesAreBounded(t *testing.T) {
	s, _ := openBounded(t, 1<<20, 0, func(http.ResponseWriter, *http.Request) {})
	c := s.dial(t)
	c.send(get("/"))
	c.answer("GET")
	s.each(func(c *conn) {
		raw, err := c.nc.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		raw.Control(func(fd uintptr) {
			if n, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT); err != nil || n != unsentBytes {
				t.Errorf("%d bytes may stay unsent: %v", n, err)
			}
		})
	})
}
