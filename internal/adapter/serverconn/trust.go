package serverconn

import (
	"math"
	"time"
)

const (
	// distrustFor is how long idle connections are trusted less after one was
	// found reset, and distrustLeast the least idle time that is then trusted.
	distrustFor = 10 * time.Second
	// distrustFirst is distrustFor for the first reset of a server since it answered on an idle
	// connection. It may have lost that one answer.
	distrustFirst = 2 * time.Second
	distrustLeast = 20 * time.Millisecond
	// A connection that its server has forgotten is reset at once: within resetRoundTrips round
	// trips and resetSlack, which a process with little of the processor needs. A reset that
	// comes later ends a request that the server had begun to run.
	resetRoundTrips = 1.5
	resetSlack      = 20 * time.Millisecond
	// outcomeMemory is the time constant in which the outcomes of requests are forgotten.
	outcomeMemory = 3 * time.Second
	// Servers in general are taken to forget idle connections if minResets of these have been
	// reset lately, at least minResetShare of those used, and resetContrast times as often as new
	// connections: servers that lose answers, or that reset all requests, reset new ones as well.
	minResets     = 3
	minResetShare = 0.15
	resetContrast = 3
)

// idleTrust decides after what idle time connections may still be used. Servers may forget idle
// connections without a word; the request that finds out is lost unless it may be repeated.
//
// A reset limits the trust in its server unless that has just answered on a connection that was idle
// for as long. It limits the trust in all servers only if idle connections are reset more often than
// new ones: with all distrusted, every request opens a connection. It is not safe for concurrent use.
type idleTrust struct {
	all         trustLimit
	servers     map[string]*serverTrust
	idle, fresh outcomes
}

// trustLimit is the longest idle time that is trusted until a time.
type trustLimit struct {
	longest time.Duration
	until   time.Time
}

// serverTrust is the limit of one server, with the idle time of a connection on which it answered.
type serverTrust struct {
	trustLimit
	answeredAfter time.Duration
	answeredAt    time.Time
	// resets counts the resets since then.
	resets int
}

// outcomes counts requests and resets of the last seconds.
type outcomes struct {
	requests, resets float64
	at               time.Time
}

func (o *outcomes) add(reset bool, now time.Time) {
	kept := math.Exp(-float64(now.Sub(o.at)) / float64(outcomeMemory))
	o.requests, o.resets, o.at = o.requests*kept+1, o.resets*kept, now
	if reset {
		o.resets++
	}
}

func (l *trustLimit) trusts(waited time.Duration, now time.Time) bool {
	return waited <= l.longest || now.After(l.until)
}

// lower lowers the limit after a connection that was idle for a time was found reset.
func (l *trustLimit) lower(waited, span time.Duration, now time.Time) {
	if now.After(l.until) || waited/2 < l.longest {
		l.longest = max(distrustLeast, waited/2)
	}
	l.until = now.Add(span)
}

// trusts reports whether a connection to a server that was idle for a time may be used.
func (t *idleTrust) trusts(address string, waited time.Duration, now time.Time) bool {
	s := t.servers[address]
	return t.all.trusts(waited, now) && (s == nil || s.trusts(waited, now))
}

func (t *idleTrust) server(address string) *serverTrust {
	s := t.servers[address]
	if s == nil {
		if t.servers == nil {
			t.servers = map[string]*serverTrust{}
		}
		s = new(serverTrust)
		t.servers[address] = s
	}
	return s
}

// answered records an answer on a connection that was idle for a time, zero for a new one.
func (t *idleTrust) answered(address string, waited time.Duration, now time.Time) {
	if waited == 0 {
		t.fresh.add(false, now)
		return
	}
	t.idle.add(false, now)
	s := t.server(address)
	s.resets = 0
	if waited >= s.answeredAfter || now.Sub(s.answeredAt) > outcomeMemory {
		s.answeredAfter, s.answeredAt = waited, now
	}
}

// reset records that a connection that was idle for a time, zero for a new one, was reset at once.
func (t *idleTrust) reset(address string, waited time.Duration, now time.Time) {
	if waited == 0 {
		t.fresh.add(true, now)
		return
	}
	t.idle.add(true, now)
	s := t.server(address)
	if s.answeredAfter >= waited && now.Sub(s.answeredAt) <= outcomeMemory {
		return
	}
	span := distrustFirst
	if s.resets++; s.resets > 1 {
		span = distrustFor
	}
	s.lower(waited, span, now)
	// One more new connection than were seen, so that few of them prove little.
	freshShare := (t.fresh.resets + 1) / (t.fresh.requests + 1)
	if share := t.idle.resets / t.idle.requests; t.idle.resets > minResets-0.5 && share >= minResetShare && share >= resetContrast*freshShare {
		t.all.lower(waited, distrustFor, now)
	}
}

// expire forgets what is over.
func (t *idleTrust) expire(now time.Time) {
	for address, s := range t.servers {
		if now.After(s.until) && now.Sub(s.answeredAt) > outcomeMemory {
			delete(t.servers, address)
		}
	}
}

// isSoonReset reports whether a reset that came some time after the request was sent came before the
// server can have worked on it, as that of a connection that it had forgotten.
func isSoonReset(took, roundTrip time.Duration) bool {
	return took <= time.Duration(resetRoundTrips*float64(roundTrip))+resetSlack
}
