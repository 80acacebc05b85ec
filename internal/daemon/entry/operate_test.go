package entry

import (
	"context"
	"net/http"
	"runtime"
	"sync"
	"testing"

	"cassiatray/api"
	"cassiatray/internal/core/document"
	"cassiatray/internal/core/suspect"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

func want(t *testing.T, got, want string) {
	t.Helper()
	if got != want {
		t.Fatalf("got %q, want %q", got, want)
	}
}

// TestResend checks that every host gives the one answer of an operation.
func TestResend(t *testing.T) {
	c := newCluster(t)
	id := c.newID(t, "a-1")
	for _, h := range []string{"a-1", "a-1", "a-2", "a-3"} {
		want(t, c.book(h, id), "run 1")
	}
}

// TestJoin sends copies to all hosts at once while the first is running.
func TestJoin(t *testing.T) {
	c := newCluster(t)
	id := c.newID(t, "a-2")
	c.backend.gate = make(chan struct{})
	answers := make(chan string, 12)
	var wg sync.WaitGroup
	for i := range cap(answers) {
		wg.Go(func() { answers <- c.book(hosts[i%len(hosts)], id) })
	}
	close(c.backend.gate)
	wg.Wait()
	close(answers)
	for a := range answers {
		want(t, a, "run 1")
	}
}

// TestCallerLeaves checks that an operation goes on when its caller leaves, and
// that a resend finds its answer.
func TestCallerLeaves(t *testing.T) {
	c := newCluster(t)
	id := c.newID(t, "a-1")
	c.backend.gate = make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	want(t, text(c.nodes["a-1"].Do(ctx, booking(id))), "canceled unknown")
	close(c.backend.gate)
	want(t, c.book("a-2", id), "run 1")
}

// TestLostReply checks that an operation whose relay was lost after it took
// effect is told as unknown, and found by a resend.
func TestLostReply(t *testing.T) {
	c := newCluster(t)
	id := c.newID(t, "a-1")
	c.lost = 1
	want(t, c.book("a-2", id), "owner-unreachable unknown")
	want(t, c.book("a-2", id), "run 1")
}

// TestOwnerDies checks that no host runs an operation of a process that ended,
// also when a new one answers on its address.
func TestOwnerDies(t *testing.T) {
	for name, restart := range map[string]bool{"restarted": true, "gone": false} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t)
			ran, fresh := c.newID(t, "a-1"), c.newID(t, "a-1")
			want(t, c.book("a-1", ran), "run 1")
			delete(c.nodes, "a-1")
			if restart {
				c.start(t, "a-1", 2)
			}
			for h := range c.nodes {
				want(t, c.book(h, ran), "owner-gone unknown")
				want(t, c.book(h, fresh), "owner-gone unknown")
			}
			if c.backend.ran(ran) != 1 || c.backend.ran(fresh) != 0 {
				t.Fatalf("runs %d and %d", c.backend.ran(ran), c.backend.ran(fresh))
			}
		})
	}
}

// TestServersElsewhere checks requests of both kinds at a host whose domain has
// no servers.
func TestServersElsewhere(t *testing.T) {
	c := newCluster(t)
	c.doc.Regions[0].Domains = append(c.doc.Regions[0].Domains, document.Domain{
		Name: "b", EntryHosts: []document.EntryHost{{Name: "b-1", Entry: c.doc.Regions[0].Domains[0].EntryHosts[0].Entry}},
	})
	for i := range c.doc.Services[0].Servers {
		c.doc.Services[0].Servers[i].Domain = "b"
	}
	c.start(t, "b-1", 1)
	id := c.newID(t, "a-1")
	want(t, c.book("a-2", id), "run 1")
	want(t, c.book("b-1", id), "run 1")
	stock := &port.CallerRequest{Service: "orders", Method: http.MethodGet, Path: "/stock", Header: http.Header{}}
	if _, fail := c.nodes["a-3"].Do(context.Background(), stock); fail != nil {
		t.Fatal(fail)
	}
}

