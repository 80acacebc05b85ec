package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/hedge"
	"cassiatray/internal/port"
)

// States of a paired attempt.
const (
	// pairRunning is that of an attempt in flight.
	pairRunning int32 = iota
	// pairEnded means that the attempt's result is, or will be at once, in the channel.
	pairEnded
	// pairLost means that the request has ended without the attempt: nobody waits for its result.
	pairLost
)

// pairedAttempt is an attempt that another one may run beside. Its goroutine changes nothing of
// the request: the result goes to the request's own goroutine, or, once the attempt is lost, into
// the state of the server only.
type pairedAttempt struct {
	outgoing
	isHedge bool
	state   atomic.Int32
	hold    *pairHold

	// What is needed of the request once the attempt is lost; set before that. unfinished is set if
	// the server may still run the request, run, while nothing shows that it can be run to its end.
	run        fleet.InFlight
	unfinished bool
	coldUnseen bool
}

// pairHold counts what the answer to a paired attempt holds for its request. It implements
// port.AnswerHolder.
type pairHold struct {
	req *inflightRequest
	// The request's pairHolding protects the rest, and the request's holder while attempts run.
	bytes int
	ended bool
}

// HoldBytes implements port.AnswerHolder.
func (h *pairHold) HoldBytes(bytes int) bool {
	h.req.pairHolding.Lock()
	defer h.req.pairHolding.Unlock()
	if h.ended {
		return bytes < 0
	}
	if !h.req.HoldBytes(bytes) {
		return false
	}
	h.bytes += bytes
	return true
}

// HoldHead implements port.AnswerHolder.
func (h *pairHold) HoldHead(bytes int) {
	h.req.pairHolding.Lock()
	defer h.req.pairHolding.Unlock()
	if !h.ended {
		h.req.HoldHead(bytes)
		h.bytes += bytes
	}
}

// end frees what the answer to a lost attempt holds. It gets no more.
func (h *pairHold) end() {
	h.req.pairHolding.Lock()
	defer h.req.pairHolding.Unlock()
	h.req.HoldBytes(-h.bytes)
	h.bytes, h.ended = 0, true
}

// pairedResult is the result of a paired attempt.
type pairedResult struct {
	p    *pairedAttempt
	a    *port.ForwardAnswer
	took time.Duration
	err  error
	// fault is what the sending panicked with.
	fault any
}

// PairedAttemptError is a panic in the sending of a paired attempt, passed on to the goroutine of
// its request.
type PairedAttemptError struct{ Fault any }

func (e *PairedAttemptError) Error() string { return fmt.Sprintf("attempt failed: %v", e.Fault) }

// startPaired sends the request to the candidate in a goroutine of its own.
func (n *Node) startPaired(r *http.Request, req *inflightRequest, c candidate, isHedge bool, results chan<- pairedResult) *pairedAttempt {
	p := &pairedAttempt{outgoing: n.startAttempt(r, req, c, time.Until(req.deadline)), isHedge: isHedge}
	p.hold = &pairHold{req: req}
	p.forward.Hold = p.hold
	n.background.Go(func() {
		res := n.runPaired(p)
		if p.state.CompareAndSwap(pairRunning, pairEnded) {
			results <- res
			return
		}
		n.settleLost(res)
	})
	return p
}

func (n *Node) runPaired(p *pairedAttempt) (res pairedResult) {
	res.p = p
	defer func() { res.fault = recover() }()
	res.a, res.took, res.err = n.forward(&p.outgoing)
	return res
}

// sendWithHedge sends the request to the candidate and, if that takes longer than a delay, to a
// second server beside it. It returns the result that decides how the request goes on, with the
// server that it came from: the first response that is delivered, or else the last result. The
// other one is recorded and counted.
func (n *Node) sendWithHedge(r *http.Request, req *inflightRequest, c candidate, delay time.Duration) (candidate, *port.ForwardAnswer, error) {
	// A result of each attempt has room, so that none waits for a request that has ended.
	results := make(chan pairedResult, 2)
	first := n.startPaired(r, req, c, false, results)
	due := time.NewTimer(delay)
	defer due.Stop()
	var second *pairedAttempt
	for ended := 0; ; {
		var res pairedResult
		select {
		case <-due.C:
			// A result that is there already decides.
			if len(results) == 0 {
				second = n.startHedge(r, req, first, results)
			}
			continue
		case res = <-results:
		}
		ended++
		wins := res.fault == nil && endsPair(res)
		// other is the attempt that is still in flight.
		var other *pairedAttempt
		switch {
		case second == nil || ended == 2:
		case res.p == first:
			other = second
		default:
			other = first
		}
		if res.fault != nil {
			if other != nil {
				n.lose(req, other, nil, results)
			}
			panic(&PairedAttemptError{Fault: res.fault})
		}
		result := attempt{Hedge: res.p.isHedge, Won: wins && second != nil}
		n.finishAttempt(req, &res.p.outgoing, res.a, res.took, res.err, result)
		switch {
		case other != nil && !wins:
			n.countAttempt(req, res.p.server, res.a, res.err)
			keepFailure(req, res)
			continue
		case other != nil:
			n.lose(req, other, res.a, results)
		}
		if second != nil {
			n.metrics.hedges.WithLabelValues(hedgeResult(wins, res.p.isHedge)).Inc()
		}
		return res.p.candidate, res.a, res.err
	}
}

