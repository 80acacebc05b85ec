package gateway

import (
	"errors"
	"io"
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
	// endReplaced means that the store names a later process at the server's address.
	endReplaced processEnd = "replaced"
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
		Request: req.fingerprint(), Key: req.key(), Proven: n.completed.Has(req.key()), Trial: req.trial, Sent: to.at, Until: to.until,
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

// recordRun records that a request has run to completion at a service.
func (n *Node) recordRun(key uint64, fingerprint func() string, service string, sent time.Time) {
	n.completed.Add(key)
	n.keeper.ran(fingerprint, service, sent)
}

// recordRuns is recordRun for requests at a service whose answers turn out to have been whole.
func (n *Node) recordRuns(completed []fleet.InFlight, service string) {
	for _, r := range completed {
		n.recordRun(r.Key, func() string { return r.Request }, service, r.Sent)
	}
}

// followAnswer records the end of the run that an answer belongs to, which is known once its
// body has come whole.
func (n *Node) followAnswer(req *inflightRequest, to sending, a *port.ForwardAnswer) {
	if a.Rest != nil {
		a.Rest = &answerBody{ReadCloser: a.Rest, node: n, req: req, sent: to, unframed: a.Unframed}
		return
	}
	n.recordWhole(req, to, a.Unframed)
}

// recordWhole records that the body of an answer has ended. If it is unframed, the process may
// have ended in the middle of it.
func (n *Node) recordWhole(req *inflightRequest, to sending, unframed bool) {
	if !unframed {
		req.completed = true
		n.recordRun(req.key(), req.fingerprint, req.service, to.at)
		return
	}
	now := time.Now()
	r := n.describeInFlight(req, to)
	r.Exchange, r.Until, r.Answered = "unframed", now, true
	n.noteUnfinished(to.server, r, now)
}

// answerBody is the part of an answer's body that is streamed to the caller.
type answerBody struct {
	io.ReadCloser
	node     *Node
	req      *inflightRequest
	sent     sending
	unframed bool
	// recorded is set once the end of the exchange is recorded.
	recorded bool
}

// Read implements io.Reader.
//
// Errors: *port.BackendError.
func (b *answerBody) Read(p []byte) (int, error) {
	size, err := b.ReadCloser.Read(p)
	var be *port.BackendError
	switch {
	case err == nil || b.recorded:
	case errors.Is(err, io.EOF):
		b.recorded = true
		b.node.recordWhole(b.req, b.sent, b.unframed)
	case errors.As(err, &be):
		b.recorded = true
		b.node.noteFailedExchange(b.req, b.sent, be, time.Now())
	}
	return size, err
}

// Close ends the exchange. Before the end of the body the caller has left.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	if !b.recorded {
		b.recorded = true
		b.node.noteFailedExchange(b.req, b.sent, &port.BackendError{Code: port.BackendCanceled, Sent: true}, time.Now())
	}
	return err
}
