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

func wantText(t *testing.T, got, want string) {
	t.Helper()
	if got != want {
		t.Fatalf("got %q, want %q", got, want)
	}
}

// TestResendReturnsSameAnswer checks that an operation runs once, and that every host
// returns its one answer to a resend.
func TestResendReturnsSameAnswer(t *testing.T) {
	c := newCluster(t)
	id := c.newID(t, "a-1")
	for _, h := range []string{"a-1", "a-1", "a-2", "a-3"} {
		wantText(t, c.book(h, id), "run 1")
	}
}

// TestConcurrentCopiesRunOnce sends copies of an operation to all hosts at once while the
// first copy is running.
func TestConcurrentCopiesRunOnce(t *testing.T) {
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
		wantText(t, a, "run 1")
	}
}

// TestOperationContinuesAfterCallerCancels checks that an operation runs to completion
// after its caller has canceled the request, and that a resend returns its answer.
func TestOperationContinuesAfterCallerCancels(t *testing.T) {
	c := newCluster(t)
	id := c.newID(t, "a-1")
	c.backend.gate = make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	wantText(t, answerText(c.nodes["a-1"].Do(ctx, booking(id))), "canceled unknown")
	close(c.backend.gate)
	wantText(t, c.book("a-2", id), "run 1")
}

// TestLostReplyIsReportedUnknown loses the owner's reply after the operation has run. The
// caller must receive an unknown outcome, and a resend the answer.
func TestLostReplyIsReportedUnknown(t *testing.T) {
	c := newCluster(t)
	id := c.newID(t, "a-1")
	c.lostReplies = 1
	wantText(t, c.book("a-2", id), "owner-unreachable unknown")
	wantText(t, c.book("a-2", id), "run 1")
}

// TestOperationOfEndedProcessIsNotRun checks that no host runs an operation of an ended
// process, even if a new process serves at the same address.
func TestOperationOfEndedProcessIsNotRun(t *testing.T) {
	for name, restart := range map[string]bool{"restarted": true, "not restarted": false} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t)
			ran, fresh := c.newID(t, "a-1"), c.newID(t, "a-1")
			wantText(t, c.book("a-1", ran), "run 1")
			delete(c.nodes, "a-1")
			if restart {
				c.startProcess(t, "a-1", 2)
			}
			for h := range c.nodes {
				wantText(t, c.book(h, ran), "owner-gone unknown")
				wantText(t, c.book(h, fresh), "owner-gone unknown")
			}
			if c.backend.runCount(ran) != 1 || c.backend.runCount(fresh) != 0 {
				t.Fatalf("runs %d and %d", c.backend.runCount(ran), c.backend.runCount(fresh))
			}
		})
	}
}

// TestRequestsForwardedToDomainWithServers sends requests of both kinds to a host whose
// failure domain has no servers.
func TestRequestsForwardedToDomainWithServers(t *testing.T) {
	c := newCluster(t)
	c.doc.Regions[0].Domains = append(c.doc.Regions[0].Domains, document.Domain{
		Name: "b", EntryHosts: []document.EntryHost{{Name: "b-1", Entry: c.doc.Regions[0].Domains[0].EntryHosts[0].Entry}},
	})
	for i := range c.doc.Services[0].Servers {
		c.doc.Services[0].Servers[i].Domain = "b"
	}
	c.startProcess(t, "b-1", 1)
	id := c.newID(t, "a-1")
	wantText(t, c.book("a-2", id), "run 1")
	wantText(t, c.book("b-1", id), "run 1")
	stock := &port.CallerRequest{Service: "orders", Method: http.MethodGet, Path: "/stock", Header: http.Header{}}
	if _, failure := c.nodes["a-3"].Do(context.Background(), stock); failure != nil {
		t.Fatal(failure)
	}
}

