package gateway

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/loadview"
	"cassiatray/internal/port"
)

// attempt describes one sending of a request to a server, for the log.
type attempt struct {
	Server string `json:"server"`
	// Via is the gateway that the request was relayed to; Server is then the one that answered.
	Via  string `json:"via,omitempty"`
	Rank int    `json:"rank"`
	// Requests and WaitMS are the server's estimated load and wait.
	Requests float64 `json:"requests"`
	WaitMS   int64   `json:"wait_ms,omitempty"`
	ColdMS   int64   `json:"cold_ms,omitempty"`
	// RunMS is the expected time of the run at the usual pace, after the wait.
	RunMS int64 `json:"run_ms,omitempty"`
	// Pace and ReportAgeMS are the server's pace by its latest report, 0 for none, and how old
	// the report was when the server was chosen.
	Pace        float64 `json:"pace,omitempty"`
	ReportAgeMS int64   `json:"report_age_ms,omitempty"`
	// OtherRoom is set if another of the object's preferred servers was believed to have a
	// free slot.
	OtherRoom bool `json:"other_room,omitempty"`
	// Limit is the rate that the server named before the request was sent.
	Limit float64 `json:"limit,omitempty"`
	// Region is the server's, if it is not the gateway's own.
	Region string `json:"region,omitempty"`
	// Version is that of the configuration in force when the attempt began, if it is not the one
	// that the request was matched under.
	Version uint64 `json:"version,omitempty"`
	Status  int    `json:"status,omitempty"`
	// Code classifies the error of an attempt that got no response.
	Code  port.BackendCode `json:"code,omitempty"`
	Error string           `json:"error,omitempty"`
	MS    int64            `json:"ms"`
	New   bool             `json:"new_conn,omitempty"`
	// NotRun is how it is known that the request has not run; empty if it may have.
	NotRun notRunProof `json:"not_run,omitempty"`
	// Conn is the local address of the connection that a refusal came on. Before are the answers
	// that it carried before, Skipped those to other requests that came where this one was due.
	Conn    string `json:"conn,omitempty"`
	Before  int    `json:"answers_before,omitempty"`
	Skipped int    `json:"answers_skipped,omitempty"`
	// Unnamed is set if the refusal names no request.
	Unnamed bool `json:"unnamed,omitempty"`
	// Hedge is set for the second attempt of a pair. Won is set for the one of a pair whose response
	// was delivered, Lost for the other if it was given up.
	Hedge bool `json:"hedge,omitempty"`
	Won   bool `json:"won,omitempty"`
	Lost  bool `json:"lost,omitempty"`
}

// notRunProof is how a gateway knows that an attempt has not run. The values appear in the log.
type notRunProof string

// Values of notRunProof.
const (
	// proofRefused is a server's word that it did not run the request.
	proofRefused notRunProof = "refused"
	// proofOtherInstance is the response of a server that is not the expected one.
	proofOtherInstance notRunProof = "other-instance"
	// proofUnsent means that no byte of the request left this host.
	proofUnsent notRunProof = "unsent"
	// proofNotAccepted means that a helper did not accept the request in time.
	proofNotAccepted notRunProof = "not-accepted"
	// proofWithdrawn means that the offer to a helper was withdrawn before the body was sent.
	proofWithdrawn notRunProof = "withdrawn"
	// proofRejected is a helper's word that no server ran the request.
	proofRejected notRunProof = "rejected"
)

// noteNotRun notes why the attempt is known not to have run, if it is.
func (t *attempt) noteNotRun(a *port.ForwardAnswer, err error) {
	var be *port.BackendError
	switch {
	case errors.As(err, &be) && !be.Sent:
		t.NotRun = proofUnsent
	case err != nil || !a.Meta.NotRun:
		return
	case a.Meta.OtherInstance:
		t.NotRun = proofOtherInstance
	default:
		t.NotRun = proofRefused
	}
	if err == nil {
		t.Conn, t.Before, t.Skipped, t.Unnamed = a.Conn.Local, a.Conn.Answers, a.Conn.Skipped, a.Meta.ID == ""
	}
}

// outgoing is one sending of a request to a server, from its start to its result.
type outgoing struct {
	candidate
	to          sending
	started     runningRequest
	ownRequests int
	// version is that of the configuration in force, if it is not the request's.
	version uint64
	forward *port.ForwardRequest
	// ctx ends with the caller, if the request may be cancelled, with the time that a response is
	// waited for, with Node.waits, and by cancel.
	ctx    context.Context
	cancel context.CancelFunc
	// answered has the attempt outlast Node.waits.
	answered func() bool
}

// sendAttempt sends the request to the candidate and records the result.
func (n *Node) sendAttempt(r *http.Request, req *inflightRequest, c candidate, left time.Duration) (*port.ForwardAnswer, error) {
	o := n.startAttempt(r, req, c, left)
	a, took, err := n.forward(&o)
	n.finishAttempt(req, &o, a, took, err, attempt{})
	return a, err
}

