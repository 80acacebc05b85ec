package share

import (
	"fmt"
	"slices"
	"time"
)

// Bounds that the caps rest on.
const (
	// Propagation bounds the time from the acceptance of a document that
	// changes a region's entry hosts until none of them takes work of other
	// regions by an earlier document. Such documents are at least Propagation
	// and the longest deadline apart.
	Propagation = 10 * time.Second
	// MaxSkew bounds the difference of two hosts' clocks.
	MaxSkew = 500 * time.Millisecond
	// idleReset is how long a flow rests before it is warmed up again.
	idleReset = time.Minute
	// firstPart is the part of a flow's limit that is open at first.
	firstPart = 0.25
	// refusedRetry is the pause that a refused sender is told.
	refusedRetry = 250 * time.Millisecond
)

// Reason says why work of another region was refused.
type Reason string

// Values of Reason.
const (
	// ReasonNoShare means that the document gives this host no part of the cap.
	ReasonNoShare Reason = "no-share"
	// ReasonFull means that this host's part of the cap is in use.
	ReasonFull Reason = "full"
	// ReasonWarming means that the flow is still being warmed up.
	ReasonWarming Reason = "warming"
	// ReasonSettling means that an earlier process or document may still
	// account for work.
	ReasonSettling Reason = "settling"
	// ReasonStale means that the sender knows a newer document.
	ReasonStale Reason = "stale"
)

// RefusedError is work of another region that a host does not take.
type RefusedError struct {
	Flow       Flow
	Reason     Reason
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("work of %s for %s refused: %s", e.Flow.From, e.Flow.Service, e.Reason)
}

// Grants admits work of other regions on one host. Each request in flight
// holds a lease that ends with its release, or with its deadline when the
// release is lost. It is not safe for concurrent use.
type Grants struct {
	started  time.Time
	hold     time.Time // a first document may be news to other hosts until then
	sequence uint64
	next     *Limits // of the document in force
	active   *Limits // what counts now
	settled  time.Time
	flows    map[Flow]*flow
	lastID   uint64
}

type flow struct {
	leases map[uint64]time.Time // expiry by lease
	since  time.Time            // when warming began
	used   time.Time
}

// Lease is the right to run one request.
type Lease struct {
	Flow Flow
	id   uint64
}

// NewGrants returns grants of a process that starts now. It takes nothing of a
// service until the longest deadline has passed: an earlier process on this
// host may have left work running.
func NewGrants(now time.Time) *Grants {
	none := &Limits{}
	return &Grants{started: now, next: none, active: none, flows: map[Flow]*flow{}}
}

// Document is a document in force, as far as caps need it.
type Document struct {
	Sequence uint64
	Accepted time.Time
	Limits   *Limits
}

// Put puts the limits of a newer document in force; older ones are ignored.
//
// Hosts that divide caps among one set of hosts stay under the larger cap
// whichever documents they have. When the set changes, the smaller of both
// limits counts until no host divides among the earlier set and its work has
// ended.
func (g *Grants) Put(now time.Time, d Document) {
	if d.Sequence <= g.sequence {
		return
	}
	g.settle(now)
	overlap := Propagation + longest(d.Limits, g.next)
	switch {
	case g.sequence == 0 && d.Sequence == 1:
		g.active = d.Limits
	case g.sequence == 0:
		g.active = d.Limits
		g.hold = d.Accepted.Add(overlap + MaxSkew)
	case !slices.Equal(d.Limits.hosts, g.next.hosts):
		g.active = d.Limits.atMost(g.active)
		g.settled = now.Add(overlap)
	case g.settled.IsZero():
		g.active = d.Limits
	default:
		g.active = d.Limits.atMost(g.active)
	}
	g.sequence, g.next = d.Sequence, d.Limits
}

// longest returns the longest deadline under two documents.
func longest(list ...*Limits) time.Duration {
	var out time.Duration
	for _, l := range list {
		for _, d := range l.Deadlines {
			out = max(out, d)
		}
	}
	return out
}

