package quota

import (
	"math"
	"time"
)

const (
	// fallbackDecay is the time in which the rate of a gateway without an issuer falls to
	// fallbackFloor of its even part of the limit.
	fallbackDecay = 10 * time.Second
	fallbackFloor = 0.08
	// unknownFloor replaces fallbackFloor where the issuer does not know the customer yet: then
	// nobody else grants the limit.
	unknownFloor = 0.5
	// fallbackMeanTime is the time constant of the rate from which the fallback begins. The means
	// of a shorter time add up to more than the limit just after a burst.
	fallbackMeanTime = 10 * time.Second
	// fallbackDepthTime is for how long admissions of the fallback accumulate.
	fallbackDepthTime = 250 * time.Millisecond
	// minSaturated is the number of tokens that a gateway wants from which on it refuses at once
	// while it is denied: its asks go on, and others are before the request that would wait.
	minSaturated = 2
	// forgetAfter is how long an account without requests is kept, once it has nothing to tell.
	forgetAfter = 10 * time.Second
)

// Verdict is whether a request is admitted.
type Verdict int

// Values of Verdict.
const (
	// Refused requests are over the limit.
	Refused Verdict = iota
	// Wait is for requests that the reply to the next ask decides.
	Wait
	ByToken
	ByCredit
	ByFallback
)

// Admitted reports whether the request may be sent.
func (v Verdict) Admitted() bool { return v >= ByToken }

// String returns the verdict as metrics name it.
func (v Verdict) String() string {
	return []string{"refused", "wait", "token", "credit", "fallback"}[v]
}

// tokens were granted together.
type tokens struct {
	count   uint32
	expires time.Time
	issuer  string
}

// Account is a customer's state at one gateway. It is not safe for concurrent use. The zero value
// holds no tokens.
type Account struct {
	held []tokens
	// credit is what was admitted on credit and not reported, reported what the ask under way
	// says. returned are expired tokens of returnedTo.
	credit, reported, returned uint32
	returnedTo                 string
	// denied is set from a denial to the next reply; until deniedUntil that is not asked for.
	denied      bool
	deniedUntil time.Time
	// demand and admitted are mean rates, fast the demand of the last moments, and long the
	// admitted rate of a longer time.
	demand, admitted, fast, long mean
	// lostSince is since when neither issuer nor deputy replied; unknown is set if one replied
	// without knowing the customer. lostRate is the admitted rate when that began, spare what
	// may be admitted by it.
	lostSince time.Time
	unknown   bool
	lostRate  float64
	spare     float64
	spareAt   time.Time
	// turnedAway counts the requests since the last ask that got neither token nor credit.
	turnedAway uint32
	last       time.Time
}

// note counts an event, and returns the rate.
func (m *mean) note(now time.Time, events float64, over time.Duration) float64 {
	if !m.at.IsZero() {
		m.rate *= math.Exp(-max(0, now.Sub(m.at).Seconds()) / over.Seconds())
	}
	m.at = now
	m.rate += events / over.Seconds()
	return m.rate
}

// Admit decides on one request. A request that waited is decided again with repeated set. n is
// how many gateways serve callers. If the request is refused, Admit returns when the next might
// be admitted.
func (a *Account) Admit(now time.Time, limit Limit, n int, repeated bool) (Verdict, time.Duration) {
	if !repeated {
		a.last = now
		a.demand.note(now, 1, meanTime)
		a.fast.note(now, 1, fastMeanTime)
	}
	verdict, after := a.decide(now, limit, n)
	switch {
	case verdict.Admitted():
		a.admitted.note(now, 1, meanTime)
		a.long.note(now, 1, fallbackMeanTime)
	case !repeated:
		a.turnedAway++
	}
	return verdict, after
}

func (a *Account) decide(now time.Time, limit Limit, n int) (Verdict, time.Duration) {
	a.expire(now)
	if len(a.held) > 0 {
		if a.held[0].count--; a.held[0].count == 0 {
			a.held = a.held[1:]
		}
		return ByToken, 0
	}
	if !a.lostSince.IsZero() {
		return a.fallback(now, limit, n)
	}
	if a.denied && (now.Before(a.deniedUntil) || a.target(now) >= minSaturated) {
		return Refused, max(AskEveryUrgent, a.deniedUntil.Sub(now))
	}
	if a.denied {
		return Wait, AskEveryUrgent
	}
	if float64(a.credit+a.reported) < a.maxCredit(now) {
		a.credit++
		return ByCredit, 0
	}
	return Wait, AskEveryUrgent
}

// maxCredit returns how many requests may be admitted on credit at once. The recent rate is that
// of admissions and not of demand, so that it adds up to the limit over all gateways.
func (a *Account) maxCredit(now time.Time) float64 {
	rate := a.admitted.note(now, 0, meanTime)
	return math.Floor(1 + rate*creditTime.Seconds() + min(maxExtraCredit, rate/2))
}

// fallback admits without an issuer: at the gateway's own mean rate, which falls to a small part
// of the limit.
func (a *Account) fallback(now time.Time, limit Limit, n int) (Verdict, time.Duration) {
	even := limit.Rate / float64(max(1, n))
	floor := fallbackFloor * even
	if a.unknown {
		floor = unknownFloor * even
	}
	left := max(0, 1-now.Sub(a.lostSince).Seconds()/fallbackDecay.Seconds())
	rate := max(floor, min(a.lostRate, limit.Rate)*left)
	a.spare = min(max(1, rate*fallbackDepthTime.Seconds()), a.spare+rate*max(0, now.Sub(a.spareAt).Seconds()))
	a.spareAt = now
	if a.spare < 1 {
		return Refused, min(maxRetryAfter, time.Duration((1-a.spare)/rate*float64(time.Second)))
	}
	a.spare--
	return ByFallback, 0
}

