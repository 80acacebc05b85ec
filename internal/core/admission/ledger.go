package admission

import "time"

// Holder is one incarnation of an entry process.
type Holder struct {
	Host        string
	Incarnation uint64
}

// Want requests the grant of one server.
type Want struct {
	Key Key
	// Hold is the longest time that a request may still run after the lease of the
	// grant has expired: the longest deadline of the service's classes.
	Hold time.Duration
}

// Ask is a message of a holder to a voter. The round increases with each message
// of a holder, so that a voter can ignore a message that arrives out of order.
type Ask struct {
	From    Holder
	Round   uint64
	Wants   []Want
	Release []Key
	// Claims are the grants that the holder has from this voter, and the servers on
	// which it has requests. A voter that has just started uses them to restore the
	// grants of its predecessor.
	Claims []Claim
}

// Claim is a grant that a holder already has, or a server on which it has
// requests.
type Claim struct {
	Want
	// After is the time from the sending of the message until the holder may use
	// the grant.
	After time.Duration
}

// Answer is the response of a voter for one wanted server.
type Answer struct {
	Key Key
	// Granted is set if the asker has the grant. It may use the grant once After
	// has passed since the answer was made.
	Granted bool
	After   time.Duration
	// Holder is the host that has the grant.
	Holder Holder
}

// Ledger holds the grants of one voter: one grant for each server, to at most one
// holder at a time. It is not safe for concurrent use.
//
// A grant expires when the lease has passed since its last renewal. If its holder
// does not release it, the next holder may use it only after both the lease and the
// hold have passed, because requests of the previous holder may run until then.
type Ledger struct {
	lease      time.Duration
	started    time.Time
	unreported map[string]struct{}
	lastRound  map[Holder]uint64
	grants     map[Key]*grantRecord
}

// grantRecord is one grant. Its holder may start requests from usableFrom until
// expiresAt. The zero holder means that the grant was released.
type grantRecord struct {
	holder     Holder
	usableFrom time.Time
	expiresAt  time.Time
	hold       time.Duration
	// provisional is set if usableFrom is later only because of a grant that the
	// voter's predecessor may have made.
	provisional bool
}

// drainedAt returns the time at which all requests started under the grant must
// have ended.
func (g *grantRecord) drainedAt() time.Time {
	end := g.expiresAt.Add(g.hold)
	if end.Before(g.usableFrom) {
		return g.usableFrom
	}
	return end
}

// NewLedger returns the ledger of a voter that starts now. Its predecessor on the
// same host may have granted any server to any of hosts, so no grant can be used
// until all of them have reported their claims, or the lease and the hold have
// passed.
func NewLedger(now time.Time, lease time.Duration, hosts []string) *Ledger {
	l := &Ledger{
		lease: lease, started: now, unreported: map[string]struct{}{},
		lastRound: map[Holder]uint64{}, grants: map[Key]*grantRecord{},
	}
	for _, h := range hosts {
		l.unreported[h] = struct{}{}
	}
	return l
}

// Vote returns the answers to a message. It returns false for a message that
// arrives after a later one of the same holder, and ignores it.
func (l *Ledger) Vote(now time.Time, a *Ask) ([]Answer, bool) {
	if a.Round <= l.lastRound[a.From] {
		return nil, false
	}
	l.lastRound[a.From] = a.Round
	l.recordClaims(now, a)
	for _, key := range a.Release {
		l.release(now, a.From, key)
	}
	out := make([]Answer, 0, len(a.Wants))
	for _, w := range a.Wants {
		out = append(out, l.decide(now, a.From, w))
	}
	return out, true
}

// release ends a grant whose holder has no requests in flight. If the grant is not
// usable yet, the wait for the requests of the previous holder is kept.
func (l *Ledger) release(now time.Time, from Holder, key Key) {
	g := l.grants[key]
	if g == nil || g.holder != from {
		return
	}
	if !g.usableFrom.After(now) || g.provisional {
		delete(l.grants, key)
		return
	}
	g.holder, g.expiresAt, g.hold = Holder{}, now, 0
}

// recordClaims restores grants from the claims in the first message of a host that
// has not reported since this voter started.
func (l *Ledger) recordClaims(now time.Time, a *Ask) {
	if _, ok := l.unreported[a.From.Host]; !ok {
		return
	}
	delete(l.unreported, a.From.Host)
	for _, c := range a.Claims {
		if g := l.grants[c.Key]; g == nil || g.provisional {
			l.grants[c.Key] = &grantRecord{holder: a.From, expiresAt: now.Add(l.lease), hold: c.Hold, usableFrom: now.Add(c.After)}
		}
	}
}

func (l *Ledger) decide(now time.Time, asker Holder, w Want) Answer {
	g := l.grants[w.Key]
	if g != nil && g.holder != asker && now.Before(g.expiresAt) {
		return Answer{Key: w.Key, Holder: g.holder}
	}
	next := &grantRecord{holder: asker, expiresAt: now.Add(l.lease), hold: w.Hold}
	next.usableFrom, next.provisional = l.firstUse(now, asker, w, g)
	l.grants[w.Key] = next
	return Answer{Key: w.Key, Granted: true, Holder: asker, After: max(0, next.usableFrom.Sub(now))}
}

// firstUse returns the time from which asker may use a grant, and whether the only
// reason for that time is a grant that this voter's predecessor may have made.
func (l *Ledger) firstUse(now time.Time, asker Holder, w Want, g *grantRecord) (usableFrom time.Time, provisional bool) {
	allReported := len(l.unreported) == 0
	switch {
	case g != nil && g.provisional && allReported:
		return now, false
	case g != nil && g.holder == asker:
		return g.usableFrom, g.provisional
	case g != nil && !g.provisional:
		return g.drainedAt(), false
	case !allReported:
		return l.started.Add(l.lease + w.Hold), true
	}
	return now, false
}

// Holders returns the holder of each unexpired grant.
func (l *Ledger) Holders(now time.Time) map[Key]Holder {
	out := make(map[Key]Holder, len(l.grants))
	for key, g := range l.grants {
		if now.Before(g.expiresAt) {
			out[key] = g.holder
		}
	}
	return out
}
