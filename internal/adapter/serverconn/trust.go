package serverconn

import "time"

const (
	// distrustFor is how long idle connections are trusted less after one was
	// found reset, and distrustLeast the least idle time that is then trusted.
	distrustFor   = 10 * time.Second
	distrustLeast = 20 * time.Millisecond
	// A connection that its server has forgotten is reset at once: within resetRoundTrips round
	// trips and resetSlack, which a process with little of the processor needs. A reset that
	// comes later ends a request that the server had begun to run.
	resetRoundTrips = 1.5
	resetSlack      = 20 * time.Millisecond
)

// idleTrust decides after what idle time connections may still be used. Servers may forget idle
// connections without a word; the request that finds out is lost unless it may be repeated.
//
// One reset shows little: a server in trouble resets new connections as well, and with all
// connections of all servers distrusted every request would open one. So a reset limits the trust
// in that server, and in all servers only once that server has answered on a new connection. It is
// not safe for concurrent use.
type idleTrust struct {
	all     trustLimit
	servers map[string]*serverTrust
}

// trustLimit is the longest idle time that is trusted until a time.
type trustLimit struct {
	longest time.Duration
	until   time.Time
}

// serverTrust is the limit of one server. pending is the idle time of a reset that is not yet known
// to be the idle time's fault; zero for none.
type serverTrust struct {
	trustLimit
	pending time.Duration
}

func (l *trustLimit) trusts(waited time.Duration, now time.Time) bool {
	return waited <= l.longest || now.After(l.until)
}

// lower lowers the limit after a connection that was idle for a time was found reset.
func (l *trustLimit) lower(waited time.Duration, now time.Time) {
	if now.After(l.until) || waited/2 < l.longest {
		l.longest = max(distrustLeast, waited/2)
	}
	l.until = now.Add(distrustFor)
}

// trusts reports whether a connection to a server that was idle for a time may be used.
func (t *idleTrust) trusts(address string, waited time.Duration, now time.Time) bool {
	s := t.servers[address]
	return t.all.trusts(waited, now) && (s == nil || s.trusts(waited, now))
}

// reset records that a connection that was idle for a time was found reset.
func (t *idleTrust) reset(address string, waited time.Duration, now time.Time) {
	if t.servers == nil {
		t.servers = map[string]*serverTrust{}
	}
	s := t.servers[address]
	if s == nil {
		s = new(serverTrust)
		t.servers[address] = s
	}
	s.lower(waited, now)
	if s.pending == 0 || waited < s.pending {
		s.pending = waited
	}
}

// fresh records whether the server answered on a new connection.
func (t *idleTrust) fresh(address string, answered bool, now time.Time) {
	s := t.servers[address]
	if s == nil || s.pending == 0 {
		return
	}
	if answered {
		t.all.lower(s.pending, now)
	}
	s.pending = 0
}

// expire forgets limits that are over.
func (t *idleTrust) expire(now time.Time) {
	for address, s := range t.servers {
		if now.After(s.until) {
			delete(t.servers, address)
		}
	}
}

// isSoonReset reports whether a reset that came some time after the request was sent came before the
// server can have worked on it, as that of a connection that it had forgotten.
func isSoonReset(took, roundTrip time.Duration) bool {
	return took <= time.Duration(resetRoundTrips*float64(roundTrip))+resetSlack
}
