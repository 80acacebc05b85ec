package slots

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"cassiatray/internal/core/admission"
	"cassiatray/internal/core/document"
	"cassiatray/internal/logging"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

// TestMain runs the tests on one processor. The race detector keeps one context
// for all timers of a synctest bubble, and two timers of a bubble that have
// expired and are received from on two processors at once crash it.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	goleak.VerifyTestMain(m)
}

const (
	testHosts = 4
	testSlots = 9
	hop       = 500 * time.Microsecond
)

// domain is a failure domain of managers that reach each other in memory, and
// the servers' own count of what is on them.
type domain struct {
	nodes map[string]*node

	mu    sync.Mutex
	index *document.Index
	on    map[string]int
	high  int
	dead  map[string]bool
	begun map[string]time.Time
}

// node is one host; a frozen one neither sends nor answers.
type node struct {
	*Manager
	d      *domain
	name   string
	cancel context.CancelFunc
	done   chan struct{}
}

func (n *node) Index() *document.Index { return n.d.inForce() }

func (d *domain) inForce() *document.Index {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.index
}

func (d *domain) put(index *document.Index) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index = index
}

func (n *node) Live() []string {
	n.d.mu.Lock()
	defer n.d.mu.Unlock()
	var out []string
	for i := range testHosts {
		if name := hostName(i); !n.d.dead[name] {
			out = append(out, name)
		}
	}
	return out
}

func hostName(i int) string { return fmt.Sprint("h", i) }

func address(i int) document.Address {
	return document.Address{AddrPort: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 1)}
}

func newDomain(servers int) *domain {
	dom := document.Domain{Name: "d"}
	for i := range testHosts {
		dom.EntryHosts = append(dom.EntryHosts, document.EntryHost{Name: hostName(i), Entry: address(i)})
	}
	svc := document.Service{Name: "svc", Slots: testSlots, Connections: 100, Classes: []document.Class{
		{Name: "sheet", Deadline: document.Duration(2 * time.Second)},
		{Name: "archive", Deadline: document.Duration(5 * time.Second), Priority: 7},
	}}
	for i := range servers {
		svc.Servers = append(svc.Servers, document.BackendServer{Name: fmt.Sprint("s", i), Domain: "d", Address: address(100 + i)})
	}
	doc := &document.Document{Regions: []document.Region{{Name: "r", Domains: []document.Domain{dom}}}, Services: []document.Service{svc}}
	d := &domain{index: document.NewIndex(doc), nodes: map[string]*node{}, on: map[string]int{}, dead: map[string]bool{}, begun: map[string]time.Time{}}
	for i := range testHosts {
		d.start(hostName(i), 1)
	}
	return d
}

func (d *domain) start(name string, incarnation uint64) {
	n := &node{d: d, name: name, done: make(chan struct{})}
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	n.Manager = New(Config{Host: name, Domain: "d", Incarnation: incarnation}, n, n, port.SystemClock{}, logging.Part(log, "slots"), nil)
	d.mu.Lock()
	d.nodes[name] = n
	d.mu.Unlock()
	var ctx context.Context
	ctx, n.cancel = context.WithCancel(context.Background())
	go func() { defer close(n.done); n.Run(ctx) }()
}

func (d *domain) stop() {
	for _, n := range d.nodes {
		n.cancel()
		<-n.done
	}
}

func (d *domain) freeze(name string, frozen bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dead[name] = frozen
}

func (d *domain) at(addr string) *node {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range testHosts {
		if address(i).String() == addr && !d.dead[hostName(i)] {
			return d.nodes[hostName(i)]
		}
	}
	return nil
}

// Call implements port.PeerCaller. A frozen host stays silent.
func (n *node) Call(ctx context.Context, addr string, req *peerv1.Request) (*peerv1.Reply, error) {
	req.FromHost, req.FromIncarnation = n.name, n.cfg.Incarnation
	time.Sleep(hop)
	self := address(int(n.name[1] - '0')).String()
	if n.d.at(self) == nil {
		// What a frozen process had under way has failed when it wakes.
		for n.d.at(self) == nil && ctx.Err() == nil {
			time.Sleep(hop)
		}
		return nil, &port.PeerError{Code: port.PeerBroken, Address: addr, Sent: true}
	}
	to := n.d.at(addr)
	if to == nil {
		<-ctx.Done()
		return nil, &port.PeerError{Code: port.PeerTimeout, Address: addr, Sent: true, Err: ctx.Err()}
	}
	reply := to.ServeAsk(req)
	reply.FromIncarnation = to.cfg.Incarnation
	time.Sleep(hop)
	return reply, nil
}

