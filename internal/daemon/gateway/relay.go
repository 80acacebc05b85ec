package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"cassiatray/internal/adapter/bounded"
	"cassiatray/internal/adapter/headlimit"
	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/links"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

// A gateway that cannot reach the backend servers of a request itself has another gateway
// forward it: the helper. The request takes one such hop at most. The helper chooses the
// server and keeps all bounds; the promises to the caller hold over both: nothing is sent to a
// server before the helper has accepted the request and got its body, so that a request is not
// run if either is missing, and may have run afterwards unless the helper says otherwise.

const (
	// acceptTimeoutSameRegion and acceptTimeoutOtherRegion bound the wait for a helper to
	// accept a request; a session may have to be opened first.
	acceptTimeoutSameRegion  = 150 * time.Millisecond
	acceptTimeoutOtherRegion = 350 * time.Millisecond
	// acceptTimeShare is the largest part of a request's remaining time that one helper may
	// take to accept it.
	acceptTimeShare = 0.25
	// maxHelpers is how many helpers a request is offered to.
	maxHelpers = 3
	// helperPause is for how long a helper that did not accept is passed over.
	helperPause = time.Second
	// noRelayPause is for how long no requests to a service are relayed after a helper could
	// not reach its servers or found them full, while this gateway's links are whole.
	noRelayPause = time.Second
	// relayChunk is the size of the parts in which bodies are sent, in bytes.
	relayChunk = 32 << 10
)

// linksWhole reports whether this gateway's links to servers are neither suspect nor cut.
func (n *Node) linksWhole() bool { return n.links.current() == links.Whole }

// mayRelay reports whether a request may be sent to another gateway.
func (n *Node) mayRelay(req *inflightRequest) bool {
	switch {
	case n.relays.streams == nil || req.origin != "" || req.bodyTouched && req.unreadBody != nil:
		return false
	case !req.route.Idempotent:
		return !req.mayHaveRun
	}
	return req.runs < req.maxRuns
}

// relayHelps reports whether another gateway may serve a request that this one rejects for a
// reason: its own links to servers of the service are what is wrong.
func (n *Node) relayHelps(v *view, req *inflightRequest, reason rejectReason, now time.Time) bool {
	switch reason {
	case reasonUnreachable, reasonAllTried, reasonFull, reasonCold:
	default:
		return false
	}
	if n.relays.serviceWaits(req.service, now) {
		return false
	}
	g := v.groups[req.service]
	if g == nil {
		return false
	}
	unreached := 0
	for _, s := range g.servers {
		if s.withHealth(func(h *fleet.Health) bool { return h.Down() && !h.Doubted() }) {
			unreached++
		}
	}
	return float64(unreached) > ownFaultShare*float64(len(g.servers))
}

// relay has another gateway serve the request. It reports whether the request has ended; if
// not, no gateway took it.
func (n *Node) relay(w http.ResponseWriter, r *http.Request, req *inflightRequest) bool {
	tried := map[string]bool{}
	for len(tried) < maxHelpers && n.timeLeft(req) >= minTimeLeft {
		if n.endUnadmitted(w, req) || n.endSuspect(w, req) {
			return true
		}
		passed := n.relays.pausedNow(time.Now())
		h := links.Helper(n.keeper.View().helpers, n.cfg.Host, func(g *links.Gateway) bool {
			return !tried[g.Host] && !passed[g.Host] && req.allowsRegion(g.Region)
		}, rand.Float64)
		if h == nil {
			break
		}
		tried[h.Host] = true
		withdrawn := req.withdrawn
		ended, again := n.relayTo(w, r, req, h)
		if ended {
			return true
		}
		if req.withdrawn > withdrawn {
			delete(tried, h.Host)
		}
		if !again {
			break
		}
	}
	if req.rejection == nil || n.links.current() != links.Cut {
		return false
	}
	// This gateway has no other way, so that the helpers' word stands.
	n.writeRejection(w, req, req.rejection)
	return true
}

