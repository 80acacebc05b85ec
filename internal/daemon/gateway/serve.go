package gateway

import (
	"context"
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/placement"
	"cassiatray/internal/core/retry"
	"cassiatray/internal/core/routing"
	"cassiatray/internal/port"
)

// Times and sizes of a request.
const (
	// bodyWhole is up to which size a request's body is read whole before it
	// is sent, in bytes. Only such requests are sent twice.
	bodyWhole = 256 << 10
	// defaultLeft is the time that a caller without a deadline has.
	defaultLeft = 30 * time.Second
	// answerGrace is how long after a request's time its server may still
	// answer: it stops at the time, and its answer has to travel.
	answerGrace = 60 * time.Millisecond
	// extraAttempts is how many servers may refuse a request beside those that
	// may run it.
	extraAttempts = 2
	// minLeft is the least time in which sending a request makes sense.
	minLeft = 20 * time.Millisecond
	// freshWithin is the age up to which a view is good enough to say that a
	// route does not exist.
	freshWithin = 2 * time.Second
)

// Node forwards requests of callers to backend servers.
type Node struct {
	cfg     *Settings
	keeper  *Keeper
	syncer  *Syncer
	dialect port.Dialect
	forward port.Forwarder
	prober  port.Prober
	log     *logrus.Entry
	metrics *Metrics

	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
	inFlight   atomic.Int64
	stopping   atomic.Bool

	costs  costs
	bounds atomic.Pointer[Bounds]

	mu      sync.Mutex
	budgets map[string]*retry.Window
}

// NewNode returns a node that forwards by the keeper's views.
func NewNode(cfg *Settings, k *Keeper, d port.Dialect, f port.Forwarder, p port.Prober, log *logrus.Entry, m *Metrics) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		cfg: cfg, keeper: k, dialect: d, forward: f, prober: p, log: log, metrics: m,
		ctx: ctx, cancel: cancel, budgets: map[string]*retry.Window{},
	}
	n.bounds.Store(&cfg.Bounds)
	return n
}

// exchange is one request of a caller on its way through this gateway.
type exchange struct {
	start time.Time
	meta  port.CallerMeta
	view  *view
	// uri is the request target in origin form.
	uri     string
	method  string
	route   *routing.Route
	service string
	object  uint64
	// head is set for requests whose answers have no body.
	head bool
	// deadline is when the caller gets an answer at the latest.
	deadline time.Time
	body     []byte
	rest     io.Reader
	// tried are the servers that are not tried again, lostAt those that lost an
	// answer once.
	tried    map[*server]bool
	lostAt   map[*server]bool
	attempts []attempt
	// mayHaveRun is set once a server may have begun the request.
	mayHaveRun bool
	// refusal is the server that was too busy for the request.
	refusal choice
	// kept is a server's failure that is passed on when no other server does
	// better.
	kept *port.ForwardAnswer
}

// attempt is one sending of a request, for the log.
type attempt struct {
	Server string `json:"server"`
	Rank   int    `json:"rank"`
	// Requests and WaitMS are the server's load as it was estimated.
	Requests float64 `json:"requests"`
	WaitMS   int64   `json:"wait_ms,omitempty"`
	ColdMS   int64   `json:"cold_ms,omitempty"`
	Status   int     `json:"status,omitempty"`
	Error    string  `json:"error,omitempty"`
	MS       int64   `json:"ms"`
	New      bool    `json:"new_conn,omitempty"`
}

// ServeHTTP implements http.Handler.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	if n.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{start: time.Now(), meta: n.dialect.Caller(r.Header), view: n.keeper.View(), tried: map[*server]bool{}, lostAt: map[*server]bool{}}
	if x.view.config == nil {
		n.refuse(w, x, http.StatusServiceUnavailable, "no configuration")
		return
	}
	if limit := x.view.config.Limits.HeaderBytes; limit > 0 && headerSize(r) > limit {
		n.refuse(w, x, http.StatusRequestHeaderFieldsTooLarge, "headers over the limit")
		return
	}
	x.uri = r.RequestURI
	if !strings.HasPrefix(x.uri, "/") {
		x.uri = r.URL.RequestURI()
	}
	path, _, _ := strings.Cut(x.uri, "?")
	x.route = x.view.config.Match(strings.ToLower(r.Host), path)
	if x.route == nil {
		if time.Since(n.keeper.Synced()) > freshWithin {
			n.refuse(w, x, http.StatusServiceUnavailable, "no route, but the configuration may be old")
			return
		}
		n.refuse(w, x, http.StatusNotFound, "no route")
		return
	}
	x.head = r.Method == http.MethodHead
	n.admit(x)
	if status, why := n.readBody(w, r, x); status != 0 {
		n.refuse(w, x, status, why)
		return
	}
	n.serve(w, r, x)
}