// Follow implements port.PeerCaller.
func (n *node) Follow(ctx context.Context, addr string, req *peerv1.Request, fn func(*peerv1.Reply) error) error {
	time.Sleep(hop)
	to := n.d.at(addr)
	if to == nil {
		<-ctx.Done()
		return &port.PeerError{Code: port.PeerTimeout, Address: addr, Sent: true, Err: ctx.Err()}
	}
	return to.ServeStream(ctx, req, func(r *peerv1.Reply) error {
		time.Sleep(hop)
		return fn(r)
	})
}

func (d *domain) want(class int) Want {
	svc := d.inForce().Service("svc")
	c := &svc.Classes[class]
	return Want{Service: svc, Class: c, Deadline: time.Now().Add(c.Deadline.D())}
}

// run sends one request from a host and counts it at its server.
func (d *domain) run(host string, work time.Duration) error {
	w := d.want(0)
	ctx, cancel := context.WithDeadline(context.Background(), w.Deadline)
	defer cancel()
	slot, err := d.nodes[host].Acquire(ctx, w)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.on[slot.Server]++
	d.high = max(d.high, d.on[slot.Server])
	d.begun[slot.Server] = time.Now()
	d.mu.Unlock()
	time.Sleep(work)
	d.mu.Lock()
	d.on[slot.Server]--
	d.mu.Unlock()
	slot.Done(work)
	return nil
}