// relayTo has one gateway serve the request. It reports whether the request has ended, and
// otherwise whether it may be offered to another gateway.
func (n *Node) relayTo(w http.ResponseWriter, r *http.Request, req *inflightRequest, h *links.Gateway) (ended, again bool) {
	started := time.Now()
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline.Add(answerGrace))
	defer cancel()
	awaited := context.AfterFunc(n.waits, cancel)
	defer awaited()
	result := attempt{Via: h.Host}
	x, err := n.offer(ctx, r, req, h)
	if err != nil {
		result.NotRun = proofNotAccepted
		n.recordRelay(req, result, started, err)
		if r.Context().Err() != nil {
			n.recordEnd(req, 0, "caller left")
			return true, false
		}
		if !isOtherConfig(err) {
			n.relays.pause(h.Host, time.Now().Add(helperPause))
		}
		return false, true
	}
	defer x.Close()
	if reason := req.offerWithdrawal(n.keeper.View().config, h.Region); reason != "" {
		result.NotRun = proofWithdrawn
		req.withdrawn++
		n.recordRelay(req, result, started, &WithdrawnError{Reason: reason})
		return n.endUnadmitted(w, req), req.withdrawn < maxWithdrawn
	}
	// The helper counts it for the retry budget.
	req.counted = true
	head, a, err := n.exchange(ctx, x, req)
	awaited()
	if err != nil {
		n.recordRelay(req, result, started, err)
		req.mayHaveRun, req.repeat = true, true
		req.runs++
		switch {
		case n.endBrokenBody(w, req, err):
			return true, false
		case r.Context().Err() != nil:
			n.recordEnd(req, 0, "caller left")
			return true, false
		case n.cutByStop(req):
			n.writeStopped(w, req)
			return true, false
		case n.mayRelay(req) && time.Until(req.deadline) >= minTimeLeft:
			n.relays.pause(h.Host, time.Now().Add(helperPause))
			return false, true
		}
		n.writeFailure(w, req, "gateway failed: "+peerCodeOf(err))
		return true, false
	}
	result.Status, result.Server = a.Status, head.Server
	if head.Server == "" && a.Status == http.StatusServiceUnavailable {
		result.NotRun = proofRejected
	}
	n.recordRelay(req, result, started, nil)
	if head.Server != "" {
		if s := n.keeper.server(head.Server, 0); s != nil {
			n.recordSignals(s, a.Meta, time.Now())
		}
		n.writeAnswer(w, req, a)
		return true, false
	}
	return n.relayFailed(w, req, h, head, a)
}

// rejection is a response by which a helper itself ended a request.
type rejection struct {
	status     int
	reason     string
	retryAfter string
}

// relayFailed ends a request that the helper itself ended, unless another may serve it.
func (n *Node) relayFailed(w http.ResponseWriter, req *inflightRequest, h *links.Gateway, head *peerv1.RelayHead, a *port.ForwardAnswer) (ended, again bool) {
	now := time.Now()
	req.rejection = &rejection{status: a.Status, reason: head.Reason, retryAfter: a.Header.Get("Retry-After")}
	if a.Status != http.StatusServiceUnavailable {
		req.mayHaveRun = true
		n.writeRejection(w, req, req.rejection)
		return true, false
	}
	if req.trial {
		return n.trialRejected(w, req, head)
	}
	if n.linksWhole() {
		n.relays.pauseService(req.service, now.Add(noRelayPause))
	}
	req.repeat = req.repeat || head.Arrived
	if req.unreadBody != nil || !mayBeHelpersOwn(rejectReason(head.Reason)) {
		n.writeRejection(w, req, req.rejection)
		return true, false
	}
	if rejectReason(head.Reason) == reasonUnreachable {
		// Its links may be cut as well.
		n.relays.pause(h.Host, now.Add(helperPause))
	}
	return false, !n.linksWhole()
}

// mayBeHelpersOwn reports whether a reason for which a helper rejected a request may be its own,
// such as the view of a process that has just started, so that another gateway may serve it.
func mayBeHelpersOwn(reason rejectReason) bool {
	switch reason {
	case reasonUnreachable, reasonCold, reasonNoServer, reasonNoMemory, reasonNoPlace, reasonStopping:
		return true
	}
	return false
}

// writeRejection ends a request as a helper did. That the helper did not run it says nothing of
// attempts before.
func (n *Node) writeRejection(w http.ResponseWriter, req *inflightRequest, j *rejection) {
	if j.status != http.StatusServiceUnavailable && req.fallbackAnswer == nil {
		n.writeError(w, req, j.status, j.reason)
		return
	}
	if j.retryAfter != "" && !req.mayHaveRun && req.fallbackAnswer == nil {
		w.Header().Set("Retry-After", j.retryAfter)
	}
	n.writeFailure(w, req, j.reason)
}

// offer offers the request to a helper, and returns the exchange once it was accepted. Until
// then the request has not run and will not.
func (n *Node) offer(ctx context.Context, r *http.Request, req *inflightRequest, h *links.Gateway) (port.PeerStream, error) {
	timeout := acceptTimeoutOtherRegion
	if h.Region == n.cfg.Region {
		timeout = acceptTimeoutSameRegion
	}
	timeout = min(timeout, time.Duration(acceptTimeShare*float64(time.Until(req.deadline))))
	offered, cancel := context.WithCancel(ctx)
	late := time.AfterFunc(timeout, cancel)
	x, err := n.relays.streams.Open(offered, h.Address, &peerv1.Request{Body: &peerv1.Request_RelayOffer{RelayOffer: n.offerOf(r, req)}})
	if err != nil {
		cancel()
		return nil, err
	}
	reply, err := x.Receive(timeout)
	switch {
	case err != nil:
	case reply.GetRelayAccept() == nil:
		err = &port.PeerError{Code: port.PeerMismatch, Address: h.Address, Sent: true}
	case !late.Stop():
		err = &port.PeerError{Code: port.PeerTimeout, Address: h.Address, Sent: true, Err: context.DeadlineExceeded}
	}
	if err != nil {
		x.Close()
		cancel()
		return nil, err
	}
	return &offeredStream{PeerStream: x, cancel: cancel}, nil
}