// headerSize returns the size of a request's head as it was sent, in bytes.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host) + len("  HTTP/1.1\r\nHost: \r\n\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
		}
	}
	return size
}

// admit settles a request's service, object and time.
func (n *Node) admit(x *exchange) {
	left := x.meta.Left
	if left <= 0 {
		left = defaultLeft
	}
	if x.route.Timeout > 0 {
		left = min(left, x.route.Timeout)
	}
	x.deadline = x.start.Add(left)
	point := rand.Float64()
	if x.meta.Object != "" && x.route.Sticky {
		x.object = placement.Object(x.route.Name, x.meta.Object)
		point = placement.Point(x.object)
	} else {
		x.object = rand.Uint64()
	}
	x.service = x.view.service(x.route, point)
	n.budget(x.service, func(b *retry.Window) bool { b.Request(x.start); return true })
}

// budget runs fn on the retry budget of a service.
func (n *Node) budget(service string, fn func(*retry.Window) bool) bool {
	gateways := max(1, len(n.keeper.View().hosts))
	n.mu.Lock()
	defer n.mu.Unlock()
	b := n.budgets[service]
	if b == nil {
		b = new(retry.Window)
		n.budgets[service] = b
	}
	bounds := n.bounds.Load()
	b.Span, b.Ratio, b.Extra = time.Duration(bounds.RetryWindow), bounds.RetryRatio, bounds.RetryExtra/float64(gateways)
	return fn(b)
}

// readBody reads the begin of the body, and all of a small one. It returns a
// status when the request cannot be served.
func (n *Node) readBody(w http.ResponseWriter, r *http.Request, x *exchange) (int, string) {
	if r.Body == nil || r.ContentLength == 0 {
		return 0, ""
	}
	limit := x.view.config.Limits.BodyBytes
	if limit > 0 && r.ContentLength > limit {
		return http.StatusRequestEntityTooLarge, "body over the limit"
	}
	body := io.Reader(r.Body)
	if limit > 0 {
		body = http.MaxBytesReader(w, r.Body, limit)
	}
	data, err := io.ReadAll(io.LimitReader(body, bodyWhole))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return http.StatusRequestEntityTooLarge, "body over the limit"
	case err != nil:
		return http.StatusBadRequest, "body broken off: " + err.Error()
	}
	x.body = data
	if len(data) == bodyWhole {
		x.rest = body
	}
	return 0, ""
}

// serve sends the request to one server after another until one has answered.
func (n *Node) serve(w http.ResponseWriter, r *http.Request, x *exchange) {
	runs := 0
	x.method = r.Method
	print := func() string { return x.fingerprint(r.Method) }
	if x.rest == nil && n.keeper.refused(print) {
		n.refuse(w, x, http.StatusServiceUnavailable, "crashes servers")
		return
	}
	for {
		now := time.Now()
		left := x.deadline.Sub(now)
		if left < minLeft {
			n.fail(w, x, "out of time")
			return
		}
		// A view that is newer than the request's may have lost servers.
		v := n.keeper.View()
		c, why := n.pick(v, x, now)
		if why != verdictNone {
			x.refusal = c
			n.fail(w, x, string(why))
			return
		}
		if len(x.attempts) > 0 && !n.budget(x.service, func(b *retry.Window) bool { return b.Spend(now) }) {
			n.fail(w, x, "retry budget spent")
			return
		}
		a, err := n.send(r, x, c, left)
		x.note(c.server, err)
		if err == nil && !a.Meta.NotRun {
			runs++
			n.keeper.ran(print, now)
			if !n.again(x, a, runs) {
				n.deliver(w, x, a)
				return
			}
			x.kept = a
			continue
		}
		var be *port.BackendError
		if errors.As(err, &be) && be.Sent {
			x.mayHaveRun = true
			runs++
			if r.Context().Err() != nil {
				n.finish(x, 0, "caller left")
				return
			}
			if !x.route.Idempotent && be.Code == port.BackendBroken {
				n.inquire(x, c.server)
			}
			if !x.route.Idempotent || runs >= x.route.MaxAttempts || x.rest != nil || be.Code == port.BackendTimeout {
				n.fail(w, x, "server failed: "+string(be.Code))
				return
			}
		}
		if x.rest != nil || len(x.attempts) >= x.route.MaxAttempts+extraAttempts {
			n.fail(w, x, "no more attempts")
			return
		}
	}
}

