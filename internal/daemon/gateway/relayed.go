package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"runtime/debug"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"cassiatray/internal/core/membudget"
	"cassiatray/internal/core/routing"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

// maxRelayed bounds the requests of other gateways that are handled at once.
const maxRelayed = 256

// relayRefusal is why a gateway does not take a request that another one offers. The values
// are codes on the wire.
type relayRefusal string

// Values of relayRefusal.
const (
	relayStopping relayRefusal = "stopping"
	// relayNoLinks means that this gateway's links to servers are cut, too.
	relayNoLinks relayRefusal = "no-links"
	relayNoRoom  relayRefusal = "no-room"
	// relayNotReady means that this gateway has just started, or was paused.
	relayNotReady relayRefusal = "not-ready"
	// relayOtherConfig means that this gateway's configuration has another route for the
	// request, or none.
	relayOtherConfig relayRefusal = "other-configuration"
)

// RelayRefusedError is the refusal to take a request that another gateway offers. It has not
// run.
type RelayRefusedError struct{ Reason relayRefusal }

func (e *RelayRefusedError) Error() string { return "request not taken: " + string(e.Reason) }

// ErrorCode implements peer.CodedError.
func (e *RelayRefusedError) ErrorCode() string { return string(e.Reason) }

// RelayFailedError is a relayed request whose handling ended in a panic. It may have run.
type RelayFailedError struct{ Fault any }

func (e *RelayFailedError) Error() string { return fmt.Sprintf("relayed request failed: %v", e.Fault) }

// ServeRelay forwards a request that another gateway offers.
//
// Errors: *RelayRefusedError, *RelayFailedError, and those of the exchange.
func (n *Node) ServeRelay(ctx context.Context, offer *peerv1.RelayOffer, from string, x port.PeerServerStream) (err error) {
	n.relayed.Add(1)
	defer n.relayed.Add(-1)
	id := ""
	defer func() {
		switch fault := recover(); fault {
		case nil:
		case http.ErrAbortHandler:
			// An answer that breaks off has no last chunk.
			err = nil
		default:
			err = &RelayFailedError{Fault: fault}
			n.log.WithFields(logrus.Fields{"request": id, "origin": from, "stack": string(debug.Stack())}).WithError(err).Error("Relayed request failed here.")
		}
	}()
	switch {
	case n.refusing.Load():
		return &RelayRefusedError{Reason: relayStopping}
	case !n.keeper.Settled(time.Now()):
		return &RelayRefusedError{Reason: relayNotReady}
	case !n.linksWhole():
		return &RelayRefusedError{Reason: relayNoLinks}
	case n.relayed.Load() > maxRelayed:
		return &RelayRefusedError{Reason: relayNoRoom}
	}
	r, err := requestOf(ctx, offer)
	if err != nil {
		return err
	}
	req := n.newRequest(r)
	id = req.caller.ID
	req.origin, req.view = from, n.keeper.View()
	if req.route = relayedRoute(req.view.config, r, offer.Service); req.route == nil {
		return &RelayRefusedError{Reason: relayOtherConfig}
	}
	if !req.identifyRelayed(offer.Customer) {
		return &RelayRefusedError{Reason: relayOtherConfig}
	}
	req.setAdmission()
	req.offeredVersion, req.offeredRegions = offer.ConfigVersion, offer.Regions
	if !req.allowsRegion(n.cfg.Region) {
		return &RelayRefusedError{Reason: relayOtherConfig}
	}
	bodyCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	hold := new(membudget.Holder)
	hold.Init(n.memory, time.Now(), relayHolder{cancel})
	defer hold.Release()
	room := int64(relayChunk)
	if holdsWindow(offer) {
		room += relayWindow
	}
	if !hold.Grow(room, time.Now()) {
		return &RelayRefusedError{Reason: relayNoRoom}
	}
	req.hold = hold
	if err := x.Send(&peerv1.Reply{Body: &peerv1.Reply_RelayAccept{RelayAccept: &peerv1.RelayAccept{}}}); err != nil {
		return err
	}
	body := &chunkReader{receive: func() (*peerv1.RelayChunk, error) {
		m, err := x.Receive(bodyCtx)
		if err != nil {
			return nil, err
		}
		hold.Moved(len(m.GetRelayChunk().GetData()), time.Now())
		return m.GetRelayChunk(), nil
	}}
	// The first chunk says that the request is to run.
	first := make([]byte, relayChunk)
	size, err := body.Read(first)
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	r.Body = io.NopCloser(io.MultiReader(bytes.NewReader(first[:size]), body))
	w := &relayWriter{send: x.Send, header: http.Header{}, req: req}
	n.prepareRelayed(req, r, offer)
	// The process may have been paused since it accepted the request.
	n.awaitStart(ctx, time.Until(req.deadline))
	n.serve(w, r, req)
	err = w.finish()
	// A body that was given up for lack of memory is read to its end, too.
	bodyCtx = ctx
	// The other gateway reads the response once it has sent the whole body.
	if _, rest := io.Copy(io.Discard, body); err == nil && rest != nil {
		n.log.WithField("request", req.caller.ID).WithError(rest).Debug("Body of a relayed request not read to its end.")
	}
	return err
}

