package quota

import (
	"math"
	"time"
)

const (
	// minTolerance, and toleranceTime of the rate, are the least that credit may overdraw a bucket
	// before it is denied. Requests of small customers come in clusters, and each gateway reports
	// late: with fewer gateways than boundSlack, what they cannot use of it is added once the
	// issuer has issued for youngTime, so that two in a row do not both allow it in one window, up
	// to maxTolerance.
	maxTolerance  = 4
	youngTime     = 5 * time.Second
	minTolerance  = 2
	toleranceTime = 20 * time.Millisecond
	// creditMargin is left of boundSlack for gateways that give more credit than one request.
	creditMargin = 4
	// minShare is the part of the limits below which an issuer only answers probes.
	minShare = 0.02
	// minScarce is how many tokens a gateway must want for a denial because it got less than half
	// of them; smaller ones live on credit, which the tolerance bounds.
	minScarce = 6
	// minDepthTime, of the rate, and minDepth are the least depth of a bucket. Gateways ask for
	// all that they need until their next ask, so that a shallower one wastes tokens.
	minDepthTime = 100 * time.Millisecond
	minDepth     = 2
	// outstandingTime is the time constant in which granted tokens count as not yet used. The
	// depth is smaller by them: else they and a full bucket are used together.
	outstandingTime = 300 * time.Millisecond
	// rememberedFor is how long gateways that no longer ask, or are no longer listed, count for
	// the whole; shorter, and the gateways beyond a cut would be forgotten before their own issuer
	// has stopped.
	rememberedFor = 15 * time.Second
	// idleBucket is how long a bucket without asks is kept.
	idleBucket = time.Minute
	// staleAfter is the age of the issuer's view from which on an issuer that too few gateways
	// ask may be on the smaller side of a cut, without knowing that the other side counts it
	// out; its part then falls to staleFloor within staleDecay.
	staleAfter = 3 * time.Second
	staleDecay = 8 * time.Second
	staleFloor = 0.08
	// staleMissing is the fraction of the gateways that may be missing without that.
	staleMissing = 0.1
	// maxRetryAfter bounds how long a denial holds: the limit may change.
	maxRetryAfter = 5 * time.Second
)

// asker is a gateway that has asked the issuer.
type asker struct {
	at time.Time
	// weight is its capacity, or the part of it for which it counts: it may have asked other
	// issuers, too.
	weight   float64
	capacity float64
}

// want is what one gateway last wanted of a customer.
type want struct {
	from   string
	tokens uint32
	at     time.Time
}

// bucket is a customer's token bucket. It starts empty: what another issuer has granted is not
// known.
type bucket struct {
	level       float64
	outstanding float64
	at          time.Time
	// filled is the ledger's fill when the bucket was last filled.
	filled float64
	wants  []want
}

// Ledger is what an issuer knows. It is not safe for concurrent use.
type Ledger struct {
	askers  map[string]asker
	buckets map[string]*bucket
	share   float64
	// asked is when the last ask came, fill the integral of the share over time, in seconds: the
	// time for which a bucket is filled at the whole rate.
	asked time.Time
	fill  float64
	// issuing is since when the share is at least minShare.
	issuing time.Time
	// gateways is how many gateways serve callers.
	gateways int
	// listed is the largest capacity of listed gateways in the last rememberedFor, and listedAt when
	// it was last seen.
	listed   float64
	listedAt time.Time
	swept    time.Time
}

// NewLedger returns a ledger with empty buckets.
func NewLedger() *Ledger { return &Ledger{askers: map[string]asker{}, buckets: map[string]*bucket{}} }

// Counts are what the issuer knows of other gateways when it is asked.
type Counts struct {
	// Listed is how many gateways serve callers by the issuer's view, and AtLeast how many there
	// may be while that may lack some.
	Listed, AtLeast int
	// Capacity is that of the asking gateway, and ListedCapacity that of all listed ones, in any
	// unit; zero if each gateway counts for one. The parts of the limits go by it: a list that
	// for a moment names twenty small gateways in place of two large ones is no larger by it.
	Capacity, ListedCapacity float64
	// ViewAge is the time since the view was confirmed, and OtherIssuers how many others the
	// asking gateway has asked lately.
	ViewAge      time.Duration
	OtherIssuers int
}

// List notes the capacity of the gateways that serve callers by the list in force. It is called regularly, also
// while nobody asks: a gateway that becomes the issuer by a shorter list remembers the longer one.
func (l *Ledger) List(now time.Time, listed float64) {
	if listed >= l.listed || now.Sub(l.listedAt) > rememberedFor {
		l.listed, l.listedAt = listed, now
	}
}

