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
	senders = []string{"carolinas", "delta"}
	pool    = []string{"g1", "g2", "g3", "g4", "g5"}
)

// edition is one document of a history.
type edition struct {
	hosts   []string // of the receiving region
	servers int
	taken   [2]int // caps on the senders, percent
	fill    int    // percent
}

func (e edition) index() *document.Index {
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
		doc.Caps.Regions = append(doc.Caps.Regions, document.RegionCap{Service: testService, From: from, To: receiver, Share: document.Percent(e.taken[i])})
	}
	doc.Caps.Services = []document.ServiceCap{{Service: testService, Share: document.Percent(e.fill)}}
	doc.Services = []document.Service{svc}
	return document.NewIndex(doc)
}

func (e edition) cap(percent int) int {
	return int(math.Floor(float64(percent) / 100 * float64(e.servers*3)))
}

// act is one event of a history; which fields count depends on kind.
type act struct {
	kind  string
	after time.Duration
	host  int
	from  int
	burst int
	// keep is how long a request runs, up to its deadline.
	keep time.Duration
	// seen is how many hosts a naive host believes alive.
	seen int
	doc  edition
	// lag is each host's delay of the document, in permille of the bound.
	lag []int
}

func drawEdition(t *rapid.T) edition {
	return edition{
		hosts:   drawHosts(t),
		servers: rapid.IntRange(1, 6).Draw(t, "servers"),
		taken:   [2]int{rapid.IntRange(0, 100).Draw(t, "taken"), rapid.IntRange(0, 100).Draw(t, "taken")},
		fill:    rapid.IntRange(0, 100).Draw(t, "fill"),
	}
}

func drawHosts(t *rapid.T) []string {
	n := rapid.IntRange(1, len(pool)).Draw(t, "hosts")
	out := slices.Clone(rapid.Permutation(pool).Draw(t, "order")[:n])
	slices.Sort(out)
	return out
}

var histories = rapid.Custom(func(t *rapid.T) []act {
	kinds := []string{"admit", "admit", "admit", "admit", "admit", "admit", "restart", "caps", "hosts", "wait"}
	out := []act{{kind: "first", doc: drawEdition(t)}}
	return append(out, rapid.SliceOfN(rapid.Custom(func(t *rapid.T) act {
		a := act{kind: rapid.SampledFrom(kinds).Draw(t, "kind"), host: rapid.IntRange(0, len(pool)-1).Draw(t, "host")}
		a.after = time.Duration(rapid.IntRange(0, 400).Draw(t, "after")) * time.Millisecond
		switch a.kind {
		case "admit":
			a.from = rapid.IntRange(0, 1).Draw(t, "from")
			a.burst = rapid.IntRange(1, 10).Draw(t, "burst")
			a.keep = time.Duration(rapid.IntRange(1000, 5000).Draw(t, "keep")) * time.Millisecond
			a.seen = rapid.IntRange(1, len(pool)).Draw(t, "seen")
		case "caps", "hosts":
			a.doc = drawEdition(t)
			a.lag = rapid.SliceOfN(rapid.IntRange(0, 1000), len(pool), len(pool)).Draw(t, "lag")
		case "wait":
			a.after = time.Duration(rapid.IntRange(0, 30).Draw(t, "seconds")) * time.Second
		}
		return a
	}), 10, 80).Draw(t, "acts")...)
})

// gate is what a history drives: Grants, or a naive double.
type gate interface {
	Put(now time.Time, d Document)
	Admit(now, deadline time.Time, f Flow, sequence uint64) (Lease, error)
	Release(l Lease)
}

// maker starts a host's gate.
type maker func(now time.Time, w *world, seen *int) gate

// capError is a history that passes a cap.
type capError struct {
	what     string
	got, cap int
	at       time.Duration
}

func (e *capError) Error() string {
	return fmt.Sprintf("%s: %d in flight over a cap of %d after %s", e.what, e.got, e.cap, e.at)
}

type running struct {
	from  int
	ends  time.Time
	host  int
	lease Lease
}

// world judges a history from outside: it counts what runs in the receiving
// region, whoever admitted it, and work of dead processes to its end.
type world struct {
	start, now time.Time
	make       maker
	docs       []edition
	accepted   []time.Time
	due        [][]time.Time // by document and host
	force      []time.Time   // when a document was last in force anywhere
	have       []int
	gates      []gate
	running    []running
	seen       int
	lastSet    time.Time
}