// startAttempt prepares the sending of the request to the candidate.
func (n *Node) startAttempt(r *http.Request, req *inflightRequest, c candidate, left time.Duration) outgoing {
	s := c.server
	rec := s.rec()
	// A request that is not idempotent is not canceled when its caller
	// disconnects: it may have taken effect already. Nor is a trial, whose result
	// other callers wait for.
	parent := n.ctx
	if req.route.Idempotent && !req.trial {
		parent = r.Context()
	}
	ctx, cancel := context.WithDeadline(parent, req.deadline.Add(answerGrace))
	forward := &port.ForwardRequest{
		Method: r.Method, URI: req.uri, Host: r.Host, Header: n.forwardedHeaders(r, req), Body: req.body, Rest: req.unreadBody,
		Size: r.ContentLength, ID: req.caller.ID, SameProcess: n.limitsColdServers(req.view, req.service),
		Hold: req, Admit: n.firstByteCheck(req, &c),
	}
	if req.unreadBody == nil {
		forward.Size = int64(len(req.body))
	}
	told := max(minTimeLeft/2, left-n.answerDelayFrom(s))
	n.dialect.Forward(forward.Header, told, rec.ID)
	started, ownRequests := s.startRequest(req.objectHash, time.Now())
	version := n.keeper.configVersion()
	if version == req.view.config.Version {
		version = 0
	}
	return outgoing{
		candidate: c, version: version, to: sending{server: s, at: started.at, until: started.at.Add(told)}, started: started, ownRequests: ownRequests,
		forward: forward, ctx: ctx, cancel: cancel, answered: context.AfterFunc(n.waits, cancel),
	}
}

// forward sends the request and waits for the response. It changes nothing of the request's state.
func (n *Node) forward(o *outgoing) (*port.ForwardAnswer, time.Duration, error) {
	a, err := n.forwarder.Forward(o.ctx, o.server.rec().Address, o.forward)
	o.answered()
	o.server.endRequest(o.started)
	took := time.Since(o.started.at)
	if a == nil || a.Rest == nil {
		o.cancel()
	} else {
		context.AfterFunc(o.ctx, o.cancel)
	}
	return a, took, err
}

// describe completes what the log tells of an attempt that took some time.
func (n *Node) describe(o *outgoing, result attempt, took time.Duration) attempt {
	result.Server, result.Rank, result.Requests, result.WaitMS = o.server.rec().ID, o.rank, o.load, o.wait.Milliseconds()
	result.Pace, result.ReportAgeMS, result.OtherRoom = o.pace, o.reportAge.Milliseconds(), o.otherRoom
	result.Version = o.version
	if o.server.region != n.cfg.Region {
		result.Region = o.server.region
	}
	result.ColdMS, result.Limit, result.MS = o.coldFor.Milliseconds(), o.limit.Rate, took.Milliseconds()
	return result
}

// finishAttempt records the result of an attempt. Result holds what the log tells of it beside that.
func (n *Node) finishAttempt(req *inflightRequest, o *outgoing, a *port.ForwardAnswer, took time.Duration, err error, result attempt) {
	s, to, started := o.server, o.to, o.started
	rec := s.rec()
	result = n.describe(o, result, took)
	result.RunMS = n.serviceTimes.expectedRun(req.route, started.warm).Milliseconds()
	if err != nil {
		result.Error, result.Code = err.Error(), codeOf(err)
		if !isWithdrawn(err) {
			n.noteFailure(rec.ID, err, took, time.Now())
			n.recordFailure(req, to, err, took)
		}
	} else {
		result.Status, result.New = a.Status, a.Opened
		now := time.Now()
		n.noteResponse(a.Opened, now)
		if l := a.Meta.Load; a.Meta.NotRun && !a.Meta.OtherInstance && l != nil && !l.HasRoom() {
			n.metrics.fullServer(req.service, o.otherRoom)
		}
		n.recordRuns(s.recordAnswer(a.Meta, o.ownRequests, started.at, n.coldUnseen(req.view, req.service, now), now), rec.Service)
		if a.Meta.OtherInstance {
			n.processEnded(s, endOtherInstance, now)
		}
		n.recordLimit(s, a.Meta, time.Now())
		n.recordSignals(s, a.Meta, time.Now())
		if !a.Meta.NotRun {
			s.resume(started.at)
			n.followAnswer(req, to, a)
		}
		if req.route.Sticky && a.Status < http.StatusMultipleChoices {
			s.markWarm(req.objectHash, time.Now())
		}
		n.serviceTimes.record(req.route, req.service, a, loadview.Run{Took: took, Warm: started.warm, Known: started.known}, !o.expectsSlot())
		n.serviceTimes.recordShare(req.service, a.Meta.Load, s.inFlight())
		n.hedges.record(req, o, a, took, now)
		if a.Opened {
			n.metrics.opened.Inc()
		}
	}
	result.noteNotRun(a, err)
	if isWithdrawn(err) {
		req.withdrawn++
	} else {
		req.tries++
	}
	req.attempts = append(req.attempts, result)
	n.metrics.attempt(req.service, result, o.limit.Named, took)
}