// TestHandOver stops hosts one after another: the records move along, and an
// operation that was never begun is known not to have run.
func TestHandOver(t *testing.T) {
	c := newCluster(t)
	ran, fresh := c.newID(t, "a-1"), c.newID(t, "a-1")
	want(t, c.book("a-1", ran), "run 1")
	for i, h := range []string{"a-1", "a-2", "a-3", "a-1"} {
		old := c.nodes[h]
		old.handOver(context.Background())
		want(t, text(old.Do(context.Background(), booking(c.newID(t, h)))), "stopping not-run")
		c.start(t, h, uint64(i+2))
		for _, other := range hosts {
			want(t, c.book(other, ran), "run 1")
			want(t, c.book(other, fresh), "stopping not-run")
		}
	}
}

// TestHandOverRefused checks that records of one process cannot come in the
// name of another.
func TestHandOverRefused(t *testing.T) {
	c := newCluster(t)
	h := &peerv1.HandOver{Host: "a-2", Incarnation: 1, Last: true, Records: []*peerv1.OperationRecord{{OperationId: c.newID(t, "a-1")}}}
	if _, err := c.nodes["a-3"].serveHandOver(h); err == nil {
		t.Fatal("the records were taken")
	}
}

// TestRefuse checks that a refused copy is told not-run only when no copy runs,
// and that none runs after that.
func TestRefuse(t *testing.T) {
	large := &api.Error{Code: api.CodeBodyTooLarge, Outcome: api.OutcomeNotRun}
	for _, at := range []string{"a-1", "a-2"} {
		c := newCluster(t)
		fresh, ran := c.newID(t, "a-1"), c.newID(t, "a-1")
		want(t, c.book("a-1", ran), "run 1")
		want(t, text(nil, c.nodes[at].Refuse(context.Background(), ran, large)), "body-too-large unknown")
		want(t, text(nil, c.nodes[at].Refuse(context.Background(), fresh, large)), "body-too-large not-run")
		for _, h := range hosts {
			if got := c.book(h, fresh); got != "body-too-large not-run" && got != "stopping not-run" {
				t.Fatalf("after a refusal: %s", got)
			}
		}
		if c.backend.ran(fresh) != 0 {
			t.Fatal("a refused operation ran")
		}
	}
}

func TestNoOperationID(t *testing.T) {
	c := newCluster(t)
	want(t, c.book("a-1", ""), "operation-id-required not-run")
	want(t, c.book("a-1", "x"), "bad-operation-id not-run")
}

// TestRequiredOperationID checks that a class of either kind that asks for an
// operation ID refuses requests without one before anything is sent, and that
// other idempotent classes need none.
func TestRequiredOperationID(t *testing.T) {
	for _, required := range []bool{true, false} {
		c := newCluster(t)
		classes := c.doc.Services[0].Classes
		for i := range classes {
			classes[i].RequireOperationID = required
		}
		stock := &port.CallerRequest{Service: "orders", Method: http.MethodGet, Path: "/stock", Header: http.Header{}}
		runs, idempotent := 1, "run 1"
		if required {
			runs, idempotent = 0, "operation-id-required not-run"
		}
		want(t, text(c.nodes["a-1"].Do(context.Background(), stock)), idempotent)
		want(t, c.book("a-1", ""), "operation-id-required not-run")
		if got := c.backend.ran(""); got != runs {
			t.Fatalf("required %v: %d runs, want %d", required, got, runs)
		}
		stock.OperationID = c.newID(t, "a-1")
		if _, fail := c.nodes["a-1"].Do(context.Background(), stock); fail != nil {
			t.Fatal(fail)
		}
	}
}

// TestRepeatedDispatch checks that a host runs one attempt of an operation of
// another once, and only a higher number after it.
func TestRepeatedDispatch(t *testing.T) {
	c := newCluster(t)
	id := c.newID(t, "a-1")
	dispatch := func(attempt uint32) string {
		d := &peerv1.Dispatch{Service: "orders", Method: http.MethodPost, Path: "/bookings", OperationId: id, Hops: 1, Attempt: attempt}
		r := c.nodes["a-2"].serveDispatch(context.Background(), d)
		return text(r.answer, r.fail)
	}
	want(t, dispatch(2), "run 1")
	want(t, dispatch(2), "duplicate-dispatch unknown")
	want(t, dispatch(1), "duplicate-dispatch unknown")
}

