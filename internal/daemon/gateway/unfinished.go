package gateway

import (
	"time"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/port"
)

// A request that crashes the servers that run it is recognized by being in flight when they end,
// however its exchange ended before: the answer may never come or break off, the caller may
// leave, the deadline may pass. So a request whose answer has not come whole stays noted at its
// server (fleet.Unfinished) while the server may run it, and the server's process is watched
// meanwhile.

// processEnd is how it is known that a server's process has ended. The values appear in the log.
type processEnd string

// Values of processEnd.
const (
	// endRefused means that no process listens on the server's address.
	endRefused processEnd = "refused"
	// endOtherInstance means that another instance answers at the server's address.
	endOtherInstance processEnd = "other-instance"
	// endKnown means that the end of the process was known when the exchange ended.
	endKnown processEnd = "known"
)

// sending is one sending of a request to a server.
type sending struct {
	server *server
	at     time.Time
	// until is the deadline that the server was told.
	until time.Time
}

// describeInFlight returns what is told of the request if its server crashes.
func (n *Node) describeInFlight(req *inflightRequest, to sending) fleet.InFlight {
	return fleet.InFlight{
		Request: req.fingerprint(), Proven: n.completed.Has(req.key()), Trial: req.trial, Sent: to.at, Until: to.until,
	}
}

// noteFailedExchange notes a request whose exchange failed after it was sent.
func (n *Node) noteFailedExchange(req *inflightRequest, to sending, err *port.BackendError, now time.Time) {
	r := n.describeInFlight(req, to)
	r.Exchange = string(err.Code)
	if r.Abandoned = !err.EndedByServer(); !r.Abandoned {
		r.Until = now
	}
	n.noteUnfinished(to.server, r, now)
}

// noteUnfinished notes a request that the server may not have run to its end, and has the
// server's process watched.
func (n *Node) noteUnfinished(s *server, r fleet.InFlight, now time.Time) {
	s.mu.Lock()
	crashed := s.unfinished.Add(now, r)
	watch := !s.watched && s.unfinished.Pending(now)
	s.watched = s.watched || watch
	s.mu.Unlock()
	n.reportCrash(s, crashed, endKnown, now)
	if watch {
		n.background.Go(func() { n.watchProcess(s) })
	}
}

// processEnded records proof that the server's process has ended, and reports the requests that
// it may have been running.
func (n *Node) processEnded(s *server, proof processEnd, now time.Time) {
	s.mu.Lock()
	announced := !s.leavingSince.IsZero() || s.rec().State == fleet.Draining
	crashed := s.unfinished.Ended(now, announced)
	s.mu.Unlock()
	n.reportCrash(s, crashed, proof, now)
}