// Guards against entry hosts that fail requests because they have no link to the servers of their
// own failure domain, though hosts of another domain reach theirs.
func TestHostWithoutLinksForwardsToOtherDomains(t *testing.T) {
	unsent := &port.BackendError{Code: port.BackendConnect}
	sent := &port.BackendError{Code: port.BackendBroken, Sent: true}
	for name, c := range map[string]struct {
		fail error
		want string
	}{"never left": {unsent, "run 2"}, "may have run": {sent, "backend-failed unknown"}} {
		t.Run(name, func(t *testing.T) {
			cl := newCluster(t)
			cl.doc.Regions[0].Domains = append(cl.doc.Regions[0].Domains, document.Domain{
				Name: "b", EntryHosts: []document.EntryHost{{Name: "b-1", Entry: cl.doc.Regions[0].Domains[0].EntryHosts[0].Entry}},
			})
			cl.doc.Services[0].Servers[1].Domain = "b"
			for i := range cl.doc.Services[0].Classes {
				cl.doc.Services[0].Classes[i].Retries = 0
			}
			cl.startProcess(t, "b-1", 1)
			cl.backend.failures = []error{c.fail}
			wantText(t, cl.book("a-1", cl.newID(t, "a-1")), c.want)
		})
	}
}

// TestHandOverMovesRecords stops one host after another. The records must be handed over
// each time, and an operation that was never started must be reported as not run.
func TestHandOverMovesRecords(t *testing.T) {
	c := newCluster(t)
	ran, fresh := c.newID(t, "a-1"), c.newID(t, "a-1")
	wantText(t, c.book("a-1", ran), "run 1")
	for i, h := range []string{"a-1", "a-2", "a-3", "a-1"} {
		old := c.nodes[h]
		old.handOver(context.Background())
		wantText(t, answerText(old.Do(context.Background(), booking(c.newID(t, h)))), "stopping not-run")
		c.startProcess(t, h, uint64(i+2))
		for _, other := range hosts {
			wantText(t, c.book(other, ran), "run 1")
			wantText(t, c.book(other, fresh), "stopping not-run")
		}
	}
}

// TestHandOverRejectsForeignRecord checks that a record of one process is rejected in the
// record set of another.
func TestHandOverRejectsForeignRecord(t *testing.T) {
	c := newCluster(t)
	h := &peerv1.HandOver{Host: "a-2", Incarnation: 1, Last: true, Records: []*peerv1.OperationRecord{{OperationId: c.newID(t, "a-1")}}}
	if _, err := c.nodes["a-3"].serveHandOver(h); err == nil {
		t.Fatal("a record of another process was accepted")
	}
}

// TestRefuseSealsOperation checks that a refused copy is reported as not run only if no
// other copy has run, and that none runs afterwards.
func TestRefuseSealsOperation(t *testing.T) {
	tooLarge := &api.Error{Code: api.CodeBodyTooLarge, Outcome: api.OutcomeNotRun}
	for _, at := range []string{"a-1", "a-2"} {
		c := newCluster(t)
		fresh, ran := c.newID(t, "a-1"), c.newID(t, "a-1")
		wantText(t, c.book("a-1", ran), "run 1")
		wantText(t, answerText(nil, c.nodes[at].Refuse(context.Background(), ran, tooLarge)), "body-too-large unknown")
		wantText(t, answerText(nil, c.nodes[at].Refuse(context.Background(), fresh, tooLarge)), "body-too-large not-run")
		for _, h := range hosts {
			if got := c.book(h, fresh); got != "body-too-large not-run" && got != "stopping not-run" {
				t.Fatalf("after a refusal: %s", got)
			}
		}
		if c.backend.runCount(fresh) != 0 {
			t.Fatal("a refused operation ran")
		}
	}
}

func TestInvalidOperationIDRejected(t *testing.T) {
	c := newCluster(t)
	wantText(t, c.book("a-1", ""), "operation-id-required not-run")
	wantText(t, c.book("a-1", "x"), "bad-operation-id not-run")
}

// TestRequiredOperationID checks that classes of both kinds that require an operation ID
// reject requests without one before sending anything, and that other idempotent classes
// need none.
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
		wantText(t, answerText(c.nodes["a-1"].Do(context.Background(), stock)), idempotent)
		wantText(t, c.book("a-1", ""), "operation-id-required not-run")
		if got := c.backend.runCount(""); got != runs {
			t.Fatalf("required %v: %d runs, want %d", required, got, runs)
		}
		stock.OperationID = c.newID(t, "a-1")
		if _, failure := c.nodes["a-1"].Do(context.Background(), stock); failure != nil {
			t.Fatal(failure)
		}
	}
}

