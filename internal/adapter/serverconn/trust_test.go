package serverconn

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// TestForgottenIdleConnections plays servers that forget connections after some idle time: once
// that has shown, longer idle ones to any server are not used for a while.
func TestForgottenIdleConnections(t *testing.T) {
	now := time.Unix(1000, 0)
	var p idleTrust
	trusts := func(waited time.Duration) bool { return p.trusts("other", waited, now) }
	if !trusts(5 * time.Second) {
		t.Fatal("an idle connection is not trusted from the start")
	}
	for range 20 {
		p.answered("new", 0, now)
	}
	forget := func(waited time.Duration) {
		for i := range minResets {
			address := fmt.Sprint("server", i)
			p.reset(address, waited, now)
			if p.trusts(address, waited, now) {
				t.Errorf("the server that forgot a connection after %v is trusted for as long", waited)
			}
		}
	}
	forget(400 * time.Millisecond)
	if trusts(300*time.Millisecond) || !trusts(200*time.Millisecond) {
		t.Error("the limit is not half of the idle time that failed")
	}
	forget(100 * time.Millisecond)
	if trusts(60 * time.Millisecond) {
		t.Error("a shorter idle time that failed did not lower the limit")
	}
	forget(3 * time.Second)
	if trusts(60 * time.Millisecond) {
		t.Error("a longer idle time that failed raised the limit")
	}
	now = now.Add(distrustFor + time.Second)
	if !trusts(5*time.Second) || !p.trusts("server0", 5*time.Second, now) {
		t.Error("the distrust does not end")
	}
	if p.expire(now); len(p.servers) != 0 {
		t.Errorf("%d limits are kept after their end", len(p.servers))
	}
}

// TestLostAnswersLeaveTrust guards against servers that lose a share of their answers, by a reset
// as soon as they have the request: that is no sign that they forget idle connections, and neither
// they nor others are distrusted.
func TestLostAnswersLeaveTrust(t *testing.T) {
	for _, lost := range []int{4, 17} {
		now := time.Unix(1000, 0)
		var p idleTrust
		distrusted := 0
		random := rand.New(rand.NewPCG(7, uint64(lost)))
		for i := range 4000 {
			now = now.Add(5 * time.Millisecond)
			address, waited := fmt.Sprint("server", random.IntN(8)), 40*time.Millisecond
			if random.IntN(5) == 0 {
				waited = 0
			}
			if random.IntN(lost) == 0 {
				p.reset(address, waited, now)
			} else {
				p.answered(address, waited, now)
			}
			if !p.trusts("other", waited, now) {
				t.Fatalf("one answer in %d lost: all servers are distrusted after %d requests", lost, i)
			}
			if !p.trusts(address, waited, now) {
				distrusted++
			}
		}
		// At most one request in ten may open a connection for it.
		if distrusted > 4000/10 {
			t.Errorf("one answer in %d lost: the server of %d requests was distrusted", lost, distrusted)
		}
	}
}

// resetter is a server that resets connections: that of each request for which forgets returns
// true, given its number, whether its connection is new, and the time that it runs before.
func resetter(t *testing.T, forgets func(n int, isNew bool) (bool, time.Duration)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	var n atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for isNew := true; ; isNew = false {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					io.Copy(io.Discard, req.Body)
					reset, after := forgets(int(n.Add(1)), isNew)
					if reset {
						time.Sleep(after)
						c.(*net.TCPConn).SetLinger(0)
						return
					}
					io.WriteString(c, whole)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// TestResetsOfOneServerCostNoOther guards against a server in trouble that resets all requests,
// new connections included, or that loses answers after it has run them: with the idle
// connections to all servers distrusted, nearly every request of a day opened a connection
// (95,855 for 85,044 requests). Servers that forget idle connections are told apart.
func TestResetsOfOneServerCostNoOther(t *testing.T) {
	for name, x := range map[string]struct {
		forgets func(n int, isNew bool) (bool, time.Duration)
		// servers are in trouble.
		servers  int
		distrust bool
	}{
		"forget idle connections":    {func(_ int, isNew bool) (bool, time.Duration) { return !isNew, 0 }, minResets, true},
		"one forgets":                {func(_ int, isNew bool) (bool, time.Duration) { return !isNew, 0 }, 1, false},
		"reset everything":           {func(n int, _ bool) (bool, time.Duration) { return n > 1, 0 }, 1, false},
		"lose an answer after a run": {func(n int, _ bool) (bool, time.Duration) { return n == 2, 2 * resetSlack }, minResets, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := New(dialect{})
			var ahead atomic.Int64
			start := time.Now()
			// The clock of the pool jumps, so that connections are idle for long.
			p.now = func() time.Time { return start.Add(time.Since(start) + time.Duration(ahead.Load())) }
			other := serve(t, func(int) string { return whole })
			var troubled []string
			for range x.servers {
				troubled = append(troubled, resetter(t, x.forgets))
			}
			send := func(address string) error { _, err := forward(p, address, "1"); return err }
			for range 20 {
				// New connections, as to many servers.
				if err := send(serve(t, func(int) string { return whole }).address); err != nil {
					t.Fatal(err)
				}
			}
			for _, address := range append(troubled, other.address) {
				if err := send(address); err != nil {
					t.Fatal(err)
				}
			}
			ahead.Store(int64(time.Second))
			for _, address := range troubled {
				if send(address) == nil {
					t.Fatal("the server has not reset the connection")
				}
				send(address)
			}
			if err := send(other.address); err != nil {
				t.Fatal(err)
			}
			if conns := other.conns.Load(); (conns == 2) != x.distrust {
				t.Errorf("%d connections to the other server, distrusted %t", conns, x.distrust)
			}
		})
	}
}