func newWorld(first edition, m maker) *world {
	start := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	w := &world{start: start, now: start, make: m, seen: 1}
	w.accept(first, make([]int, len(pool)))
	for i := range pool {
		w.gates, w.have = append(w.gates, nil), append(w.have, 0)
		w.boot(i)
	}
	w.now = w.now.Add(testDeadline)
	return w
}

func (w *world) accept(e edition, lag []int) {
	due := make([]time.Time, len(pool))
	for i := range due {
		due[i] = w.now.Add(Propagation * time.Duration(lag[i]) / 1000)
	}
	w.docs = append(w.docs, e)
	w.accepted = append(w.accepted, w.now)
	w.force = append(w.force, w.now)
	w.due = append(w.due, due)
}

// boot starts a process with the newest document that has reached its host.
func (w *world) boot(host int) {
	w.gates[host] = w.make(w.now, w, &w.seen)
	w.put(host)
}

func (w *world) put(host int) {
	d := w.have[host]
	w.gates[host].Put(w.now, Document{
		Sequence: uint64(d + 1), Accepted: w.accepted[d], Limits: LimitsOf(w.docs[d].index(), pool[host]),
	})
}

func (w *world) deliver() {
	for host := range pool {
		d := w.have[host]
		for next := range w.docs {
			if next > d && !w.now.Before(w.due[next][host]) {
				d = next
			}
		}
		if d != w.have[host] {
			w.have[host] = d
			w.put(host)
		}
		w.force[d] = w.now
	}
	w.running = slices.DeleteFunc(w.running, func(r running) bool {
		if !w.now.Before(r.ends) {
			w.gates[r.host].Release(r.lease)
			return true
		}
		return false
	})
}

func (w *world) advance(d time.Duration) {
	const step = 100 * time.Millisecond
	for ; d > step; d -= step {
		w.now = w.now.Add(step)
		w.deliver()
	}
	w.now = w.now.Add(d)
	w.deliver()
}

func (w *world) do(a act) {
	w.advance(a.after)
	switch a.kind {
	case "admit":
		for range a.burst {
			w.admit(a)
		}
	case "restart":
		w.boot(a.host)
	case "caps":
		a.doc.hosts = w.docs[len(w.docs)-1].hosts
		for i := range a.lag {
			a.lag[i] *= 10 // caps may arrive late without bound
		}
		w.accept(a.doc, a.lag)
	case "hosts":
		if w.now.Sub(w.lastSet) >= Propagation+testDeadline {
			w.lastSet = w.now
			w.accept(a.doc, a.lag)
		}
	}
}

func (w *world) admit(a act) {
	w.seen = a.seen
	f := Flow{Service: testService, From: senders[a.from]}
	lease, err := w.gates[a.host].Admit(w.now, w.now.Add(testDeadline), f, 0)
	if err == nil {
		w.running = append(w.running, running{from: a.from, ends: w.now.Add(a.keep), host: a.host, lease: lease})
	}
}

// judge returns a *capError when more runs than any document allows that was
// in force at some host within the longest deadline.
func (w *world) judge() error {
	var flows, caps [2]int
	fill := 0
	for _, r := range w.running {
		flows[r.from]++
	}
	for i, d := range w.docs {
		if w.now.Sub(w.force[i]) > testDeadline {
			continue
		}
		caps = [2]int{max(caps[0], d.cap(d.taken[0])), max(caps[1], d.cap(d.taken[1]))}
		fill = max(fill, d.cap(d.fill))
	}
	for i, n := range flows {
		if n > caps[i] {
			return &capError{what: senders[i], got: n, cap: caps[i], at: w.now.Sub(w.start)}
		}
	}
	if n := flows[0] + flows[1]; n > fill {
		return &capError{what: "all regions", got: n, cap: fill, at: w.now.Sub(w.start)}
	}
	return nil
}

func replay(history []act, m maker) error {
	w := newWorld(history[0].doc, m)
	for _, a := range history[1:] {
		w.do(a)
		if err := w.judge(); err != nil {
			return err
		}
	}
	return nil
}

func realGrants(now time.Time, _ *world, _ *int) gate { return NewGrants(now) }

func TestNoHistoryPassesARegionsCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := replay(histories.Draw(t, "history"), realGrants); err != nil {
			t.Fatal(err)
		}
	})
}