// Time reserved for a response to travel from a server of the same or of another
// region: a few times the network delay within and between regions.
const (
	answerDelaySameRegion  = 10 * time.Millisecond
	answerDelayOtherRegion = 80 * time.Millisecond
)

// answerDelayFrom returns the part of a request's remaining time that is reserved
// for the response to travel back. The server gets the rest, so that a response
// sent at its deadline still reaches the caller in time.
func (n *Node) answerDelayFrom(s *server) time.Duration {
	if s.region == n.cfg.Region {
		return answerDelaySameRegion
	}
	return answerDelayOtherRegion
}

// recordFailure updates a server's health after an attempt that failed after some time.
func (n *Node) recordFailure(req *inflightRequest, to sending, err error, took time.Duration) {
	s := to.server
	var be *port.BackendError
	if !errors.As(err, &be) {
		return
	}
	now := time.Now()
	n.recordSignals(s, be.Meta, now)
	switch {
	case be.Code == port.BackendRestarted:
		n.checkForRestart(req.view, s, err, now)
		return
	case be.Code == port.BackendRefused:
		n.processEnded(s, endRefused, now)
	case be.Sent:
		n.noteFailedExchange(req, to, be, now)
	}
	n.recordHealth(s, be, err, took, now)
}

// recordHealth updates the health of a server whose exchange failed after some time.
func (n *Node) recordHealth(s *server, be *port.BackendError, err error, took time.Duration, now time.Time) {
	switch be.Code {
	case port.BackendRefused, port.BackendConnect, port.BackendBroken:
	default:
		return
	}
	if be.ResetAtOnce && n.recordResetAtOnce(s, took, now) {
		return
	}
	// One broken connection does not make a server unreachable: responses are lost
	// occasionally, and a server that is down refuses the next connection.
	unreachable := !be.Sent || errors.Is(err, syscall.ETIMEDOUT)
	if s.withHealth(func(h *fleet.Health) bool { return unreachable && h.Unreachable(now) || !unreachable && h.Broken(now) }) {
		rec := s.rec()
		told := unreachable && n.keeper.ReportUnreachable(rec.ID, took, now)
		n.log.WithFields(logrus.Fields{"server": rec.ID, "address": rec.Address, "told": told}).WithError(err).Warn("Server unreachable.")
	}
}

// recordResetAtOnce records that a server reset a new connection as soon as it got the request. It
// reports whether the server was ejected for it.
func (n *Node) recordResetAtOnce(s *server, took time.Duration, now time.Time) bool {
	rec := s.rec()
	// A server with a long queue takes fewer connections, and is not at fault.
	full := s.estimatedRequests(now, n.serviceTimes.ofService(rec.Service)) >= float64(rec.Slots)
	if full || !s.withHealth(func(h *fleet.Health) bool { return h.ResetAtOnce(now) }) {
		return false
	}
	// The others' checks may be answered well.
	n.keeper.ReportUnanswered(rec.ID, now, took, now)
	n.metrics.ejections.Inc()
	n.log.WithFields(logrus.Fields{"server": rec.ID, "address": rec.Address}).Warn("Server ejected: it resets all connections.")
	return true
}

// codeOf returns the class of a failed exchange with a server, or "".
func codeOf(err error) port.BackendCode {
	var be *port.BackendError
	if errors.As(err, &be) {
		return be.Code
	}
	return ""
}

// isWithdrawn reports whether an attempt was withdrawn before a byte of it was sent. That says
// nothing of the server.
func isWithdrawn(err error) bool { return err != nil && codeOf(err) == port.BackendWithdrawn }

// limitsColdServers reports whether a service limits the requests to cold servers.
func (n *Node) limitsColdServers(v *view, service string) bool {
	return v.config != nil && v.config.Services[service] != nil && v.config.Services[service].ColdRate > 0
}

// coldUnseen reports whether nothing but health checks tells which servers of a service are
// cold: it limits the requests to them, and the store, which else says so, is out of reach.
func (n *Node) coldUnseen(v *view, service string, now time.Time) bool {
	return n.limitsColdServers(v, service) && n.syncer.recordsLag(now)
}

// checkForRestart checks a server that closed its connections before it gets further
// requests: a new process is cold, and the store may not say so yet.
func (n *Node) checkForRestart(v *view, s *server, err error, now time.Time) {
	if s.withHealth(func(h *fleet.Health) bool { return h.Suspect(now) }) {
		n.log.WithField("server", s.rec().ID).WithError(err).Info("Server may have restarted; it is checked.")
	}
	n.checkIfDue(v, s, now)
}

// reportCrash reports the server's crash for each of the requests that were
// running on it.
func (n *Node) reportCrash(s *server, requests []fleet.InFlight, proof processEnd, now time.Time) {
	held, rec := false, s.rec()
	for _, request := range requests {
		held = !n.keeper.ReportCrash(rec.ID, rec.Service, request, proof, now) || held
	}
	if held {
		n.confirmLinks()
	}
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEndHeaders returns a copy of h without hop-by-hop headers.
func endToEndHeaders(h http.Header) http.Header {
	out := maps.Clone(h)
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}