// expire drops tokens that may no longer be used, to be returned to their issuer.
func (a *Account) expire(now time.Time) {
	for len(a.held) > 0 && !now.Before(a.held[0].expires) {
		a.giveBack(a.held[0])
		a.held = a.held[1:]
	}
}

func (a *Account) giveBack(t tokens) {
	if a.returnedTo != t.issuer {
		a.returned, a.returnedTo = 0, t.issuer
	}
	a.returned += t.count
}

// Drop drops all tokens, after the process was suspended for a time that now does not count.
func (a *Account) Drop() { a.held, a.returned = nil, 0 }

// Clip drops tokens beyond what the gateway would hold under a lower limit.
func (a *Account) Clip(limit Limit) {
	most := uint32(math.Ceil(limit.Rate*holdTime.Seconds())) + 1
	have := uint32(0)
	for i := range a.held {
		a.held[i].count = min(a.held[i].count, most-have)
		have += a.held[i].count
	}
	for len(a.held) > 0 && a.held[len(a.held)-1].count == 0 {
		a.held = a.held[:len(a.held)-1]
	}
}

// target returns how many tokens the gateway should hold for its demand.
func (a *Account) target(now time.Time) float64 {
	rate := max(a.demand.note(now, 0, meanTime), a.fast.note(now, 0, fastMeanTime))
	if a.demand.rate < minHeldRate {
		return 0
	}
	use := rate * holdTime.Seconds()
	return math.Floor(use + spread*math.Sqrt(use))
}

func (a *Account) count() float64 {
	n := uint32(0)
	for _, t := range a.held {
		n += t.count
	}
	return float64(n)
}

// Need is how soon a gateway should ask for a customer.
type Need int

// Values of Need.
const (
	// Idle customers need no ask.
	Idle Need = iota
	// Regular needs are met by an ask after AskEvery.
	Regular
	// Urgent needs are met by an ask after AskEveryUrgent.
	Urgent
)

// Need returns how soon to ask.
func (a *Account) Need(now time.Time) Need {
	a.expire(now)
	switch {
	case a.denied && a.target(now) < minSaturated && now.Before(a.deniedUntil):
		if a.credit > 0 || a.returned > 0 {
			return Regular
		}
		return Idle
	case a.turnedAway > 0:
		return Urgent
	case a.credit > 0 || a.returned > 0 || a.target(now) >= 1 || !a.lostSince.IsZero() && now.Sub(a.last) < forgetAfter:
		return Regular
	}
	return Idle
}

// Report returns what to tell an issuer, and whether there is anything. What it reports as
// admitted is under way until Granted or Undelivered is called.
func (a *Account) Report(now time.Time, issuer string) (Use, bool) {
	if a.Need(now) == Idle {
		return Use{}, false
	}
	use := Use{OnCredit: a.credit + a.reported, Wanted: uint32(max(0, a.target(now)-a.count()))}
	if a.returnedTo == issuer {
		use.Returned = a.returned
	}
	// Returned once at most: an ask without a reply may have been heard.
	a.returned = 0
	a.reported, a.credit, a.turnedAway = a.credit+a.reported, 0, 0
	return use, true
}

// Granted takes in the reply to an ask that was sent at a time.
func (a *Account) Granted(sent, now time.Time, issuer string, g Grant) {
	a.reported, a.lostSince, a.unknown = 0, time.Time{}, false
	a.denied, a.deniedUntil = g.Denied, time.Time{}
	if g.Denied {
		a.deniedUntil = now.Add(min(maxRetryAfter, max(AskEveryUrgent, g.RetryAfter)))
	}
	if expires := sent.Add(tokenLife); g.Tokens > 0 {
		t := tokens{count: g.Tokens, expires: expires, issuer: issuer}
		if now.Before(expires) {
			a.held = append(a.held, t)
		} else {
			a.giveBack(t)
		}
	}
}

// Undelivered notes that there was no reply to an ask. What it reported is reported again: it is
// safer to count it twice.
func (a *Account) Undelivered() { a.credit, a.reported = a.credit+a.reported, 0 }

// Lost notes that neither issuer nor deputy can be reached, or, with unknown set, that the one
// that replied does not know the customer.
func (a *Account) Lost(now time.Time, unknown bool) {
	if a.lostSince.IsZero() {
		a.lostSince, a.spareAt, a.spare = now, now, 0
		a.lostRate = a.long.note(now, 0, fallbackMeanTime)
	}
	a.unknown = unknown
}

// Idle reports whether the account may be forgotten.
func (a *Account) Idle(now time.Time) bool {
	return now.Sub(a.last) > forgetAfter && a.credit == 0 && a.reported == 0 && !now.Before(a.deniedUntil)
}

// Status is the state of an account, for operators.
type Status struct {
	Customer   string  `json:"customer"`
	Tokens     float64 `json:"tokens"`
	OnCredit   uint32  `json:"on_credit"`
	DeniedMS   int64   `json:"denied_ms,omitempty"`
	FallbackMS int64   `json:"fallback_ms,omitempty"`
	// Demand and Admitted are in requests per second at this gateway.
	Demand   float64 `json:"demand"`
	Admitted float64 `json:"admitted"`
}

// Status returns the state for operators.
func (a *Account) Status(now time.Time, customer string) Status {
	a.expire(now)
	s := Status{
		Customer: customer, Tokens: a.count(), OnCredit: a.credit + a.reported,
		Demand: a.demand.note(now, 0, meanTime), Admitted: a.admitted.note(now, 0, meanTime),
		DeniedMS: max(0, a.deniedUntil.Sub(now).Milliseconds()),
	}
	if !a.lostSince.IsZero() {
		s.FallbackMS = now.Sub(a.lostSince).Milliseconds()
	}
	return s
}
