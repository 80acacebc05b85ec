package serverconn

import (
	"testing"
	"time"
)

// TestChecksShareAConnection guards against checks that open a connection each: while the store
// could not say which servers were cold, 89,585 of a day's 115,186 new connections were those of
// checks.
func TestChecksShareAConnection(t *testing.T) {
	const checks = 5
	healthy := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for name, x := range map[string]struct {
		script func(n int) string
		pause  time.Duration
		conns  int32
	}{
		"kept":                 {func(int) string { return healthy }, 0, 1},
		"refused":              {func(int) string { return "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n" }, 0, 1},
		"told to close":        {func(int) string { return "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n" }, 0, checks},
		"without a length":     {func(int) string { return "HTTP/1.1 200 OK\r\n\r\ncut" }, 0, checks},
		"answered twice":       {func(int) string { return healthy + healthy }, 0, checks},
		"after a longer pause": {func(int) string { return healthy }, probeIdle + time.Second, checks},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, x.script)
			p := New(dialect{})
			defer p.Close()
			now := time.Now()
			p.now = func() time.Time { return now }
			for range checks {
				if _, status, err := p.Probe(t.Context(), s.address, "/health"); err != nil || status != 200 && name != "refused" {
					t.Fatalf("status %d, error %v", status, err)
				}
				<-s.heads
				now = now.Add(x.pause)
			}
			if n := s.conns.Load(); n != x.conns {
				t.Errorf("%d connections for %d checks, want %d", n, checks, x.conns)
			}
			if len(p.idle) > 0 {
				t.Error("a request would use the connection of a check")
			}
		})
	}
}

// TestCheckAfterTheConnectionClosed guards against a server that is taken for unreachable because it
// closed the connection of the check before.
func TestCheckAfterTheConnectionClosed(t *testing.T) {
	s := serve(t, func(n int) string {
		if n == 2 {
			return ""
		}
		return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	})
	p := New(dialect{})
	defer p.Close()
	for range 3 {
		if _, status, err := p.Probe(t.Context(), s.address, "/health"); err != nil || status != 200 {
			t.Fatalf("status %d, error %v", status, err)
		}
	}
}