// offeredStream is an accepted exchange.
type offeredStream struct {
	port.PeerStream
	cancel context.CancelFunc
}

// Close implements port.PeerStream.
func (s *offeredStream) Close() error {
	defer s.cancel()
	return s.PeerStream.Close()
}

// offerOf returns the offer of the request to a helper in a region that may serve it.
func (n *Node) offerOf(r *http.Request, req *inflightRequest) *peerv1.RelayOffer {
	size := r.ContentLength
	if req.unreadBody == nil {
		size = int64(len(req.body))
	}
	offer := &peerv1.RelayOffer{
		Method: r.Method, Uri: req.uri, Host: r.Host, Headers: headersToWire(n.forwardedHeaders(r, req)), Size: size,
		Service: req.service, RunsLeft: req.runsLeft(), Repeat: req.repeat,
		Trial: req.trial, Customer: req.customerName(),
		ConfigVersion: req.admittedBy.Version, Regions: req.regions(),
	}
	for s := range req.excluded {
		offer.Tried = append(offer.Tried, s.rec().ID)
	}
	slices.Sort(offer.Tried)
	return offer
}

// runsLeft returns how many servers of a helper may run the request. The helper's configuration may
// have another kind of route for it.
func (req *inflightRequest) runsLeft() uint32 {
	if !req.route.Idempotent {
		return 1
	}
	return uint32(max(1, req.maxRuns-req.runs))
}

// exchange sends the body of an accepted request and returns the response.
func (n *Node) exchange(ctx context.Context, x port.PeerStream, req *inflightRequest) (*peerv1.RelayHead, *port.ForwardAnswer, error) {
	// What is left of the body is read while it is sent.
	req.bodyTouched = true
	if err := sendBody(req.body, req.unreadBody, func(c *peerv1.RelayChunk) error {
		return x.Send(&peerv1.Request{Body: &peerv1.Request_RelayChunk{RelayChunk: c}})
	}); err != nil {
		return nil, nil, err
	}
	wait := time.Until(req.deadline.Add(answerGrace))
	reply, err := x.Receive(wait)
	if err != nil {
		return nil, nil, err
	}
	head := reply.GetRelayHead()
	if head == nil || !port.IsFinalStatus(int(head.Status)) {
		return nil, nil, &port.PeerError{Code: port.PeerMismatch, Sent: true}
	}
	a := &port.ForwardAnswer{Status: int(head.Status), Header: headersFromWire(head.Headers)}
	if err := headlimit.CheckFields(a.Header); err != nil {
		return nil, nil, &port.PeerError{Code: port.PeerMismatch, Sent: true, Err: err}
	}
	a.Meta = n.dialect.Server(a.Status, a.Header)
	body := &chunkReader{receive: func() (*peerv1.RelayChunk, error) {
		reply, err := x.Receive(wait)
		if err != nil {
			return nil, err
		}
		return reply.GetRelayChunk(), nil
	}}
	begin, whole, _, err := bounded.Read(body, -1, maxBufferedBody, req.HoldBytes)
	if err != nil {
		return nil, nil, err
	}
	a.Body = begin
	if !whole {
		req.hold.Force(relayWindow)
		a.Rest = io.NopCloser(body)
	}
	return head, a, nil
}

// recordRelay records how an attempt through another gateway ended.
func (n *Node) recordRelay(req *inflightRequest, result attempt, started time.Time, err error) {
	result.MS = time.Since(started).Milliseconds()
	label := "answered"
	if err != nil {
		result.Error = err.Error()
		label = "failed"
		var withdrawn *WithdrawnError
		switch {
		case isRefused(err):
			label = "refused"
		case errors.As(err, &withdrawn):
			label = "withdrawn"
		}
		n.log.WithFields(logrus.Fields{"request": req.caller.ID, "peer": result.Via}).WithError(err).Debug("Request not relayed.")
	}
	req.attempts = append(req.attempts, result)
	n.metrics.relays.WithLabelValues(label).Inc()
}

func isRefused(err error) bool { return port.IsPeerCode(err, port.PeerRefused) }

func isOtherConfig(err error) bool {
	var pe *port.PeerError
	return errors.As(err, &pe) && pe.Code == port.PeerRefused && pe.Reason == string(relayOtherConfig)
}

func peerCodeOf(err error) string {
	var pe *port.PeerError
	if errors.As(err, &pe) {
		return string(pe.Code)
	}
	return err.Error()
}
