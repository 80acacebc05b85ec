package share

import (
	"fmt"
	"slices"
	"time"
)

// Time bounds on which the caps depend, and warm-up settings.
const (
	// MaxPropagation bounds the time from the acceptance of a document that
	// changes a region's entry hosts until none of them admits work of other
	// regions under an earlier document. Such documents are accepted at least
	// MaxPropagation plus the longest deadline apart.
	MaxPropagation = 10 * time.Second
	// MaxSkew bounds the difference between the clocks of two hosts.
	MaxSkew = 500 * time.Millisecond
	// warmupIdleReset is how long a flow is idle before it is warmed up again.
	warmupIdleReset = time.Minute
	// warmupStart is the fraction of a flow's limit that is admitted at the start
	// of its warm-up.
	warmupStart = 0.25
	// retryAfter is the retry delay sent with a rejection.
	retryAfter = 250 * time.Millisecond
)

// Reason is why work of another region was rejected.
type Reason string

// Values of Reason.
const (
	// ReasonNoShare means that this host's part of the cap is zero.
	ReasonNoShare Reason = "no-share"
	// ReasonFull means that this host's part of the cap is in use.
	ReasonFull Reason = "full"
	// ReasonWarming means that the limit is still reduced while the flow warms up.
	ReasonWarming Reason = "warming"
	// ReasonSettling means that work admitted by an earlier process or under an
	// earlier document may still be running.
	ReasonSettling Reason = "settling"
	// ReasonStale means that the sender has a newer document than this host.
	ReasonStale Reason = "stale"
)

// RefusedError is returned for work of another region that a host does not admit.
type RefusedError struct {
	Flow       Flow
	Reason     Reason
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("work of %s for %s refused: %s", e.Flow.From, e.Flow.Service, e.Reason)
}

// Grants admits work of other regions on one host. Each request in flight has a
// lease that ends when it is released, or at the deadline of the request if the
// release is lost. It is not safe for concurrent use.
type Grants struct {
	started      time.Time
	blockedUntil time.Time // until then, other hosts may lack this process's first document
	sequence     uint64
	latest       *Limits // of the latest document
	effective    *Limits // enforced now; during an overlap, the smaller of both documents
	overlapEnd   time.Time
	flows        map[Flow]*flow
	lastID       uint64
}

type flow struct {
	leases        map[uint64]time.Time // expiry by lease ID
	warmupStarted time.Time            // start of the current warm-up
	lastAdmitted  time.Time
}

// Lease is the permission to run one request of a flow.
type Lease struct {
	Flow Flow
	id   uint64
}

// NewGrants returns the grants of a process that starts now. They admit nothing
// for a service until its longest deadline has passed, because work that an
// earlier process on this host admitted may still be running.
func NewGrants(now time.Time) *Grants {
	empty := &Limits{}
	return &Grants{started: now, latest: empty, effective: empty, flows: map[Flow]*flow{}}
}

// Document holds the parts of a document in force that Grants needs.
type Document struct {
	Sequence uint64
	Accepted time.Time
	Limits   *Limits
}

// Put applies the limits of a newer document. Older documents are ignored.
//
// While all hosts divide caps among the same set of hosts, their parts add up to
// no more than the largest cap, whichever documents they have. When the set
// changes, the smaller of both limits is enforced until no host divides among the
// earlier set any more and the work admitted under it has ended.
func (g *Grants) Put(now time.Time, d Document) {
	if d.Sequence <= g.sequence {
		return
	}
	g.endOverlap(now)
	overlap := MaxPropagation + longestDeadline(d.Limits, g.latest)
	switch {
	case g.sequence == 0 && d.Sequence == 1:
		g.effective = d.Limits
	case g.sequence == 0:
		g.effective = d.Limits
		g.blockedUntil = d.Accepted.Add(overlap + MaxSkew)
	case !slices.Equal(d.Limits.hosts, g.latest.hosts):
		g.effective = d.Limits.minOf(g.effective)
		g.overlapEnd = now.Add(overlap)
	case g.overlapEnd.IsZero():
		g.effective = d.Limits
	default:
		g.effective = d.Limits.minOf(g.effective)
	}
	g.sequence, g.latest = d.Sequence, d.Limits
}

