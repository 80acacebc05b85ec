package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"cassiatray/internal/core/membudget"
	"cassiatray/internal/core/retry"
	"cassiatray/internal/core/suspect"
	"cassiatray/internal/port"
)

// Limits on the time and size of a request.
const (
	// maxBufferedBody is how many bytes of a request's body are buffered before
	// it is sent. Only requests with a shorter body are retried.
	maxBufferedBody = 256 << 10
	// defaultTimeout applies to requests that carry no deadline.
	defaultTimeout = 30 * time.Second
	// answerGrace is how long after the deadline a response is still accepted: the
	// server stops working at the deadline, and its response takes time to arrive.
	answerGrace = 60 * time.Millisecond
	// maxNotRunAttempts is how many attempts a request may make beyond the route's
	// MaxAttempts, for servers that reject it without running it.
	maxNotRunAttempts = 2
	// minTimeLeft is the least remaining time with which a request is sent.
	minTimeLeft = 20 * time.Millisecond
	// maxNotFoundViewAge is the age of the view up to which an unknown route is
	// answered with 404 instead of 503.
	maxNotFoundViewAge = 2 * time.Second
)

// Node receives requests from callers and forwards them to backend servers.
type Node struct {
	cfg       *Settings
	keeper    *Keeper
	syncer    *Syncer
	dialect   port.Dialect
	forwarder port.Forwarder
	prober    port.Prober
	log       *logrus.Entry
	metrics   *Metrics

	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
	inFlight   atomic.Int64
	// relayed counts the requests of other gateways in flight.
	relayed atomic.Int64
	// stopping is set while the gateway is out of the directory, refusing once it takes no
	// more requests.
	stopping, refusing atomic.Bool
	// stopTimes are set once the gateway stops.
	stopTimes atomic.Pointer[stopTimes]
	// waits ends, by endWaits, when requests that no server has answered are ended. cut counts those
	// that a server may have run.
	waits    context.Context
	endWaits context.CancelFunc
	cut      atomic.Int64

	// confirming is set while the links are checked for reports that are held.
	confirming atomic.Bool

	permitPeers    permitPeers
	quotas         *quotas
	relays         *relayPeers
	links          *linkWatch
	trials         *trials
	completed      suspect.Completed
	serviceTimes   serviceTimes
	hedges         hedges
	unknownHeaders unknownHeaders
	// random returns a number in [0, 1).
	random func() float64
	bounds atomic.Pointer[Bounds]

	// memory bounds what is held for others.
	memory *membudget.Budget
	// places bounds the requests that wait for servers.
	places *membudget.Places

	mu           sync.Mutex
	retryBudgets map[string]*retry.Window
}

// NewNode returns a Node that routes requests by the views of k.
func NewNode(cfg *Settings, k *Keeper, d port.Dialect, f port.Forwarder, p port.Prober, peers port.PeerCaller, relays port.PeerStreamer, log *logrus.Entry, m *Metrics) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		cfg: cfg, keeper: k, dialect: d, forwarder: f, prober: p, log: log, metrics: m,
		ctx: ctx, cancel: cancel, retryBudgets: map[string]*retry.Window{}, memory: membudget.New(cfg.limits(0).BudgetBytes()), places: membudget.NewPlaces(0),
		permitPeers: permitPeers{pool: peers, unreachable: map[string]time.Time{}}, relays: newRelayPeers(relays), links: newLinkWatch(), trials: newTrials(), random: rand.Float64,
	}
	n.waits, n.endWaits = context.WithCancel(context.Background())
	n.quotas = newQuotas(n, peers)
	n.bounds.Store(&cfg.Bounds)
	k.replaced = func(s *server) {
		n.background.Go(func() { n.processEnded(s, endReplaced, time.Now()) })
	}
	return n
}

// ServeHTTP implements http.Handler.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	if n.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	req := n.newRequest(r)
	req.hold = holderOf(w)
	if n.refusing.Load() {
		req.view = n.keeper.View()
		n.writeError(w, req, http.StatusServiceUnavailable, string(reasonStopping))
		return
	}
	n.awaitStart(r.Context(), req.caller.Left)
	req.view = n.keeper.View()
	if req.view.config == nil {
		n.writeError(w, req, http.StatusServiceUnavailable, "no configuration")
		return
	}
	if limit := req.view.config.Limits.HeaderBytes; limit > 0 && headerSize(w, r) > limit {
		n.writeError(w, req, http.StatusRequestHeaderFieldsTooLarge, "headers over the limit")
		return
	}
	req.route = matchRoute(req.view.config, r)
	if req.route == nil {
		if time.Since(n.keeper.Synced()) > maxNotFoundViewAge {
			n.writeError(w, req, http.StatusServiceUnavailable, "no route, but the configuration may be old")
			return
		}
		n.writeError(w, req, http.StatusNotFound, "no route")
		return
	}
	if !n.identify(w, req) {
		return
	}
	if ok, after := n.quotas.admit(r.Context(), req); !ok {
		w.Header().Set("Retry-After", strconv.FormatFloat((after+rand.N(retryAfterSpread)).Seconds(), 'f', 3, 64))
		n.writeError(w, req, http.StatusTooManyRequests, "over the customer's limit")
		return
	}
	n.prepare(req)
	n.serve(w, r, req)
}