// settle ends the overlap of two documents when its time has come.
func (g *Grants) settle(now time.Time) {
	if !g.settled.IsZero() && !now.Before(g.settled) {
		g.active, g.settled = g.next, time.Time{}
	}
}

// Limits returns the limits that count now; they must not be written to.
func (g *Grants) Limits(now time.Time) *Limits {
	g.settle(now)
	return g.active
}

// Admit takes one request of a flow until its deadline. Sequence is that of
// the sender's document; zero when it has none.
//
// Errors: *RefusedError.
func (g *Grants) Admit(now, deadline time.Time, f Flow, sequence uint64) (Lease, error) {
	if reason := g.refusal(now, f, sequence); reason != "" {
		return Lease{}, &RefusedError{Flow: f, Reason: reason, RetryAfter: refusedRetry}
	}
	fl := g.flow(now, f)
	g.lastID++
	fl.leases[g.lastID] = deadline
	fl.used = now
	return Lease{Flow: f, id: g.lastID}, nil
}

func (g *Grants) refusal(now time.Time, f Flow, sequence uint64) Reason {
	g.settle(now)
	limit := min(g.active.Flows[f], g.active.Totals[f.Service])
	switch {
	case sequence > g.sequence:
		return ReasonStale
	case limit == 0 && g.next.Flows[f] > 0:
		return ReasonSettling
	case limit == 0:
		return ReasonNoShare
	case now.Before(g.started.Add(g.active.Deadlines[f.Service])), now.Before(g.hold):
		return ReasonSettling
	}
	fl := g.flow(now, f)
	if n := fl.inFlight(now); n >= limit {
		return ReasonFull
	} else if n >= fl.open(now, limit, g.active.Warmups[f.Service]) {
		return ReasonWarming
	}
	if g.inFlight(now, f.Service) >= g.active.Totals[f.Service] {
		return ReasonFull
	}
	return ""
}

func (g *Grants) flow(now time.Time, f Flow) *flow {
	fl := g.flows[f]
	if fl == nil {
		fl = &flow{leases: map[uint64]time.Time{}}
		g.flows[f] = fl
	}
	if fl.used.IsZero() || now.Sub(fl.used) >= idleReset {
		fl.since, fl.used = now, now
	}
	return fl
}

// open returns how much of a limit is open while servers and caches warm up.
func (fl *flow) open(now time.Time, limit int, warmup time.Duration) int {
	if warmup <= 0 {
		return limit
	}
	part := firstPart + (1-firstPart)*float64(now.Sub(fl.since))/float64(warmup)
	return max(1, int(min(1, part)*float64(limit)))
}

func (fl *flow) inFlight(now time.Time) int {
	for id, expiry := range fl.leases {
		if !now.Before(expiry) {
			delete(fl.leases, id)
		}
	}
	return len(fl.leases)
}

func (g *Grants) inFlight(now time.Time, service string) int {
	n := 0
	for f, fl := range g.flows {
		if f.Service == service {
			n += fl.inFlight(now)
		}
	}
	return n
}

// Release ends a lease. Releasing twice, or after the lease has lapsed, does
// nothing.
func (g *Grants) Release(l Lease) {
	if fl := g.flows[l.Flow]; fl != nil {
		delete(fl.leases, l.id)
	}
}

// Use is one flow's state for dumps.
type Use struct {
	Flow
	InFlight int `json:"inFlight"`
	Limit    int `json:"limit"`
}

// Uses returns the flows in use.
func (g *Grants) Uses(now time.Time) []Use {
	var out []Use
	g.settle(now)
	for f, fl := range g.flows {
		if n := fl.inFlight(now); n > 0 {
			out = append(out, Use{Flow: f, InFlight: n, Limit: g.active.Flows[f]})
		}
	}
	return out
}