// longestDeadline returns the longest deadline in any of the limits.
func longestDeadline(list ...*Limits) time.Duration {
	var out time.Duration
	for _, l := range list {
		for _, d := range l.Deadlines {
			out = max(out, d)
		}
	}
	return out
}

// endOverlap makes the limits of the latest document effective once the overlap
// with the earlier one is over.
func (g *Grants) endOverlap(now time.Time) {
	if !g.overlapEnd.IsZero() && !now.Before(g.overlapEnd) {
		g.effective, g.overlapEnd = g.latest, time.Time{}
	}
}

// Limits returns the limits that are enforced now. They must not be modified.
func (g *Grants) Limits(now time.Time) *Limits {
	g.endOverlap(now)
	return g.effective
}

// Admit grants a lease for one request of a flow until its deadline. Sequence is
// that of the sender's document, or zero if it has none.
//
// Errors: *RefusedError.
func (g *Grants) Admit(now, deadline time.Time, f Flow, sequence uint64) (Lease, error) {
	if reason := g.rejectReason(now, f, sequence); reason != "" {
		return Lease{}, &RefusedError{Flow: f, Reason: reason, RetryAfter: retryAfter}
	}
	fl := g.flow(now, f)
	g.lastID++
	fl.leases[g.lastID] = deadline
	fl.lastAdmitted = now
	return Lease{Flow: f, id: g.lastID}, nil
}

func (g *Grants) rejectReason(now time.Time, f Flow, sequence uint64) Reason {
	g.endOverlap(now)
	limit := min(g.effective.Flows[f], g.effective.Totals[f.Service])
	switch {
	case sequence > g.sequence:
		return ReasonStale
	case limit == 0 && g.latest.Flows[f] > 0:
		return ReasonSettling
	case limit == 0:
		return ReasonNoShare
	case now.Before(g.started.Add(g.effective.Deadlines[f.Service])), now.Before(g.blockedUntil):
		return ReasonSettling
	}
	fl := g.flow(now, f)
	if n := fl.inFlight(now); n >= limit {
		return ReasonFull
	} else if n >= fl.warmupLimit(now, limit, g.effective.Warmups[f.Service]) {
		return ReasonWarming
	}
	if g.inFlight(now, f.Service) >= g.effective.Totals[f.Service] {
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
	if fl.lastAdmitted.IsZero() || now.Sub(fl.lastAdmitted) >= warmupIdleReset {
		fl.warmupStarted, fl.lastAdmitted = now, now
	}
	return fl
}

// warmupLimit returns the part of a limit that is admitted while servers and
// caches warm up.
func (fl *flow) warmupLimit(now time.Time, limit int, warmup time.Duration) int {
	if warmup <= 0 {
		return limit
	}
	fraction := warmupStart + (1-warmupStart)*float64(now.Sub(fl.warmupStarted))/float64(warmup)
	return max(1, int(min(1, fraction)*float64(limit)))
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

// Release ends a lease. It has no effect on a lease that was released before or
// has expired.
func (g *Grants) Release(l Lease) {
	if fl := g.flows[l.Flow]; fl != nil {
		delete(fl.leases, l.id)
	}
}

// Use is the state of one flow in dumps.
type Use struct {
	Flow
	InFlight int `json:"inFlight"`
	Limit    int `json:"limit"`
}

// Uses returns the flows that have requests in flight.
func (g *Grants) Uses(now time.Time) []Use {
	var out []Use
	g.endOverlap(now)
	for f, fl := range g.flows {
		if n := fl.inFlight(now); n > 0 {
			out = append(out, Use{Flow: f, InFlight: n, Limit: g.effective.Flows[f]})
		}
	}
	return out
}
