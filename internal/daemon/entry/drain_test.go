package entry

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"cassiatray/api"
	"cassiatray/internal/core/document"
	"cassiatray/internal/daemon/slots"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

// busySlots is one slot that is in use until free is closed.
type busySlots struct {
	unlimitedSlots
	waiting, free chan struct{}
	// returned counts the slots that were returned; unused, those on which nothing was sent.
	returned, unused int
}

func (b *busySlots) Acquire(context.Context, slots.Want) (*slots.Slot, error) {
	close(b.waiting)
	<-b.free
	return slots.NewSlot("sask-a0", "address", func(took time.Duration) {
		b.returned++
		if took == 0 {
			b.unused++
		}
	}), nil
}

// servingPeers answers every dispatch.
type servingPeers struct {
	port.PeerCaller
	dispatches int
}

func (p *servingPeers) Call(context.Context, string, *peerv1.Request) (*peerv1.Reply, error) {
	p.dispatches++
	out := resultToProto(result{answer: &port.CallerAnswer{Status: http.StatusOK, Body: []byte("elsewhere")}})
	return &peerv1.Reply{Body: &peerv1.Reply_DispatchResult{DispatchResult: out}}, nil
}

// putInForce puts a document in force at a node, accepted now.
func putInForce(n *Node, clock *manualClock, doc *document.Document) {
	next := *n.feed.Snapshot()
	next.Head = document.Head{Sequence: next.Head.Sequence + 1, Accepted: clock.now}
	next.Index = document.NewIndex(doc)
	n.feed.snapshot.Store(&next)
}

// finishDrains advances the clock until all callers have moved.
func finishDrains(n *Node, clock *manualClock) {
	for range 60 * 120 {
		clock.now = clock.now.Add(500 * time.Millisecond)
		if n.steering.viewFor(n.feed.Snapshot(), clock.now).drainLevels["depot-orders"].Done("sask-a", "sask") {
			return
		}
	}
}

// Guards against sending a request that waited for a slot to a server of a place that was drained
// meanwhile.
func TestWaitingRequestLeavesDrainedPlace(t *testing.T) {
	for place, drain := range map[string]document.Drain{
		"domain": {Domain: "sask-a", At: testNow}, "region": {Region: "sask", At: testNow},
	} {
		for _, planned := range []bool{true, false} {
			for _, forwarded := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, planned %t, forwarded %t", place, planned, forwarded), func(t *testing.T) {
					doc := threeRegionDocument()
					doc.Services[0].Classes[0].Deadline = document.Duration(time.Minute)
					drained := *doc
					drained.Drains = []document.Drain{drain}
					if planned {
						doc = &drained
					}
					n, clock := newTestNode(t, func(d *document.Document) { *d = *doc })
					backend := &fakeBackend{runs: map[string]int{}}
					n.backend.Backend, n.backend.prober = backend, backend
					peers := new(servingPeers)
					n.peers = peers
					busy := &busySlots{unlimitedSlots: unlimitedSlots{domain: "sask-a"}, waiting: make(chan struct{}), free: make(chan struct{})}
					n.slots = busy
					received := newTestRequest(t, n, saskClient).received
					got := make(chan string, 1)
					go func() {
						if forwarded {
							d := &peerv1.Dispatch{
								Service: received.Service, Method: received.Method, Path: received.Path, Hops: 1, Attempt: 1,
								HomeRegion: "sask", Sequence: 1, OriginDomain: "sask-b",
							}
							r := n.serveDispatch(context.Background(), d)
							got <- answerText(r.answer, r.failure)
							return
						}
						got <- answerText(n.Do(context.Background(), received))
					}()
					<-busy.waiting
					if !planned {
						putInForce(n, clock, &drained)
					}
					finishDrains(n, clock)
					close(busy.free)
					want, dispatches := "elsewhere", 1
					if forwarded {
						want, dispatches = string(api.CodeNoServer)+" "+string(api.OutcomeNotRun), 0
					}
					wantText(t, <-got, want)
					if runs := backend.runCount(""); runs != 0 || peers.dispatches != dispatches {
						t.Errorf("%d runs in the drained place and %d elsewhere, want 0 and %d", runs, peers.dispatches, dispatches)
					}
					if busy.returned != 1 || busy.unused != 1 {
						t.Errorf("%d slots returned, %d unused, want 1 and 1", busy.returned, busy.unused)
					}
				})
			}
		}
	}
}

// drainingBackend puts a document in force during its first exchange, which is not sent.
type drainingBackend struct {
	*fakeBackend
	drain func()
}

func (b *drainingBackend) Do(ctx context.Context, address string, req *port.BackendRequest) (*port.BackendAnswer, error) {
	if b.drain != nil {
		b.drain()
		b.drain = nil
		return nil, &port.BackendError{Code: port.BackendConnect, Address: address}
	}
	return b.fakeBackend.Do(ctx, address, req)
}

// Guards against retries that choose a place by the document of the first attempt, and that take the
// steering of other requests back to that document.
func TestRetryUsesDocumentInForce(t *testing.T) {
	before := threeRegionDocument()
	before.Services[0].Classes[0].Deadline = document.Duration(time.Minute)
	before.Services[0].Classes[0].Retries = 100
	for i := range before.Regions {
		for j := range before.Regions[i].Domains {
			before.Regions[i].Domains[j].EntryHosts = before.Regions[i].Domains[j].EntryHosts[:1]
		}
	}
	// Only sask-a has servers, and its servers are the first attempt's only candidates.
	before.Services[0].Servers = before.Services[0].Servers[:3]
	after := *before
	after.Services = slices.Clone(before.Services)
	after.Services[0].Servers = slices.Clone(before.Services[0].Servers)
	for i := range after.Services[0].Servers {
		after.Services[0].Servers[i].Domain = "sask-b"
	}
	n, clock := newTestNode(t, func(d *document.Document) { *d = *before })
	n.slots = unlimitedSlots{domain: "sask-a"}
	peers := new(servingPeers)
	n.peers = peers
	backend := &drainingBackend{fakeBackend: &fakeBackend{runs: map[string]int{}}, drain: func() {
		putInForce(n, clock, &after)
		n.steering.viewFor(n.feed.Snapshot(), clock.now)
	}}
	n.backend.Backend, n.backend.prober = backend, backend
	wantText(t, answerText(n.Do(context.Background(), newTestRequest(t, n, saskClient).received)), "elsewhere")
	if v := n.steering.view.Load(); v.snapshot != n.feed.Snapshot() {
		t.Errorf("steering by document %d, want %d", v.snapshot.Head.Sequence, n.feed.Snapshot().Head.Sequence)
	}
}
