package share

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cassiatray/internal/core/document"
)

const (
	testDeadline = 5 * time.Second
	testService  = "rodsheet"
	receiver     = "gulf"
)

var (
	senders   = []string{"carolinas", "delta"}
	hostNames = []string{"g1", "g2", "g3", "g4", "g5"}
)

// testDocument holds the settings of one document of a history.
type testDocument struct {
	hosts    []string // of the receiving region
	servers  int
	flowCaps [2]int // by sender, in percent
	totalCap int    // in percent
}

func (e testDocument) index() *document.Index {
	doc := &document.Document{Weigh: document.WeighLatency}
	region := document.Region{Name: receiver, Domains: []document.Domain{{Name: "gulf-a"}}}
	for _, h := range e.hosts {
		region.Domains[0].EntryHosts = append(region.Domains[0].EntryHosts, document.EntryHost{Name: h})
	}
	svc := document.Service{Name: testService, Slots: 3, Classes: []document.Class{{Deadline: document.Duration(testDeadline)}}}
	for i := range e.servers {
		svc.Servers = append(svc.Servers, document.BackendServer{Name: fmt.Sprint(i), Domain: "gulf-a"})
	}
	doc.Regions = []document.Region{region}
	for i, from := range senders {
		doc.Regions = append(doc.Regions, document.Region{Name: from})
		doc.Caps.Regions = append(doc.Caps.Regions, document.RegionCap{Service: testService, From: from, To: receiver, Share: document.Percent(e.flowCaps[i])})
	}
	doc.Caps.Services = []document.ServiceCap{{Service: testService, Share: document.Percent(e.totalCap)}}
	doc.Services = []document.Service{svc}
	return document.NewIndex(doc)
}

func (e testDocument) slotsFor(percent int) int {
	return int(math.Floor(float64(percent) / 100 * float64(e.servers*3)))
}

// event is one event of a history. The fields that are used depend on kind.
type event struct {
	kind  string
	after time.Duration
	host  int
	from  int
	burst int
	// runFor is how long a request runs; at most until its deadline.
	runFor time.Duration
	// hostsSeen is the number of hosts that a naive design considers reachable.
	hostsSeen int
	doc       testDocument
	// lag is the delay of the document at each host, in permille of MaxPropagation.
	lag []int
}

func drawDocument(t *rapid.T) testDocument {
	return testDocument{
		hosts:    drawHosts(t),
		servers:  rapid.IntRange(1, 6).Draw(t, "servers"),
		flowCaps: [2]int{rapid.IntRange(0, 100).Draw(t, "taken"), rapid.IntRange(0, 100).Draw(t, "taken")},
		totalCap: rapid.IntRange(0, 100).Draw(t, "fill"),
	}
}

func drawHosts(t *rapid.T) []string {
	n := rapid.IntRange(1, len(hostNames)).Draw(t, "hosts")
	out := slices.Clone(rapid.Permutation(hostNames).Draw(t, "order")[:n])
	slices.Sort(out)
	return out
}

var histories = rapid.Custom(func(t *rapid.T) []event {
	kinds := []string{"admit", "admit", "admit", "admit", "admit", "admit", "restart", "caps", "hosts", "wait"}
	out := []event{{kind: "first", doc: drawDocument(t)}}
	return append(out, rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
		a := event{kind: rapid.SampledFrom(kinds).Draw(t, "kind"), host: rapid.IntRange(0, len(hostNames)-1).Draw(t, "host")}
		a.after = time.Duration(rapid.IntRange(0, 400).Draw(t, "after")) * time.Millisecond
		switch a.kind {
		case "admit":
			a.from = rapid.IntRange(0, 1).Draw(t, "from")
			a.burst = rapid.IntRange(1, 10).Draw(t, "burst")
			a.runFor = time.Duration(rapid.IntRange(1000, 5000).Draw(t, "keep")) * time.Millisecond
			a.hostsSeen = rapid.IntRange(1, len(hostNames)).Draw(t, "seen")
		case "caps", "hosts":
			a.doc = drawDocument(t)
			a.lag = rapid.SliceOfN(rapid.IntRange(0, 1000), len(hostNames), len(hostNames)).Draw(t, "lag")
		case "wait":
			a.after = time.Duration(rapid.IntRange(0, 30).Draw(t, "seconds")) * time.Second
		}
		return a
	}), 10, 80).Draw(t, "acts")...)
})

// admitter is the implementation under test: Grants or a naive design.
type admitter interface {
	Put(now time.Time, d Document)
	Admit(now, deadline time.Time, f Flow, sequence uint64) (Lease, error)
	Release(l Lease)
}

// newAdmitter returns the admitter of a host that starts now.
type newAdmitter func(now time.Time, w *simulation, seen *int) admitter

// capError reports that a cap was exceeded.
type capError struct {
	scope    string
	got, cap int
	at       time.Duration
}

func (e *capError) Error() string {
	return fmt.Sprintf("%s: %d in flight over a cap of %d after %s", e.scope, e.got, e.cap, e.at)
}

type running struct {
	from   int
	endsAt time.Time
	host   int
	lease  Lease
}

