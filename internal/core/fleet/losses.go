package fleet

import (
	"slices"
	"time"
)

// crashWindow is the longest time between a lost response and a refused
// connection that counts them as one crash of the server. The next request to a
// server normally comes sooner than that.
const crashWindow = 2 * time.Second

// sameRequest reports whether two losses are of copies of one request.
func (f InFlight) sameRequest(o InFlight) bool { return f.Request == o.Request && f.Trial == o.Trial }

// Losses distinguishes crashes of one server process from responses lost on the
// network: a server that crashed refuses the next connection, whichever request
// opens it. It is not safe for concurrent use.
type Losses struct {
	pending     []InFlight
	lastRefused time.Time
}

// InFlight is a request that was in flight at a server.
type InFlight struct {
	// Request is its fingerprint.
	Request string
	// Proven is set if it had run to completion before, Trial if it ran as a trial.
	Proven, Trial bool
	// Lost is when its response was lost.
	Lost time.Time
}

// Lost records that the connection broke after a request was sent on it. If the
// server has crashed, it returns the requests that were in flight.
func (l *Losses) Lost(now time.Time, request InFlight) []InFlight {
	request.Lost = now
	l.pending = append(l.pending, request)
	if now.Sub(l.lastRefused) > crashWindow {
		return nil
	}
	return l.takeRecent(now)
}

// Refused records that the server refused a connection, and returns the
// requests that were in flight when it crashed, if any.
func (l *Losses) Refused(now time.Time) []InFlight {
	l.lastRefused = now
	return l.takeRecent(now)
}

// Answered records a response to a request that was sent at a time: the server
// has not crashed before then, so earlier losses are dropped.
func (l *Losses) Answered(sent time.Time) {
	l.pending = slices.DeleteFunc(l.pending, func(p InFlight) bool { return p.Lost.Before(sent) })
}

// takeRecent clears the pending losses and returns the requests of those within
// crashWindow, each once however many copies were lost.
func (l *Losses) takeRecent(now time.Time) []InFlight {
	var out []InFlight
	for _, p := range l.pending {
		if now.Sub(p.Lost) <= crashWindow && !slices.ContainsFunc(out, p.sameRequest) {
			out = append(out, p)
		}
	}
	l.pending = nil
	return out
}