// hedgeResult is the label of a second attempt in the metrics.
func hedgeResult(wins, byHedge bool) string {
	switch {
	case !wins:
		return "failed"
	case byHedge:
		return "won"
	}
	return "lost"
}

// startHedge sends the second attempt, if it may be sent.
func (n *Node) startHedge(r *http.Request, req *inflightRequest, first *pairedAttempt, results chan<- pairedResult) *pairedAttempt {
	if r.Context().Err() != nil || n.waits.Err() != nil {
		return nil
	}
	if n.readmit(req) != "" {
		n.metrics.unhedged.WithLabelValues(string(hedge.CauseUnadmitted)).Inc()
		return nil
	}
	if n.maySuspect(req) {
		n.metrics.unhedged.WithLabelValues(string(hedge.CauseSuspect)).Inc()
		return nil
	}
	now := time.Now()
	c, cause := n.decideHedge(n.keeper.View(), req, first.server, now)
	if cause != hedge.None {
		n.metrics.unhedged.WithLabelValues(string(cause)).Inc()
		return nil
	}
	n.metrics.hedges.WithLabelValues("sent").Inc()
	return n.startPaired(r, req, c, true, results)
}

// endsPair reports whether a result is a response to deliver: not a failure, a refusal, or a
// server error of which nothing would be streamed.
func endsPair(res pairedResult) bool {
	return res.err == nil && !res.a.Meta.NotRun && (res.a.Status < http.StatusInternalServerError || res.a.Rest != nil)
}

// keepFailure keeps what a request may end with from a failed attempt while the other one of its pair is running.
func keepFailure(req *inflightRequest, res pairedResult) {
	switch {
	case res.err != nil:
	case !res.a.Meta.NotRun:
		req.fallbackAnswer = res.a
	case res.a.Rest != nil:
		res.a.Rest.Close()
	}
}

// lose gives up an attempt whose request ends with the winner's response, or, if that is nil,
// without one. The attempt counts like any other, but not as a failure of its server.
func (n *Node) lose(req *inflightRequest, p *pairedAttempt, winner *port.ForwardAnswer, results <-chan pairedResult) {
	now := time.Now()
	took := now.Sub(p.started.at)
	// A request that has just run to its end at another server is not suspected of crashing this one.
	if p.unfinished = winner == nil || winner.Rest != nil || winner.Unframed; p.unfinished {
		p.run = n.describeInFlight(req, p.to)
		p.run.Exchange, p.run.Abandoned = "hedge-lost", true
	}
	p.coldUnseen = n.coldUnseen(req.view, req.service, now)
	lost := p.state.CompareAndSwap(pairRunning, pairLost)
	p.cancel()
	p.hold.end()
	if !lost {
		// Its result came at the same moment.
		n.settleLost(<-results)
	}
	if !p.isHedge {
		n.hedges.recordCut(req, &p.outgoing, took)
	}
	req.tries++
	req.runs++
	req.attempts = append(req.attempts, n.describe(&p.outgoing, attempt{Hedge: p.isHedge, Lost: true, Code: port.BackendCanceled}, took))
	n.metrics.lostAttempt(req.service, p.limit.Named)
}

// settleLost records what the result of a lost attempt says about its server. It is never
// delivered.
func (n *Node) settleLost(res pairedResult) {
	s, now := res.p.server, time.Now()
	rec := s.rec()
	switch {
	case res.fault != nil:
		n.log.WithFields(logrus.Fields{"server": rec.ID}).WithError(&PairedAttemptError{Fault: res.fault}).Error("Lost attempt failed here.")
		return
	case res.err == nil:
		n.settleLostAnswer(res, now)
		return
	}
	var be *port.BackendError
	if !errors.As(res.err, &be) {
		return
	}
	if be.Sent && res.p.unfinished {
		n.noteUnfinished(s, res.p.run, now)
	}
	if be.Code == port.BackendCanceled || be.Code == port.BackendWithdrawn {
		return
	}
	n.noteFailure(rec.ID, res.err, res.took, now)
	if be.Code == port.BackendRefused {
		n.processEnded(s, endRefused, now)
	}
	n.recordHealth(s, be, res.err, res.took, now)
}

// settleLostAnswer is settleLost for a response that came too late.
func (n *Node) settleLostAnswer(res pairedResult, now time.Time) {
	s, a := res.p.server, res.a
	rec := s.rec()
	if a.Rest != nil {
		a.Rest.Close()
	}
	n.noteResponse(a.Opened, now)
	n.recordRuns(s.recordAnswer(a.Meta, res.p.ownRequests, res.p.started.at, res.p.coldUnseen, now), rec.Service)
	if a.Meta.OtherInstance {
		n.processEnded(s, endOtherInstance, now)
	}
	n.recordLimit(s, a.Meta, now)
	n.recordSignals(s, a.Meta, now)
	if a.Opened {
		n.metrics.opened.Inc()
	}
	if a.Meta.NotRun {
		return
	}
	s.resume(res.p.started.at)
	switch run := res.p.run; {
	case !res.p.unfinished:
	case a.Rest == nil && !a.Unframed:
		n.recordRun(run.Key, func() string { return run.Request }, rec.Service, run.Sent)
	default:
		n.noteUnfinished(s, run, now)
	}
}