// TestDuplicateDispatchRejected checks that a host runs a received attempt once, and
// rejects attempts with the same or a lower number.
func TestDuplicateDispatchRejected(t *testing.T) {
	c := newCluster(t)
	id := c.newID(t, "a-1")
	dispatch := func(attempt uint32) string {
		d := &peerv1.Dispatch{Service: "orders", Method: http.MethodPost, Path: "/bookings", OperationId: id, Hops: 1, Attempt: attempt}
		r := c.nodes["a-2"].serveDispatch(context.Background(), d)
		return answerText(r.answer, r.failure)
	}
	wantText(t, dispatch(2), "run 1")
	wantText(t, dispatch(2), "duplicate-dispatch unknown")
	wantText(t, dispatch(1), "duplicate-dispatch unknown")
}

// TestRetriesSafeFailuresOnly checks which failures are retried.
func TestRetriesSafeFailuresOnly(t *testing.T) {
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
			cl.backend.failures = []error{c.fail}
			id := ""
			req := &port.CallerRequest{Service: "orders", Method: http.MethodGet, Path: "/stock"}
			if c.once {
				id = cl.newID(t, "a-1")
				req = booking(id)
			}
			wantText(t, answerText(cl.nodes["a-1"].Do(context.Background(), req)), c.want)
			if got := cl.backend.runCount(id); got != c.runs {
				t.Fatalf("%d runs, want %d", got, c.runs)
			}
		})
	}
}

// TestHedgesIdempotentRequestsOnly checks that a second copy of a slow idempotent request
// is sent and its answer cancels the first copy, and that an at-most-once request is never
// hedged.
func TestHedgesIdempotentRequestsOnly(t *testing.T) {
	for once, runs := range map[bool]int{false: 2, true: 1} {
		c := newCluster(t)
		for i := range c.doc.Services[0].Classes {
			c.doc.Services[0].Classes[i].HedgeAfter = 1
		}
		c.backend.gatedRuns = 1
		c.backend.gate = make(chan struct{})
		req := &port.CallerRequest{Service: "orders", Method: http.MethodGet, Path: "/stock/salt"}
		id := ""
		if once {
			id = c.newID(t, "a-1")
			req = booking(id)
			close(c.backend.gate)
		}
		if _, failure := c.nodes["a-1"].Do(context.Background(), req); failure != nil {
			t.Fatal(failure)
		}
		if got := c.backend.runCount(id); got != runs {
			t.Fatalf("%d runs, want %d", got, runs)
		}
	}
}

// TestSuspectSharedWithAllHosts checks that every host refuses a request once it has
// crashed servers suspect.CrashLimit times, and that a request that runs to completion is
// cleared on every host.
func TestSuspectSharedWithAllHosts(t *testing.T) {
	c := newCluster(t)
	crash := &port.BackendError{Code: port.BackendBroken, Sent: true}
	timeout := &port.BackendError{Code: port.BackendTimeout, Sent: true}
	bad := &port.CallerRequest{Service: "orders", Method: http.MethodGet, Path: "/stock/bad"}
	other := &port.CallerRequest{Service: "orders", Method: http.MethodGet, Path: "/stock/other"}
	for range suspect.CrashLimit {
		c.backend.failures = []error{crash, timeout}
		c.nodes["a-1"].Do(context.Background(), bad)
		c.backend.failures = nil
		// The server, which is always the same here, completes other requests in between,
		// so that its next crash counts.
		if _, failure := c.nodes["a-1"].Do(context.Background(), other); failure != nil {
			t.Fatal(failure)
		}
	}
	for _, h := range hosts {
		wantText(t, answerText(c.nodes[h].Do(context.Background(), bad)), "suspect not-run")
	}
	c.backend.failures = []error{crash}
	good := &port.CallerRequest{Service: "orders", Method: http.MethodGet, Path: "/stock/good"}
	if got := answerText(c.nodes["a-2"].Do(context.Background(), good)); got == "suspect not-run" {
		t.Fatal("a request that crashed one server is refused")
	}
	// The other hosts are sent the clearing report in the background.
	for len(c.nodes["a-1"].dumpSuspects()) != 1 {
		runtime.Gosched()
	}
}

// BenchmarkRequest measures one request through an entry process, without network
// connections.
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
