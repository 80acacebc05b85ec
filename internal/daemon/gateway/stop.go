package gateway

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"cassiatray/internal/adapter/callerconn"
	"cassiatray/internal/sleep"
)

// Parts of the grace period, the time that a process may take to stop. Until its last sixth no request
// is ended on which a server may be at work.
const (
	// lingerShare is the part in which a stopping gateway still takes requests
	// of callers that hold an older answer of the directory. Requests that come later might
	// not end in time, and are refused.
	lingerShare = 0.45
	// exitShare, at most exitReserve, is kept free at the end for the process to exit.
	exitShare   = 7.0 / 60
	exitReserve = 700 * time.Millisecond
	// answerShare, at most answerReserve, is the part before that in which the requests are answered
	// that no server has answered: hundreds of answers have to leave.
	answerShare   = 1.0 / 40
	answerReserve = 150 * time.Millisecond
	// serverShare, at most answerGrace, is the part before that in which the answers of servers
	// arrive that drop the requests at their deadline.
	serverShare = 1.0 / 100
)

// stopTimes are the moments of a planned stop.
type stopTimes struct {
	// refuse is from when on new requests are refused, and deadline the latest deadline of those taken.
	refuse, deadline time.Time
	// answer is when requests are answered that no server has answered, and cut when the connections
	// are reset that are left.
	answer, cut time.Time
}

func newStopTimes(began time.Time, grace time.Duration) *stopTimes {
	part := func(share float64) time.Duration { return time.Duration(share * float64(grace)) }
	t := &stopTimes{refuse: began.Add(part(lingerShare))}
	t.cut = began.Add(grace - min(exitReserve, part(exitShare)))
	t.answer = t.cut.Add(-min(answerReserve, part(answerShare)))
	t.deadline = t.answer.Add(-min(answerGrace, part(serverShare)))
	return t
}

// Ready reports whether callers may be sent here.
func (n *Node) Ready() bool { return n.syncer.Ready() && !n.stopping.Load() }

// stop takes the gateway out of the directory, serves callers that do not know
// yet, and ends once every request in flight has been answered.
//
// Errors: *CutError.
func (n *Node) stop(ctx context.Context, callers *callerconn.Server) error {
	grace := time.Duration(n.bounds.Load().Grace)
	times := newStopTimes(time.Now(), grace)
	n.stopTimes.Store(times)
	n.stopping.Store(true)
	n.log.WithField("grace_ms", grace.Milliseconds()).Info("Stopping: out of the directory.")
	ctx, cancel := context.WithDeadline(ctx, times.cut)
	defer cancel()
	ending := time.AfterFunc(time.Until(times.answer), func() { n.endRequests(callers) })
	defer ending.Stop()
	go n.syncer.Leave(ctx)
	sleep.For(ctx, time.Until(times.refuse))
	n.refusing.Store(true)
	n.log.WithField("in_flight", n.inFlight.Load()).Info("Stopping: no new requests.")
	waiting := n.endCallers(ctx, callers)
	n.awaitRelayed(ctx)
	n.log.WithFields(logrus.Fields{"in_flight": n.inFlight.Load()}).Info("Stopping: requests ended.")
	if cut := waiting + int(n.cut.Load()); cut > 0 {
		return &CutError{Requests: cut}
	}
	return nil
}

// CutError means that requests were cut off at the end of the grace period while servers may have been
// at work on them.
type CutError struct{ Requests int }

func (e *CutError) Error() string { return fmt.Sprintf("%d requests cut off at servers", e.Requests) }

// endRequests ends the wait of all requests that no server has answered, so that their callers get an
// answer before the process ends.
func (n *Node) endRequests(callers *callerconn.Server) {
	n.log.WithFields(logrus.Fields{"in_flight": n.inFlight.Load(), "relayed": n.relayed.Load()}).Info("Stopping: requests without an answer are ended.")
	n.endWaits()
	callers.StopBodies()
}

// endCallers waits until all requests are answered, and returns how many were cut off whose servers
// were at work. Callers that have not sent their request whole by the end, or have not taken its
// answer, are not among them.
func (n *Node) endCallers(ctx context.Context, callers *callerconn.Server) int {
	if err := callers.Shutdown(ctx); err == nil {
		return 0
	}
	open, waiting := callers.Connections(), callers.Waiting()
	callers.Abort()
	n.log.WithFields(logrus.Fields{"connections": open, "at_servers": waiting}).Warn("Stopping: connections cut off at the end of the grace period.")
	return waiting
}

// boundByStop has the request end in time for its answer to leave before a process that stops does.
func (n *Node) boundByStop(req *inflightRequest) {
	if t := n.stopTimes.Load(); t != nil && req.deadline.After(t.deadline) {
		req.callerDeadline, req.deadline = req.deadline, t.deadline
	}
}

// timeLeft returns how long the request may still wait for an answer.
func (n *Node) timeLeft(req *inflightRequest) time.Duration {
	n.boundByStop(req)
	return time.Until(req.deadline)
}

// cutByStop reports whether the request ends because the process stops.
func (n *Node) cutByStop(req *inflightRequest) bool {
	n.boundByStop(req)
	return !req.callerDeadline.IsZero() && time.Until(req.deadline) < minTimeLeft
}

// endsBeforeStop reports whether the request is expected to end before the process does, if it waits
// at a server and runs there for some time.
func (req *inflightRequest) endsBeforeStop(wait, run time.Duration, now time.Time) bool {
	return req.callerDeadline.IsZero() || now.Add(wait+run).Before(req.deadline)
}

// callerWaits returns how long the caller waits, whenever the process stops.
func (req *inflightRequest) callerWaits(now time.Time) time.Duration {
	if !req.callerDeadline.IsZero() {
		return req.callerDeadline.Sub(now)
	}
	return req.deadline.Sub(now)
}

// writeStopped ends a request whose wait the stop has ended.
func (n *Node) writeStopped(w http.ResponseWriter, req *inflightRequest) {
	n.boundByStop(req)
	if req.mayHaveRun && req.fallbackAnswer == nil {
		n.cut.Add(1)
	}
	n.writeFailure(w, req, string(reasonStopping))
}