// Ask notes that a gateway asks. It precedes the Grants of the ask.
func (l *Ledger) Ask(now time.Time, from string, c Counts) {
	if gap := now.Sub(l.asked); gap > 0 {
		// The gateways that no longer ask may get tokens elsewhere.
		l.fill += l.share * min(gap, countedFor).Seconds()
		l.asked = now
		if gap > countedFor {
			l.issuing = now
		}
	}
	if c.Capacity <= 0 || c.ListedCapacity <= 0 {
		c.Capacity, c.ListedCapacity = 1, float64(c.Listed)
	}
	l.askers[from] = asker{at: now, weight: c.Capacity / float64(1+max(0, c.OtherIssuers)), capacity: c.Capacity}
	known, knownCapacity, asking := 0, 0.0, 0.0
	for host, a := range l.askers {
		switch age := now.Sub(a.at); {
		case age > rememberedFor:
			delete(l.askers, host)
			continue
		case age <= countedFor:
			asking += a.weight
		}
		known++
		knownCapacity += a.capacity
	}
	l.List(now, c.ListedCapacity)
	l.gateways = max(1, known, c.Listed, c.AtLeast)
	whole := max(knownCapacity, l.listed)
	if c.AtLeast > c.Listed {
		// Those that are not known may be as large as this one.
		whole = max(whole, float64(c.AtLeast)*c.Capacity)
	}
	l.share = min(1, asking/max(whole, c.Capacity))
	if l.share < 1-staleMissing && c.ViewAge > staleAfter {
		l.share *= max(staleFloor, 1-(c.ViewAge-staleAfter).Seconds()/staleDecay.Seconds())
	}
	if l.share < minShare {
		l.issuing = now
	}
	if now.Sub(l.swept) > idleBucket {
		l.swept = now
		for customer, b := range l.buckets {
			if now.Sub(b.at) > idleBucket {
				delete(l.buckets, customer)
			}
		}
	}
}

// Share returns the part of the limits that the ledger grants.
func (l *Ledger) Share() float64 { return l.share }

// Grant answers a use by a gateway that has just asked.
func (l *Ledger) Grant(now time.Time, from, customer string, limit Limit, u Use) Grant {
	b := l.buckets[customer]
	if b == nil {
		b = &bucket{at: now, filled: l.fill}
		l.buckets[customer] = b
	}
	rate := limit.Rate * l.share
	elapsed := max(0, now.Sub(b.at).Seconds())
	if elapsed > 0 {
		// Concurrent asks may bring an earlier time after a later one.
		b.at = now
	}
	b.outstanding *= math.Exp(-elapsed / outstandingTime.Seconds())
	b.outstanding = max(0, b.outstanding-float64(u.Returned))
	b.level += limit.Rate*(l.fill-b.filled) + float64(u.Returned) - float64(u.OnCredit)
	b.filled = l.fill
	least := max(minDepth, rate*minDepthTime.Seconds())
	b.level = min(b.level, max(least, limit.Burst*l.share-b.outstanding))

	out := Grant{Tokens: b.grant(now, from, u.Wanted, rate)}
	b.level -= float64(out.Tokens)
	b.outstanding += float64(out.Tokens)
	scarce := u.Wanted >= minScarce && 2*out.Tokens < u.Wanted
	tolerance := minTolerance + rate*toleranceTime.Seconds()
	if now.Sub(l.issuing) > youngTime {
		tolerance += min(maxTolerance, max(minTolerance, boundSlack-creditMargin-float64(l.gateways))) - minTolerance
	}
	if scarce || b.level < -tolerance {
		out.Denied = true
		out.RetryAfter = maxRetryAfter
		if rate > 0 {
			out.RetryAfter = min(maxRetryAfter, time.Duration(max(0, 1-b.level)/rate*float64(time.Second)))
		}
	}
	return out
}

// grant returns how many tokens a gateway gets. While there are fewer than the gateways want
// together, each gets its part of what has come since its last ask.
func (b *bucket) grant(now time.Time, from string, wanted uint32, rate float64) uint32 {
	last := now.Add(-countedFor)
	kept := b.wants[:0]
	total := float64(wanted)
	for _, w := range b.wants {
		switch {
		case w.from == from:
			last = w.at
		case now.Sub(w.at) <= countedFor:
			kept = append(kept, w)
			total += float64(w.tokens)
		}
	}
	b.wants = kept
	if wanted > 0 {
		b.wants = append(b.wants, want{from: from, tokens: wanted, at: now})
	}
	if wanted == 0 || b.level < 1 {
		return 0
	}
	most := math.Floor(b.level)
	if b.level < total {
		// The part is a rate of its own, plus one so that small parts are not rounded away.
		part := float64(wanted) / total
		most = min(most, math.Ceil(part*max(b.level, rate*min(now.Sub(last), tokenLife).Seconds())))
	}
	return uint32(min(float64(wanted), most))
}

// Level is the state of a bucket, for operators.
type Level struct {
	Customer    string  `json:"customer"`
	Tokens      float64 `json:"tokens"`
	Outstanding float64 `json:"outstanding"`
}

// Levels returns the state of all buckets, in no order.
func (l *Ledger) Levels() []Level {
	out := make([]Level, 0, len(l.buckets))
	for name, b := range l.buckets {
		out = append(out, Level{Customer: name, Tokens: b.level, Outstanding: b.outstanding})
	}
	return out
}

// Asking returns how many gateways have asked lately.
func (l *Ledger) Asking(now time.Time) int {
	n := 0
	for _, a := range l.askers {
		if now.Sub(a.at) <= countedFor {
			n++
		}
	}
	return n
}
