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

// newClusterWithSuspect returns a cluster in which a request has crashed one server.
func newClusterWithSuspect(t *testing.T) (*cluster, *port.CallerRequest, suspect.Fingerprint) {
	c := newCluster(t)
	bad := &port.CallerRequest{Service: "orders", Method: http.MethodGet, Path: "/stock/bad"}
	crash := &port.BackendError{Code: port.BackendBroken, Sent: true}
	timeout := &port.BackendError{Code: port.BackendTimeout, Sent: true}
	c.backend.failures = []error{crash, timeout}
	c.nodes["a-1"].Do(context.Background(), bad)
	c.backend.failures = nil
	return c, bad, (&suspect.Identity{Authority: "orders", Method: http.MethodGet, Path: "/stock/bad"}).Fingerprint()
}

// TestSuspectRunsOnceAtATime checks that copies of a suspect on different hosts run one at
// a time: the next copy runs only after the previous one has ended.
func TestSuspectRunsOnceAtATime(t *testing.T) {
	c, bad, _ := newClusterWithSuspect(t)
	gate := make(chan struct{})
	before := c.backend.runCount("")
	c.backend.gate = gate
	done := make(chan string, len(hosts))
	for _, h := range hosts {
		go func() { done <- answerText(c.nodes[h].Do(context.Background(), bad)) }()
	}
	for c.backend.runCount("") == before {
		runtime.Gosched()
	}
	// The other hosts request their turns immediately, so a copy that runs without a turn
	// is counted by now.
	waitForTurnRequests(c, 3)
	if n := c.backend.runCount("") - before; n != 1 {
		t.Fatalf("%d copies ran at the same time", n)
	}
	close(gate)
	for range hosts {
		if got := <-done; got == "suspect not-run" {
			t.Fatal("refused although it ran to completion")
		}
	}
}

// waitForTurnRequests waits until the hosts of the cluster have requested n turns.
func waitForTurnRequests(c *cluster, n uint64) {
	for {
		var sum uint64
		for _, node := range c.nodes {
			sum += node.turnRequests.Load()
		}
		if sum >= n {
			return
		}
		runtime.Gosched()
	}
}

// TestSuspectWithoutCoordinator checks that a suspect runs with a turn from the second
// coordinator if the first is unreachable, and is rejected if both are.
func TestSuspectWithoutCoordinator(t *testing.T) {
	c, bad, f := newClusterWithSuspect(t)
	coordinators := suspect.Keepers(f, hosts)
	requester := c.nodes[coordinators[2]]
	delete(c.nodes, coordinators[0])
	if got := answerText(requester.Do(context.Background(), bad)); got == "suspect not-run" {
		t.Fatal("refused although the second coordinator is reachable")
	}
	c, bad, _ = newClusterWithSuspect(t)
	delete(c.nodes, coordinators[0])
	delete(c.nodes, coordinators[1])
	wantText(t, answerText(c.nodes[coordinators[2]].Do(context.Background(), bad)), "suspect not-run")
}

func TestMalformedTurnRequestRejected(t *testing.T) {
	c := newCluster(t)
	for _, r := range []*peerv1.SuspectTurn{
		{Fingerprint: []byte("short"), Holder: "h"}, {Fingerprint: make([]byte, 32)}, {Fingerprint: make([]byte, 32), Holder: "h", ForMicros: -1},
	} {
		if _, err := c.nodes["a-1"].serveTurn(r); err == nil {
			t.Errorf("malformed request accepted: %v", r)
		}
	}
}