// load sends requests at an even rate from the given hosts and returns how
// many failed.
func (d *domain) load(hosts []string, n int, interval time.Duration) int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	for i := range n {
		time.Sleep(interval)
		wg.Go(func() {
			if d.run(hosts[i%len(hosts)], 10*time.Millisecond) != nil {
				mu.Lock()
				failed++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return failed
}

// settle is longer than it takes to hold every server after all have started.
const settle = 2 * time.Second

func inDomain(t *testing.T, servers int, f func(t *testing.T, d *domain)) {
	synctest.Test(t, func(t *testing.T) {
		d := newDomain(servers)
		time.Sleep(settle)
		defer func() {
			d.stop()
			// Slots that were abandoned or lost are freed by their deadlines.
			time.Sleep(10 * time.Second)
		}()
		f(t, d)
	})
}

var allHosts = []string{"h0", "h1", "h2", "h3"}

func (d *domain) check(t *testing.T, failed, most int) {
	t.Helper()
	if d.high > testSlots || failed > most {
		t.Fatalf("%d on one server of %d slots, %d requests failed, at most %d may", d.high, testSlots, failed, most)
	}
}

func TestAllHostsUseAllServers(t *testing.T) {
	inDomain(t, 3, func(t *testing.T, d *domain) {
		// 27 slots of 10 ms: one request each 463 microseconds is 80% load.
		d.check(t, d.load(allHosts, 4000, 463*time.Microsecond), 0)
		if d.high < testSlots-2 {
			t.Fatalf("at most %d slots used", d.high)
		}
	})
}

func TestSurgeIsShedTruthfully(t *testing.T) {
	inDomain(t, 2, func(t *testing.T, d *domain) {
		failed := d.load(allHosts, 6000, 185*time.Microsecond) // three times the slots
		if d.high > testSlots || failed == 0 || failed > 5000 {
			t.Fatalf("%d on one server, %d of 6000 failed", d.high, failed)
		}
	})
}

// owner returns the host that holds a server.
func (d *domain) owner(server string) string {
	for name, n := range d.nodes {
		if n.view.Load().Holds(admission.Key{Service: "svc", Server: server}) {
			return name
		}
	}
	return ""
}

func TestFrozenOwnerStallsNobody(t *testing.T) {
	inDomain(t, 3, func(t *testing.T, d *domain) {
		frozen := d.owner("s0")
		d.freeze(frozen, true)
		var rest []string
		for _, h := range allHosts {
			if h != frozen {
				rest = append(rest, h)
			}
		}
		begin := time.Now()
		for _, h := range rest {
			if err := d.run(h, 10*time.Millisecond); err != nil {
				t.Fatalf("%s: %v", h, err)
			}
		}
		if took := time.Since(begin); took > time.Duration(len(rest))*(borrowTries*firstReply+20*time.Millisecond) {
			t.Fatalf("three requests took %v", took)
		}
		// Its servers are held anew once lease and longest deadline have passed.
		time.Sleep(lease + 5*time.Second + settle)
		if got := d.owner("s0"); got == frozen || got == "" {
			t.Fatalf("s0 is held by %q", got)
		}
		d.check(t, d.load(rest, 2000, 700*time.Microsecond), 0)
		// The frozen host wakes and fills what it still believes to hold.
		d.freeze(frozen, false)
		d.check(t, d.load(allHosts, 2000, 463*time.Microsecond), 0)
	})
}

func TestReplacedHostTakesPartAgain(t *testing.T) {
	inDomain(t, 3, func(t *testing.T, d *domain) {
		old := d.nodes["h1"]
		d.freeze("h1", true)
		old.cancel()
		<-old.done
		time.Sleep(settle)
		d.start("h1", 2)
		d.freeze("h1", false)
		d.check(t, d.load(allHosts, 1000, 700*time.Microsecond), 1000)
		time.Sleep(lease + 5*time.Second + settle)
		d.check(t, d.load(allHosts, 4000, 463*time.Microsecond), 0)
	})
}

func (n *node) load() admission.Offer {
	return offerMessage(n.loadOf(n.service("svc")))
}

func TestCancelledWaitFreesItsPlace(t *testing.T) {
	inDomain(t, 1, func(t *testing.T, d *domain) {
		owner := d.nodes[d.owner("s0")]
		var slots []*Slot
		for range testSlots {
			s, err := owner.Acquire(context.Background(), d.want(0))
			if err != nil {
				t.Fatal(err)
			}
			slots = append(slots, s)
		}
		for _, h := range allHosts {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
			if _, err := d.nodes[h].Acquire(ctx, d.want(0)); !errors.Is(err, context.DeadlineExceeded) {
				t.Fatalf("%s: %v", h, err)
			}
			cancel()
		}
		time.Sleep(hop)
		if n := owner.load().Queued; n != 0 {
			t.Fatalf("%d still queued", n)
		}
		for _, s := range slots {
			s.Abandon()
		}
		time.Sleep(cancelGrace - time.Millisecond)
		if n := owner.load().InFlight; n != testSlots {
			t.Fatalf("%d in flight before the server can have seen the end", n)
		}
		time.Sleep(2 * time.Millisecond)
		if n := owner.load().InFlight; n != 0 {
			t.Fatalf("%d in flight", n)
		}
	})
}

func TestLeavingServerGetsNoNewWork(t *testing.T) {
	inDomain(t, 3, func(t *testing.T, d *domain) {
		// One host sees the sign in an answer; the health endpoint lies after.
		d.nodes["h2"].Answered("svc", "s0", &port.BackendAnswer{Boot: "b1", Leaving: true})
		seen := time.Now()
		d.load(allHosts, 3000, 700*time.Microsecond)
		for _, h := range allHosts {
			d.nodes[h].Answered("svc", "s0", &port.BackendAnswer{Boot: "b1"})
		}
		d.load(allHosts, 1000, 700*time.Microsecond)
		if late := d.begun["s0"].Sub(seen); late > time.Second {
			t.Fatalf("new work %v after the first sign", late)
		}
		// A new process of the server is seen: it is used again.
		d.begun["s0"] = time.Time{}
		for _, h := range allHosts {
			d.nodes[h].Answered("svc", "s0", &port.BackendAnswer{Boot: "b2"})
		}
		d.load(allHosts, 1000, 700*time.Microsecond)
		if d.begun["s0"].IsZero() {
			t.Fatal("the restarted server got no work")
		}
	})
}