// serve reads the request's body and has a server answer it, once there is a place to wait in. One
// that would get no place is refused before its body is read.
func (n *Node) serve(w http.ResponseWriter, r *http.Request, req *inflightRequest) {
	group := req.group()
	status, why := http.StatusServiceUnavailable, string(reasonNoPlace)
	if n.places.Free(group) {
		status, why = n.readBody(w, r, req)
	}
	if status == 0 && !n.places.Enter(group) {
		status, why = http.StatusServiceUnavailable, string(reasonNoPlace)
	}
	if status != 0 {
		refuseBody(w, req, status)
		n.writeError(w, req, status, why)
		return
	}
	defer n.places.Leave(group)
	n.forwardWithRetries(w, r, req)
}

// withRetryBudget calls fn with the service's retry budget, under the lock.
func (n *Node) withRetryBudget(service string, fn func(*retry.Window) bool) bool {
	share := n.keeper.View().retryExtraShare
	n.mu.Lock()
	defer n.mu.Unlock()
	budget := n.retryBudgets[service]
	if budget == nil {
		budget = retry.NewWindow(n.keeper.born)
		n.retryBudgets[service] = budget
	}
	bounds := n.bounds.Load()
	budget.Span, budget.Ratio = time.Duration(bounds.RetryWindow), bounds.RetryRatio
	budget.SetExtra(time.Now(), bounds.RetryExtra*share)
	return fn(budget)
}

// forwardWithRetries sends the request to one server after another until one
// responds, or until the deadline, the attempts or the retry budget are used up.
func (n *Node) forwardWithRetries(w http.ResponseWriter, r *http.Request, req *inflightRequest) {
	admitted, end := n.admitSuspect(w, r, req)
	if !admitted {
		return
	}
	defer end()
	// drawn is set while a withdrawn attempt has drawn on the retry budget for the next one.
	drawn := false
	for {
		if n.cutByStop(req) {
			n.writeStopped(w, req)
			return
		}
		if time.Until(req.deadline) < minTimeLeft {
			n.writeFailure(w, req, "out of time")
			return
		}
		if !n.linksWhole() && n.mayRelay(req) && n.relay(w, r, req) {
			return
		}
		if n.endUnadmitted(w, req) || n.endSuspect(w, req) {
			return
		}
		// The current view may lack servers that were in the request's view.
		v := n.keeper.View()
		c, reason := n.pickServer(v, req)
		now := time.Now()
		if reason != reasonNone {
			if n.relayHelps(v, req, reason, now) && n.mayRelay(req) && n.relay(w, r, req) {
				return
			}
			req.fullServer = c
			if reason == reasonFull {
				n.hedges.refused(req.service, now)
			}
			if reason == reasonPaused {
				req.comeBackAfter = c.wait
			}
			n.writeFailure(w, req, string(reason))
			return
		}
		if req.repeat && !drawn && !n.withRetryBudget(req.service, func(b *retry.Window) bool { return b.Spend(now) }) {
			n.writeFailure(w, req, "retry budget spent")
			return
		}
		drawn = false
		var a *port.ForwardAnswer
		var err error
		if delay, ok := n.hedgeDelay(req, c, now); ok {
			c, a, err = n.sendWithHedge(r, req, c, delay)
		} else {
			a, err = n.sendAttempt(r, req, c, req.deadline.Sub(now))
		}
		be := n.countAttempt(req, c.server, a, err)
		if isWithdrawn(err) {
			if req.withdrawn >= maxWithdrawn {
				n.writeFailure(w, req, "withdrawn too often")
				return
			}
			drawn = req.repeat
			continue
		}
		if err == nil && !a.Meta.NotRun {
			if !n.shouldRetryAnswer(req, a) {
				n.writeAnswer(w, req, a)
				return
			}
			req.fallbackAnswer = a
			continue
		}
		if err == nil && a.Rest != nil {
			a.Rest.Close()
		}
		if be != nil && be.Sent {
			if n.endBrokenBody(w, req, err) {
				return
			}
			final := !req.route.Idempotent || req.runs >= req.maxRuns || req.unreadBody != nil || be.Code == port.BackendTimeout
			if r.Context().Err() != nil {
				n.recordEnd(req, 0, "caller left")
				return
			}
			if n.cutByStop(req) {
				n.writeStopped(w, req)
				return
			}
			if final {
				n.writeFailure(w, req, "server failed: "+string(be.Code))
				return
			}
		}
		if req.unreadBody != nil && req.bodyTouched || req.tries >= req.maxTries {
			if n.relayHelps(v, req, reasonAllTried, now) && n.mayRelay(req) && n.relay(w, r, req) {
				return
			}
			n.writeFailure(w, req, "no more attempts")
			return
		}
	}
}

// countAttempt counts an attempt that has ended towards the limits of its request. It returns the
// failure of the exchange, if that is what the error is.
func (n *Node) countAttempt(req *inflightRequest, s *server, a *port.ForwardAnswer, err error) *port.BackendError {
	req.excludeServer(s, a, err)
	var be *port.BackendError
	if err == nil || errors.As(err, &be) && be.Sent {
		n.count(req)
		req.repeat, req.bodyTouched = true, true
	}
	switch {
	case err == nil && !a.Meta.NotRun:
		req.runs++
		req.answeredBy = s.rec().ID
	case be != nil && be.Sent:
		req.mayHaveRun = true
		req.runs++
		if be.EndedByServer() {
			req.brokenOff++
		}
	}
	return be
}

// shouldRetryAnswer reports whether the response is a server error that may be
// retried on another server.
func (n *Node) shouldRetryAnswer(req *inflightRequest, a *port.ForwardAnswer) bool {
	return a.Status >= http.StatusInternalServerError && req.route.Idempotent && req.unreadBody == nil && a.Rest == nil && req.runs < req.maxRuns
}
