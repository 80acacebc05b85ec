package gateway

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cassiatray/internal/core/hedge"
	"cassiatray/internal/core/retry"
	"cassiatray/internal/port"
)

// Some runs take many times as long as usual, and servers are slow for a moment. A request that
// may run again, at a service whose servers report a pace, is then sent to a second server of its
// object beside the first (core/hedge). The first whole response, or the beginning of a streamed
// one, is delivered, and the other attempt is cancelled.

const (
	// pacedFor is for how long after the last report of a pace a service counts as one whose
	// servers report it: longer than the pause between two requests to a service with little load.
	pacedFor = 10 * time.Second
	// maxHedgedNames bounds the routes, and the services, whose run times and load are kept.
	maxHedgedNames = 1024
)

// hedges is what a gateway knows of the services whose servers report a pace.
type hedges struct {
	// active is set once any server has reported a pace.
	active atomic.Bool

	mu       sync.Mutex
	services map[string]*hedgedService
	routes   map[string]*routeRuns
}

// hedgedService is the state of a service whose servers report a pace.
type hedgedService struct {
	pacedAt  time.Time
	pressure hedge.Pressure
}

// routeRuns are the run times of a route at servers that are warm for the object, and at others.
type routeRuns struct{ warm, cold hedge.RunTimes }

// named returns the entry of a name, which is made if there is none.
func named[T any](entries *map[string]*T, name string) *T {
	if e := (*entries)[name]; e != nil {
		return e
	}
	if *entries == nil || len(*entries) >= maxHedgedNames {
		*entries = map[string]*T{}
	}
	e := new(T)
	(*entries)[name] = e
	return e
}

// countsAsWarm reports whether a run counts as a warm one: on routes that are not sticky all do.
func countsAsWarm(req *inflightRequest, warm bool) bool { return !req.route.Sticky || warm }

// record records a response to an attempt that took some time. Only servers that report a pace
// count, and their services' refusals.
func (h *hedges) record(req *inflightRequest, o *outgoing, a *port.ForwardAnswer, took time.Duration, now time.Time) {
	l := a.Meta.Load
	paced := l != nil && l.Slowdown > 0
	if !paced && !h.active.Load() {
		return
	}
	if a.Meta.NotRun && !a.Meta.OtherInstance && !l.HasRoom() {
		h.refused(req.service, now)
	}
	if !paced {
		return
	}
	h.active.Store(true)
	h.mu.Lock()
	defer h.mu.Unlock()
	s := named(&h.services, req.service)
	s.pacedAt = now
	if a.Meta.NotRun {
		return
	}
	s.pressure.Answered(l.Waiting > 0)
	if o.wait > 0 || l.Waiting > 0 || a.Status >= http.StatusMultipleChoices {
		return
	}
	runs := named(&h.routes, req.route.Name)
	if countsAsWarm(req, o.started.warm) {
		runs.warm.Add(took)
	} else {
		runs.cold.Add(took)
	}
}

// recordCut records a first attempt that was given up after some time, since the second one won:
// its run takes at least that long.
func (h *hedges) recordCut(req *inflightRequest, o *outgoing, took time.Duration) {
	if o.wait > 0 || !countsAsWarm(req, o.started.warm) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	named(&h.routes, req.route.Name).warm.Add(took)
}

// refused records that a request to a service was refused for want of room.
func (h *hedges) refused(service string, now time.Time) {
	if !h.active.Load() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.services[service]; s != nil {
		s.pressure.Refused(now)
	}
}

// state returns the run times of the request's route, and whether its service is overloaded. It
// returns false if the servers of the service report no pace.
func (h *hedges) state(req *inflightRequest, now time.Time) (times hedge.Times, overloaded, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.services[req.service]
	if s == nil || now.Sub(s.pacedAt) > pacedFor {
		return hedge.Times{}, false, false
	}
	if runs := h.routes[req.route.Name]; runs != nil {
		times = hedge.Times{Known: runs.warm.High() > 0, Usual: runs.warm.Usual(), High: runs.warm.High(), Cold: runs.cold.Usual()}
	}
	return times, s.pressure.Overloaded(now), true
}

// hedgeRequest describes a request as hedge.Delay and hedge.Decide take it, with an attempt in
// flight.
func hedgeRequest(req *inflightRequest, now time.Time) hedge.Request {
	return hedge.Request{
		Idempotent: req.route.Idempotent, WholeBody: req.unreadBody == nil, Trial: req.trial, Runs: req.runs + 1, MaxRuns: req.maxRuns,
		Target: req.route.Target, Age: now.Sub(req.start), Left: req.deadline.Sub(now),
	}
}

// hedgeDelay returns how long after its sending an attempt at the candidate is to have a second one
// beside it; ok is false if it is to have none.
func (n *Node) hedgeDelay(req *inflightRequest, c candidate, now time.Time) (delay time.Duration, ok bool) {
	if !n.hedges.active.Load() || req.coldUnseen || c.coldFor > 0 || req.tries+2 > req.maxTries || !n.linksWhole() {
		return 0, false
	}
	times, _, ok := n.hedges.state(req, now)
	if !ok {
		return 0, false
	}
	warm := countsAsWarm(req, c.server.isWarm(req.objectHash, now))
	delay, cause := hedge.Delay(hedgeRequest(req, now), times, warm, c.wait)
	return delay, cause == hedge.None
}

// secondServer returns the best server of the request's object beside the first. Servers that are
// out of reach, or that name a limit, are no candidates: one would be checked, the other needs a
// permit of another gateway.
func (n *Node) secondServer(v *view, req *inflightRequest, first *server, now time.Time) (candidate, bool) {
	g := v.groups[req.service]
	if g == nil {
		return candidate{}, false
	}
	serverTimes := n.serviceTimes.times(req.route, req.service)
	for rank, s := range g.rankingFor(req.route).ranked(req.objectHash, req.sticky()) {
		if s == first || req.secondChance[s] || s.isDown() || s.limit().Named {
			continue
		}
		if c, reason := n.evaluateServer(v, req, s, &serverTimes, now); reason == reasonNone {
			c.rank = rank
			return c, true
		}
	}
	return candidate{}, false
}

// decideHedge returns the server for a second attempt beside one at the first, or why none is sent.
// It spends the retry budget.
func (n *Node) decideHedge(v *view, req *inflightRequest, first *server, now time.Time) (candidate, hedge.Cause) {
	times, overloaded, ok := n.hedges.state(req, now)
	if !ok {
		return candidate{}, hedge.CauseUnmeasured
	}
	c, usable := n.secondServer(v, req, first, now)
	second := hedge.Second{Usable: usable}
	if usable {
		second.Warm = countsAsWarm(req, c.server.isWarm(req.objectHash, now))
		second.Cold, second.Load, second.Wait, second.Slots = c.coldFor > 0, c.load, c.wait, c.server.rec().Slots
	}
	if cause := hedge.Decide(hedgeRequest(req, now), times, second, overloaded); cause != hedge.None {
		return candidate{}, cause
	}
	if !n.withRetryBudget(req.service, func(b *retry.Window) bool { return b.SpendPart(now, hedge.BudgetShare) }) {
		return candidate{}, hedge.CauseBudget
	}
	return c, hedge.None
}