// TestRetry checks which failures are tried again.
func TestRetry(t *testing.T) {
	unsent := &port.BackendError{Code: port.BackendConnect}
	sent := &port.BackendError{Code: port.BackendShort, Sent: true}
	timeout := &port.BackendError{Code: port.BackendTimeout, Sent: true}
	for name, c := range map[string]struct {
		once bool
		fail error
		runs int
		want string
	}{
		"idempotent, sent":     {false, sent, 2, "run 2"},
		"idempotent, unsent":   {false, unsent, 2, "run 2"},
		"idempotent, too late": {false, timeout, 1, "deadline-exceeded unknown"},
		"once, unsent":         {true, unsent, 2, "run 2"},
		"once, sent":           {true, sent, 1, "backend-failed unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			cl := newCluster(t)
			cl.backend.fail = []error{c.fail}
			id := ""
			req := &port.CallerRequest{Service: "orders", Method: http.MethodGet, Path: "/stock"}
			if c.once {
				id = cl.newID(t, "a-1")
				req = booking(id)
			}
			want(t, text(cl.nodes["a-1"].Do(context.Background(), req)), c.want)
			if got := cl.backend.ran(id); got != c.runs {
				t.Fatalf("%d runs, want %d", got, c.runs)
			}
		})
	}
}

// TestHedge checks that a second copy of a slow look-up overtakes it and
// cancels it, and that an at-most-once request never has one.
func TestHedge(t *testing.T) {
	for once, runs := range map[bool]int{false: 2, true: 1} {
		c := newCluster(t)
		for i := range c.doc.Services[0].Classes {
			c.doc.Services[0].Classes[i].HedgeAfter = 1
		}
		c.backend.slow = 1
		c.backend.gate = make(chan struct{})
		req := &port.CallerRequest{Service: "orders", Method: http.MethodGet, Path: "/stock/salt"}
		id := ""
		if once {
			id = c.newID(t, "a-1")
			req = booking(id)
			close(c.backend.gate)
		}
		if _, fail := c.nodes["a-1"].Do(context.Background(), req); fail != nil {
			t.Fatal(fail)
		}
		if got := c.backend.ran(id); got != runs {
			t.Fatalf("%d runs, want %d", got, runs)
		}
	}
}

// TestSuspectShared checks that a crashing request is refused everywhere after
// its second crash, and that a run to the end clears a request everywhere.
func TestSuspectShared(t *testing.T) {
	c := newCluster(t)
	crash := &port.BackendError{Code: port.BackendBroken, Sent: true}
	timeout := &port.BackendError{Code: port.BackendTimeout, Sent: true}
	bad := &port.CallerRequest{Service: "orders", Method: http.MethodGet, Path: "/stock/bad"}
	other := &port.CallerRequest{Service: "orders", Method: http.MethodGet, Path: "/stock/other"}
	for range suspect.CrashLimit {
		c.backend.fail = []error{crash, timeout}
		c.nodes["a-1"].Do(context.Background(), bad)
		c.backend.fail = nil
		// The server, which is always the same here, runs others.
		if _, fail := c.nodes["a-1"].Do(context.Background(), other); fail != nil {
			t.Fatal(fail)
		}
	}
	for _, h := range hosts {
		want(t, text(c.nodes[h].Do(context.Background(), bad)), "suspect not-run")
	}
	c.backend.fail = []error{crash}
	good := &port.CallerRequest{Service: "orders", Method: http.MethodGet, Path: "/stock/good"}
	if got := text(c.nodes["a-2"].Do(context.Background(), good)); got == "suspect not-run" {
		t.Fatal("an innocent request is refused")
	}
	// Hosts learn in the background that it ran to its end.
	for len(c.nodes["a-1"].dumpSuspects()) != 1 {
		runtime.Gosched()
	}
}

// BenchmarkRequest is one request on its way through an entry process, without
// its connections.
func BenchmarkRequest(b *testing.B) {
	c := newCluster(b)
	n := c.nodes["a-1"]
	b.Run("idempotent", func(b *testing.B) {
		b.ReportAllocs()
		req := &port.CallerRequest{Service: "orders", Method: http.MethodGet, Path: "/stock/salt", Header: http.Header{}}
		for b.Loop() {
			n.Do(context.Background(), req)
		}
	})
	b.Run("at-most-once", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			n.Do(context.Background(), booking(c.newID(b, "a-1")))
		}
	})
	b.Run("relayed", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			n.Do(context.Background(), booking(c.newID(b, "a-2")))
		}
	})
}