// note keeps a request from a server that failed it. A server whose answer was
// lost on the way gets one more chance: it has what the request needs at hand.
func (x *exchange) note(s *server, err error) {
	var be *port.BackendError
	if errors.As(err, &be) && be.Code == port.BackendBroken && be.Sent && !x.lostAt[s] {
		x.lostAt[s] = true
		return
	}
	x.tried[s] = true
}

// again reports whether an answer is a failure that another server may better.
func (n *Node) again(x *exchange, a *port.ForwardAnswer, runs int) bool {
	return a.Status >= http.StatusInternalServerError && x.route.Idempotent && x.rest == nil && a.Rest == nil && runs < x.route.MaxAttempts
}

// send sends the request to one server.
func (n *Node) send(r *http.Request, x *exchange, c choice, left time.Duration) (*port.ForwardAnswer, error) {
	s := c.server
	rec := s.rec()
	// Work that may not be repeated goes on when its caller has left: it may be
	// done already.
	parent := n.ctx
	if x.route.Idempotent {
		parent = r.Context()
	}
	ctx, cancel := context.WithDeadline(parent, x.deadline.Add(answerGrace))
	req := &port.ForwardRequest{
		Method: r.Method, URI: x.uri, Host: r.Host, Header: forwardHeader(r.Header), Body: x.body, Rest: x.rest,
		Size: r.ContentLength, ID: x.meta.ID,
	}
	if x.rest == nil {
		req.Size = int64(len(x.body))
	}
	n.dialect.Forward(req.Header, max(minLeft/2, left-n.travel(s)), rec.ID)
	mine := s.inFlight.Add(1)
	begin := time.Now()
	a, err := n.forward.Forward(ctx, rec.Address, req)
	s.inFlight.Add(-1)
	took := time.Since(begin)
	if a == nil || a.Rest == nil {
		cancel()
	} else {
		context.AfterFunc(ctx, cancel)
	}
	at := attempt{Server: rec.ID, Rank: c.rank, Requests: c.requests, WaitMS: c.wait.Milliseconds(), ColdMS: c.cold.Milliseconds(), MS: took.Milliseconds()}
	if err != nil {
		at.Error = err.Error()
		n.noteFailure(x, s, err)
	} else {
		at.Status, at.New = a.Status, a.Opened
		s.learn(a.Meta, int(mine), time.Now())
		n.costs.learn(x.route, a, took)
		if a.Opened {
			n.metrics.opened.Inc()
		}
	}
	x.attempts = append(x.attempts, at)
	n.metrics.attempt(x.service, at, took)
	return a, err
}

// Times that an answer needs from a server to here: a few times the delay of
// the links within and between regions.
const (
	travelNear = 10 * time.Millisecond
	travelFar  = 80 * time.Millisecond
)

// travel is the part of a request's time that is kept for the way of the
// answer, so that a server that stops in time still answers in time.
func (n *Node) travel(s *server) time.Duration {
	if s.region == n.cfg.Region {
		return travelNear
	}
	return travelFar
}

// noteFailure changes the belief about a server after a failed exchange.
func (n *Node) noteFailure(x *exchange, s *server, err error) {
	var be *port.BackendError
	if !errors.As(err, &be) {
		return
	}
	now := time.Now()
	switch be.Code {
	case port.BackendConnect, port.BackendRefused, port.BackendBroken:
		// A connection that breaks says little: an answer may be lost now and
		// then, and a server that is gone refuses the next connection.
		gone := !be.Sent || errors.Is(err, syscall.ETIMEDOUT)
		if s.change(func(h *fleet.Health) bool { return gone && h.Unreachable(now) || !gone && h.Broken(now) }) {
			rec := s.rec()
			if gone {
				n.keeper.Report(rec.ID, x.crash(s, be), now)
			}
			n.log.WithFields(logrus.Fields{"server": rec.ID, "address": rec.Address}).WithError(err).Warn("Server unreachable.")
		}
	}
}