// simulation replays a history and checks the caps independently of the admitters:
// it counts all requests that run in the receiving region, including those of
// processes that have been replaced, until they end.
type simulation struct {
	start, now     time.Time
	newHost        newAdmitter
	docs           []testDocument
	acceptedAt     []time.Time
	arrivals       [][]time.Time // by document and host
	lastInForce    []time.Time   // when a document was last in force anywhere
	current        []int
	admitters      []admitter
	running        []running
	hostsSeen      int
	lastHostChange time.Time
}

func newSimulation(first testDocument, m newAdmitter) *simulation {
	start := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	w := &simulation{start: start, now: start, newHost: m, hostsSeen: 1}
	w.accept(first, make([]int, len(hostNames)))
	for i := range hostNames {
		w.admitters, w.current = append(w.admitters, nil), append(w.current, 0)
		w.startHost(i)
	}
	w.now = w.now.Add(testDeadline)
	return w
}

func (w *simulation) accept(e testDocument, lag []int) {
	due := make([]time.Time, len(hostNames))
	for i := range due {
		due[i] = w.now.Add(MaxPropagation * time.Duration(lag[i]) / 1000)
	}
	w.docs = append(w.docs, e)
	w.acceptedAt = append(w.acceptedAt, w.now)
	w.lastInForce = append(w.lastInForce, w.now)
	w.arrivals = append(w.arrivals, due)
}

// startHost starts a process with the newest document that has arrived at its
// host.
func (w *simulation) startHost(host int) {
	w.admitters[host] = w.newHost(w.now, w, &w.hostsSeen)
	w.putDocument(host)
}

func (w *simulation) putDocument(host int) {
	d := w.current[host]
	w.admitters[host].Put(w.now, Document{
		Sequence: uint64(d + 1), Accepted: w.acceptedAt[d], Limits: LimitsOf(w.docs[d].index(), hostNames[host]),
	})
}

func (w *simulation) deliver() {
	for host := range hostNames {
		d := w.current[host]
		for next := range w.docs {
			if next > d && !w.now.Before(w.arrivals[next][host]) {
				d = next
			}
		}
		if d != w.current[host] {
			w.current[host] = d
			w.putDocument(host)
		}
		w.lastInForce[d] = w.now
	}
	w.running = slices.DeleteFunc(w.running, func(r running) bool {
		if !w.now.Before(r.endsAt) {
			w.admitters[r.host].Release(r.lease)
			return true
		}
		return false
	})
}

func (w *simulation) advance(d time.Duration) {
	const step = 100 * time.Millisecond
	for ; d > step; d -= step {
		w.now = w.now.Add(step)
		w.deliver()
	}
	w.now = w.now.Add(d)
	w.deliver()
}

func (w *simulation) apply(a event) {
	w.advance(a.after)
	switch a.kind {
	case "admit":
		for range a.burst {
			w.admit(a)
		}
	case "restart":
		w.startHost(a.host)
	case "caps":
		a.doc.hosts = w.docs[len(w.docs)-1].hosts
		for i := range a.lag {
			a.lag[i] *= 10 // a change of caps alone may exceed MaxPropagation
		}
		w.accept(a.doc, a.lag)
	case "hosts":
		if w.now.Sub(w.lastHostChange) >= MaxPropagation+testDeadline {
			w.lastHostChange = w.now
			w.accept(a.doc, a.lag)
		}
	}
}

func (w *simulation) admit(a event) {
	w.hostsSeen = a.hostsSeen
	f := Flow{Service: testService, From: senders[a.from]}
	lease, err := w.admitters[a.host].Admit(w.now, w.now.Add(testDeadline), f, 0)
	if err == nil {
		w.running = append(w.running, running{from: a.from, endsAt: w.now.Add(a.runFor), host: a.host, lease: lease})
	}
}

// checkCaps returns a *capError if more requests run than allowed by every
// document that was in force at some host within the longest deadline.
func (w *simulation) checkCaps() error {
	var flows, caps [2]int
	totalCap := 0
	for _, r := range w.running {
		flows[r.from]++
	}
	for i, d := range w.docs {
		if w.now.Sub(w.lastInForce[i]) > testDeadline {
			continue
		}
		caps = [2]int{max(caps[0], d.slotsFor(d.flowCaps[0])), max(caps[1], d.slotsFor(d.flowCaps[1]))}
		totalCap = max(totalCap, d.slotsFor(d.totalCap))
	}
	for i, n := range flows {
		if n > caps[i] {
			return &capError{scope: senders[i], got: n, cap: caps[i], at: w.now.Sub(w.start)}
		}
	}
	if n := flows[0] + flows[1]; n > totalCap {
		return &capError{scope: "all regions", got: n, cap: totalCap, at: w.now.Sub(w.start)}
	}
	return nil
}

func replay(history []event, m newAdmitter) error {
	w := newSimulation(history[0].doc, m)
	for _, a := range history[1:] {
		w.apply(a)
		if err := w.checkCaps(); err != nil {
			return err
		}
	}
	return nil
}

func newRealGrants(now time.Time, _ *simulation, _ *int) admitter { return NewGrants(now) }

func TestRegionCapHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := replay(histories.Draw(t, "history"), newRealGrants); err != nil {
			t.Fatal(err)
		}
	})
}
