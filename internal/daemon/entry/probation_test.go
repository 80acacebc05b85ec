package entry

import (
	"context"
	"net/http"
	"runtime"
	"testing"

	"cassiatray/internal/core/suspect"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

// suspectedIn returns a cluster in which a request crashed one server.
func suspectedIn(t *testing.T) (*cluster, *port.CallerRequest, suspect.Fingerprint) {
	c := newCluster(t)
	bad := &port.CallerRequest{Service: "orders", Method: http.MethodGet, Path: "/stock/bad"}
	crash := &port.BackendError{Code: port.BackendBroken, Sent: true}
	timeout := &port.BackendError{Code: port.BackendTimeout, Sent: true}
	c.backend.fail = []error{crash, timeout}
	c.nodes["a-1"].Do(context.Background(), bad)
	c.backend.fail = nil
	return c, bad, suspect.Of("orders", http.MethodGet, "/stock/bad", "", nil)
}

// TestSuspectRunsOnceAtATime checks that copies of a suspect at different hosts
// take turns: the last copy runs only after the first has ended.
func TestSuspectRunsOnceAtATime(t *testing.T) {
	c, bad, _ := suspectedIn(t)
	gate := make(chan struct{})
	before := c.backend.ran("")
	c.backend.gate = gate
	done := make(chan string, len(hosts))
	for _, h := range hosts {
		go func() { done <- text(c.nodes[h].Do(context.Background(), bad)) }()
	}
	for c.backend.ran("") == before {
		runtime.Gosched()
	}
	// A run that took no turn would be seen by now: the others ask at once.
	turnsAsked(c, 3)
	if n := c.backend.ran("") - before; n != 1 {
		t.Fatalf("%d copies run at once", n)
	}
	close(gate)
	for range hosts {
		if got := <-done; got == "suspect not-run" {
			t.Fatal("refused though it ran to its end")
		}
	}
}

// turnsAsked waits until the cluster's hosts have asked for a number of turns.
func turnsAsked(c *cluster, n uint64) {
	for {
		var sum uint64
		for _, node := range c.nodes {
			sum += node.turns.Load()
		}
		if sum >= n {
			return
		}
		runtime.Gosched()
	}
}

// TestSuspectWithoutKeeper checks that a suspect runs by the second keeper when
// the first is gone, and is refused when both are.
func TestSuspectWithoutKeeper(t *testing.T) {
	c, bad, f := suspectedIn(t)
	keepers := suspect.Keepers(f, hosts)
	asker := c.nodes[keepers[2]]
	delete(c.nodes, keepers[0])
	if got := text(asker.Do(context.Background(), bad)); got == "suspect not-run" {
		t.Fatal("refused though the second keeper answers")
	}
	c, bad, _ = suspectedIn(t)
	delete(c.nodes, keepers[0])
	delete(c.nodes, keepers[1])
	want(t, text(c.nodes[keepers[2]].Do(context.Background(), bad)), "suspect not-run")
}

func TestMalformedTurn(t *testing.T) {
	c := newCluster(t)
	for _, r := range []*peerv1.SuspectTurn{
		{Fingerprint: []byte("short"), Holder: "h"}, {Fingerprint: make([]byte, 32)}, {Fingerprint: make([]byte, 32), Holder: "h", ForMicros: -1},
	} {
		if _, err := c.nodes["a-1"].serveTurn(r); err == nil {
			t.Errorf("%v is taken", r)
		}
	}
}
