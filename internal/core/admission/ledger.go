package admission

import "time"

// Holder is one incarnation of an entry process.
type Holder struct {
	Host        string
	Incarnation uint64
}

// Want asks for the grant of one server.
type Want struct {
	Key Key
	// Hold is the longest time a request may still run after the grant's last
	// lease has ended: the longest deadline of the service's classes.
	Hold time.Duration
}

// Ask is one message of a holder to a voter. Rounds grow with each message of
// a holder, so that a voter can ignore one that arrives late.
type Ask struct {
	From    Holder
	Round   uint64
	Wants   []Want
	Release []Key
	// Claims are the grants of this voter that the holder has, and the servers
	// on which it has requests. A voter that has just started learns from them
	// what its predecessor granted.
	Claims []Claim
}

// Claim is a grant that a holder has already.
type Claim struct {
	Want
	// After is the time until the holder may use the grant.
	After time.Duration
}

// Answer is a voter's answer on one wanted server.
type Answer struct {
	Key Key
	// Granted says that the grant is the asker's. It may be used from After
	// after the answer was made.
	Granted bool
	After   time.Duration
	// Holder has the grant when the asker has not.
	Holder Holder
}

// Ledger is what one voter has granted: for each server its one grant, to at
// most one holder at a time. It is not safe for concurrent use.
//
// A grant lasts for the lease after its last renewal. When its holder does not
// give it back, the next one may use it only after the lease and the hold have
// passed, since requests of the old holder may run until then.
type Ledger struct {
	lease   time.Duration
	started time.Time
	unheard map[string]struct{}
	rounds  map[Holder]uint64
	grants  map[Key]*granted
}

// granted is one grant. Its holder may use it from from, and starts nothing
// after until. The zero holder is nobody: the grant was given back.
type granted struct {
	holder Holder
	from   time.Time
	until  time.Time
	hold   time.Duration
	// withheld says that from is only what a predecessor may have granted.
	withheld bool
}

// clear returns when no request started under the grant can run any more.
func (g *granted) clear() time.Time {
	end := g.until.Add(g.hold)
	if end.Before(g.from) {
		return g.from
	}
	return end
}

// NewLedger returns the ledger of a voter that starts now. Its predecessor on
// the same host may have granted anything to hosts; each grant is withheld
// until every one of hosts has said what it claims, or lease and hold have
// passed.
func NewLedger(now time.Time, lease time.Duration, hosts []string) *Ledger {
	l := &Ledger{
		lease: lease, started: now, unheard: map[string]struct{}{},
		rounds: map[Holder]uint64{}, grants: map[Key]*granted{},
	}
	for _, h := range hosts {
		l.unheard[h] = struct{}{}
	}
	return l
}

// Vote answers one message. It reports false for a message that arrived after
// a later one of the same holder; such a message has no effect.
func (l *Ledger) Vote(now time.Time, a *Ask) ([]Answer, bool) {
	if a.Round <= l.rounds[a.From] {
		return nil, false
	}
	l.rounds[a.From] = a.Round
	l.hear(now, a)
	for _, key := range a.Release {
		l.release(now, a.From, key)
	}
	out := make([]Answer, 0, len(a.Wants))
	for _, w := range a.Wants {
		out = append(out, l.vote(now, a.From, w))
	}
	return out, true
}

// release ends a grant whose holder has nothing in flight. What the holder
// before it may still run goes on to count.
func (l *Ledger) release(now time.Time, from Holder, key Key) {
	g := l.grants[key]
	if g == nil || g.holder != from {
		return
	}
	if !g.from.After(now) || g.withheld {
		delete(l.grants, key)
		return
	}
	g.holder, g.until, g.hold = Holder{}, now, 0
}

// hear takes in the claims of a host that this voter hears for the first time.
func (l *Ledger) hear(now time.Time, a *Ask) {
	if _, ok := l.unheard[a.From.Host]; !ok {
		return
	}
	delete(l.unheard, a.From.Host)
	for _, c := range a.Claims {
		if g := l.grants[c.Key]; g == nil || g.withheld {
			l.grants[c.Key] = &granted{holder: a.From, until: now.Add(l.lease), hold: c.Hold, from: now.Add(c.After)}
		}
	}
}

func (l *Ledger) vote(now time.Time, asker Holder, w Want) Answer {
	g := l.grants[w.Key]
	if g != nil && g.holder != asker && now.Before(g.until) {
		return Answer{Key: w.Key, Holder: g.holder}
	}
	next := &granted{holder: asker, until: now.Add(l.lease), hold: w.Hold}
	next.from, next.withheld = l.free(now, asker, w, g)
	l.grants[w.Key] = next
	return Answer{Key: w.Key, Granted: true, Holder: asker, After: max(0, next.from.Sub(now))}
}

// free returns when a grant may be used by a new holder, and whether only a
// predecessor of this voter may stand against an earlier time.
func (l *Ledger) free(now time.Time, asker Holder, w Want, g *granted) (from time.Time, withheld bool) {
	opened := len(l.unheard) == 0
	switch {
	case g != nil && g.withheld && opened:
		return now, false
	case g != nil && g.holder == asker:
		return g.from, g.withheld
	case g != nil && !g.withheld:
		return g.clear(), false
	case !opened:
		return l.started.Add(l.lease + w.Hold), true
	}
	return now, false
}

// Holders returns who holds each grant now.
func (l *Ledger) Holders(now time.Time) map[Key]Holder {
	out := make(map[Key]Holder, len(l.grants))
	for key, g := range l.grants {
		if now.Before(g.until) {
			out[key] = g.holder
		}
	}
	return out
}