// requestOf returns the offered request, without its body.
//
// Errors: *port.PeerError for one that is none.
func requestOf(ctx context.Context, offer *peerv1.RelayOffer) (*http.Request, error) {
	u, err := url.ParseRequestURI(offer.Uri)
	if err != nil || offer.Method == "" {
		return nil, &port.PeerError{Code: port.PeerRefused, Reason: "no request", Err: err}
	}
	r := &http.Request{
		Method: offer.Method, URL: u, RequestURI: offer.Uri, Host: offer.Host, Header: headersFromWire(offer.Headers),
		ContentLength: offer.Size, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	return r.WithContext(ctx), nil
}

// relayedRoute returns the route by which this gateway handles a relayed request as the one that
// received it does: its service is among those of the route.
func relayedRoute(c *routing.Config, r *http.Request, service string) *routing.Route {
	if c == nil {
		return nil
	}
	route := matchRoute(c, r)
	if route == nil || !slices.ContainsFunc(route.Parts, func(p routing.Part) bool { return p.Service == service }) {
		return nil
	}
	return route
}

// prepareRelayed is prepare for a relayed request.
func (n *Node) prepareRelayed(req *inflightRequest, r *http.Request, offer *peerv1.RelayOffer) {
	req.setDeadline()
	if deadline, ok := r.Context().Deadline(); ok {
		req.deadline = deadline.Add(-answerGrace - n.answerDelayTo(req))
	}
	n.boundByStop(req)
	req.setObject()
	req.service = offer.Service
	req.maxRuns = min(req.maxRuns, int(max(1, offer.RunsLeft)))
	req.trial = offer.Trial
	// Each request counts at one gateway for the retry budget.
	req.counted, req.repeat = offer.Repeat, offer.Repeat
	for _, id := range offer.Tried {
		if s := n.keeper.server(id, 0); s != nil {
			req.excluded[s] = true
		}
	}
}

// answerDelayTo returns the part of a relayed request's remaining time that is reserved for the
// response to travel to the gateway that relays it.
func (n *Node) answerDelayTo(req *inflightRequest) time.Duration {
	for _, m := range req.view.members {
		if m.Host == req.origin && m.Region == n.cfg.Region {
			return answerDelaySameRegion
		}
	}
	return answerDelayOtherRegion
}

// relayWriter sends the response to a relayed request. It implements http.ResponseWriter.
type relayWriter struct {
	send   func(*peerv1.Reply) error
	header http.Header
	req    *inflightRequest
	began  bool
	// held is the part of the body that is not sent yet: it may be the last.
	held []byte
	err  error
}

// Header implements http.ResponseWriter.
func (w *relayWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *relayWriter) WriteHeader(status int) {
	if w.began {
		return
	}
	w.began = true
	head := &peerv1.RelayHead{Status: uint32(status), Headers: headersToWire(w.header), Server: w.req.answeredBy, Arrived: w.req.repeat}
	if head.Server == "" {
		head.Reason = w.req.endReason
	}
	w.err = w.send(&peerv1.Reply{Body: &peerv1.Reply_RelayHead{RelayHead: head}})
}

// Write implements http.ResponseWriter.
func (w *relayWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	for rest := p; len(rest) > 0 && w.err == nil; {
		if len(w.held) > 0 {
			w.sendHeld(false)
		}
		size := min(len(rest), relayChunk)
		w.held, rest = bytes.Clone(rest[:size]), rest[size:]
	}
	if w.err != nil {
		return 0, w.err
	}
	return len(p), nil
}

func (w *relayWriter) sendHeld(last bool) {
	if w.err == nil {
		w.err = w.send(&peerv1.Reply{Body: &peerv1.Reply_RelayChunk{RelayChunk: &peerv1.RelayChunk{Data: w.held, Last: last}}})
	}
	w.held = nil
}

// finish ends the response.
func (w *relayWriter) finish() error {
	if !w.began {
		// The caller left.
		return nil
	}
	w.sendHeld(true)
	return w.err
}

// awaitRelayed waits until the requests of other gateways have ended.
func (n *Node) awaitRelayed(ctx context.Context) {
	for n.relayed.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(relayedPoll):
		}
	}
}

// relayedPoll is how often a gateway that stops looks for requests of others.
const relayedPoll = 10 * time.Millisecond