// crash returns the fingerprint of the request when the server that lost its
// answer now refuses connections: it crashed.
func (x *exchange) crash(s *server, be *port.BackendError) string {
	if x.lostAt[s] && be.Code == port.BackendRefused {
		return x.fingerprint(x.method)
	}
	return ""
}

// inquire finds out whether a server that lost the answer to a request that may
// not be repeated crashed under it. Others are repeated there, which tells.
func (n *Node) inquire(x *exchange, s *server) {
	print, rec := x.fingerprint(x.method), s.rec()
	path := x.view.config.Services[rec.Service].HealthPath
	n.background.Go(func() {
		ctx, cancel := context.WithTimeout(n.ctx, checkTimeout)
		defer cancel()
		n.metrics.checks.Inc()
		_, _, err := n.prober.Probe(ctx, rec.Address, path)
		var be *port.BackendError
		if !errors.As(err, &be) || be.Code != port.BackendRefused {
			return
		}
		now := time.Now()
		s.change(func(h *fleet.Health) bool { return h.Unreachable(now) })
		n.keeper.Report(rec.ID, print, now)
	})
}

// hopHeaders concern one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// forwardHeader returns the headers that are passed on.
func forwardHeader(h http.Header) http.Header {
	out := maps.Clone(h)
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// deliver passes a server's answer on.
func (n *Node) deliver(w http.ResponseWriter, x *exchange, a *port.ForwardAnswer) {
	h := w.Header()
	for name, values := range forwardHeader(a.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// Keeps net/http from guessing one.
		h["Content-Type"] = nil
	}
	if a.Rest == nil && !x.head {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	} else if size := a.Header.Get("Content-Length"); size != "" {
		h.Set("Content-Length", size)
	}
	w.WriteHeader(a.Status)
	_, err := w.Write(a.Body)
	if a.Rest != nil {
		if err == nil {
			_, err = io.Copy(w, a.Rest)
		}
		a.Rest.Close()
		if err != nil {
			n.finish(x, a.Status, "answer broken off: "+err.Error())
			// The caller must not take the part for the whole.
			panic(http.ErrAbortHandler)
		}
	}
	n.finish(x, a.Status, "answered")
}

// fail ends a request that no server has answered: with a server's own failure
// if there is one, with a promise that it has not run if that is sure, and else
// without.
func (n *Node) fail(w http.ResponseWriter, x *exchange, why string) {
	switch {
	case x.kept != nil:
		n.deliver(w, x, x.kept)
	case !x.mayHaveRun:
		n.refuse(w, x, http.StatusServiceUnavailable, why)
	case time.Now().After(x.deadline.Add(-minLeft)):
		n.refuse(w, x, http.StatusGatewayTimeout, why)
	default:
		n.refuse(w, x, http.StatusBadGateway, why)
	}
}

// Bounds of the time after which a refused caller may come again: long enough
// for a slot to come free, spread so that callers do not return together.
const (
	retryAfterLeast  = 100 * time.Millisecond
	retryAfterSpread = 400 * time.Millisecond
)

// refuse answers with a status of this gateway's own.
func (n *Node) refuse(w http.ResponseWriter, x *exchange, status int, why string) {
	if status == http.StatusServiceUnavailable {
		after := retryAfterLeast + x.refusal.wait/2 + rand.N(retryAfterSpread)
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
	n.finish(x, status, why)
}

// finish logs and counts the end of a request.
func (n *Node) finish(x *exchange, status int, why string) {
	took := time.Since(x.start)
	route := ""
	if x.route != nil {
		route = x.route.Name
	}
	n.metrics.request(route, status, took)
	fields := logrus.Fields{
		"request": x.meta.ID, "object": x.meta.Object, "route": route, "service": x.service, "status": status, "ms": took.Milliseconds(),
		"left_ms": x.meta.Left.Milliseconds(), "attempts": x.attempts,
	}
	if x.refusal.server != nil {
		fields["full_server"], fields["full_wait_ms"] = x.refusal.server.rec().ID, x.refusal.wait.Milliseconds()
	}
	if x.view.config != nil {
		fields["version"] = x.view.config.Version
	}
	if status >= 200 && status < 400 {
		n.log.WithFields(fields).Info(why)
		return
	}
	fields["view_age_ms"] = time.Since(n.keeper.Synced()).Milliseconds()
	n.log.WithFields(fields).Warn(why)
}
