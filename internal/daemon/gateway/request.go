package gateway

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"cassiatray/internal/adapter/bounded"
	"cassiatray/internal/core/membudget"
	"cassiatray/internal/core/placement"
	"cassiatray/internal/core/retry"
	"cassiatray/internal/core/routing"
	"cassiatray/internal/port"
)

// inflightRequest is the state of one caller's request from arrival to end.
type inflightRequest struct {
	start  time.Time
	caller port.CallerMeta
	view   *view
	method string
	// route is the one that the request matched when it arrived.
	route *routing.Route
	admission
	service    string
	objectHash uint64
	// isHead is set for HEAD requests, whose responses have no body.
	isHead bool
	// deadline is when the caller must have received a response. callerDeadline is the one of before
	// it was moved forward to the end of a stop; zero if it was not.
	deadline, callerDeadline time.Time
	body                     []byte
	unreadBody               io.Reader
	// hold counts what is held for the request; nil for nobody.
	hold *membudget.Holder
	// pairHolding protects hold while attempts run beside each other.
	pairHolding sync.Mutex
	// bodySize is the declared size of the body, -1 if it comes in chunks.
	bodySize int64
	// excluded holds the servers that this request is not sent to again,
	// secondChance those that failed it once and may be tried once more.
	excluded     map[*server]bool
	secondChance map[*server]bool
	attempts     []attempt
	permitAsks   []permitAsk
	// runs is how many servers may have run the request, maxRuns how many may. tries counts
	// the attempts that this gateway made at servers, of at most maxTries.
	runs, maxRuns, tries, maxTries int
	// withdrawn counts the attempts that were withdrawn before a byte was sent, of at most
	// maxWithdrawn.
	withdrawn int
	// print is the request's fingerprint, once it was asked for.
	print string
	// crashes is how many crashes were known to count against the request at its latest attempt, and
	// brokenOff how many of its attempts servers have broken off since.
	crashes, brokenOff int
	// trial is set while the request runs, or is to run elsewhere, as a trial.
	trial bool
	// completed is set once a server has run the request to completion.
	completed bool
	// mayHaveRun is set once a server may have started to run the request.
	mayHaveRun bool
	// counted is set once the request counts for the retry budget, repeat while the next
	// attempt draws on it: an earlier one may have reached a server.
	counted, repeat bool
	// bodyTouched is set once a part of unreadBody may have been read.
	bodyTouched bool
	// answeredBy is the server whose response is returned, and endReason why there is none.
	answeredBy, endReason string
	// rejection is how the last helper that rejected the request did so.
	rejection *rejection
	// coldUnseen is set if servers may have turned cold unnoticed when one was last chosen.
	coldUnseen bool
	// fullServer is the server that was picked but whose wait was too long.
	fullServer candidate
	// comeBackAfter is when a server will take requests again; zero if that is not known.
	comeBackAfter time.Duration
	// fallbackAnswer is a server's error response, returned to the caller if no
	// retry succeeds.
	fallbackAnswer *port.ForwardAnswer
}

// headerSize returns the size of the request line and headers on the wire, in bytes, which w knows
// or which is estimated with a space before each value.
func headerSize(w http.ResponseWriter, r *http.Request) int {
	size := estimatedHeaderSize(r)
	if sent, ok := w.(interface{ HeadSize() int }); ok {
		return min(size, sent.HeadSize())
	}
	return size
}

func estimatedHeaderSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host) + len("  HTTP/1.1\r\nHost: \r\n\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
		}
	}
	return size
}

// sticky reports whether the request names an object and its route sends all
// requests of an object to the same servers.
func (req *inflightRequest) sticky() bool { return req.caller.Object != "" && req.route.Sticky }

// newRequest returns the state of a request that arrives now.
func (n *Node) newRequest(r *http.Request) *inflightRequest {
	caller := n.dialect.Caller(r.Header)
	return &inflightRequest{
		start: time.Now(), caller: caller, method: r.Method, isHead: r.Method == http.MethodHead,
		admission: admission{host: r.Host, uri: requestTarget(r), callerKey: caller.Key},
		excluded:  map[*server]bool{}, secondChance: map[*server]bool{},
	}
}

// prepare sets the request's deadline, object hash and service.
func (n *Node) prepare(req *inflightRequest) {
	req.setAdmission()
	req.setDeadline()
	n.boundByStop(req)
	point := req.setObject()
	req.service = req.view.service(req.route, point)
}

// setAdmission has the request admitted as it was matched.
func (req *inflightRequest) setAdmission() {
	req.admittedBy, req.homeRoute = req.view.config, req.route
}

// setDeadline sets the request's deadline and how many servers may run it.
func (req *inflightRequest) setDeadline() {
	req.maxRuns = req.route.MaxAttempts
	req.maxTries = req.maxRuns + maxNotRunAttempts
	left := req.caller.Left
	if left <= 0 {
		left = defaultTimeout
	}
	if req.route.Timeout > 0 {
		left = min(left, req.route.Timeout)
	}
	req.deadline = req.start.Add(left)
}

// setObject sets the request's object hash, and returns the point by which a split route chooses
// a service for it.
func (req *inflightRequest) setObject() float64 {
	if req.sticky() {
		req.objectHash = placement.Object(req.route.Name, req.caller.Object)
		return placement.Point(req.objectHash)
	}
	req.objectHash = rand.Uint64()
	return rand.Float64()
}

// count counts the request for the service's retry budget: at the one gateway that sends it to
// servers, or rejects it.
func (n *Node) count(req *inflightRequest) {
	if req.counted || req.service == "" {
		return
	}
	req.counted = true
	n.withRetryBudget(req.service, func(b *retry.Window) bool { b.Request(req.start); return true })
}

// readBody buffers up to maxBufferedBody bytes of the body; a longer body is
// streamed from unreadBody. If the body is too large or cannot be read, readBody
// returns the response status and the reason.
func (n *Node) readBody(w http.ResponseWriter, r *http.Request, req *inflightRequest) (int, string) {
	if r.Body == nil || r.ContentLength == 0 {
		if !req.enterWorking() {
			return http.StatusServiceUnavailable, string(reasonNoMemory)
		}
		return 0, ""
	}
	limit := req.view.config.Limits.BodyBytes
	if limit > 0 && r.ContentLength > limit {
		return http.StatusRequestEntityTooLarge, "body over the limit"
	}
	body := io.Reader(r.Body)
	if limit > 0 {
		body = http.MaxBytesReader(w, r.Body, limit)
	}
	buffered, whole, refused, err := bounded.Read(body, r.ContentLength, maxBufferedBody, req.HoldBytes)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return http.StatusRequestEntityTooLarge, "body over the limit"
	case refused || !req.enterWorking():
		return http.StatusServiceUnavailable, string(reasonNoMemory)
	case errors.Is(err, os.ErrDeadlineExceeded) && n.waits.Err() != nil:
		return http.StatusServiceUnavailable, string(reasonStopping)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout, "body stalled"
	case err != nil:
		return http.StatusBadRequest, "body broken off: " + err.Error()
	}
	req.body, req.bodySize = buffered, r.ContentLength
	if !whole {
		req.hold.Force(passBuffer)
		req.enterPassing()
		req.unreadBody = callerBody{body, req}
	}
	return 0, ""
}

// excludeServer records that the request was sent to s, so that it is not sent
// there again. A server whose connection broke before it responded, or that
// rejected the request although it has free slots, may be tried once more: such
// servers fail only some of their requests, and s is probably warm for the object.
// So may one that is checked first, since nothing was sent. A withdrawn attempt excludes nothing:
// the next choice is made by what has changed.
func (req *inflightRequest) excludeServer(s *server, a *port.ForwardAnswer, err error) {
	if isWithdrawn(err) {
		return
	}
	var be *port.BackendError
	answerLost := errors.As(err, &be) && be.Code == port.BackendBroken && be.Sent
	refusedWithRoom := err == nil && a.Meta.NotRun && !a.Meta.OtherInstance && a.Meta.Load.HasRoom()
	notTried := errors.As(err, &be) && be.Code == port.BackendRestarted
	if (answerLost || refusedWithRoom || notTried) && !req.secondChance[s] {
		req.secondChance[s] = true
		return
	}
	req.excluded[s] = true
}

// callerBody is the unread part of a caller's body.
type callerBody struct {
	io.Reader
	req *inflightRequest
}

// Read implements io.Reader.
//
// Errors: *port.BodyError.
func (b callerBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		b.req.enterWorking()
	}
	if err != nil && !errors.Is(err, io.EOF) {
		err = &port.BodyError{Err: err}
	}
	return n, err
}

// endBrokenBody ends a request if its failure is that its body could not be read to its end.
func (n *Node) endBrokenBody(w http.ResponseWriter, req *inflightRequest, err error) bool {
	var body *port.BodyError
	var large *http.MaxBytesError
	switch {
	case !errors.As(err, &body):
		return false
	case errors.As(err, &large):
		n.writeError(w, req, http.StatusRequestEntityTooLarge, "body over the limit")
	case req.hold.Ended():
		n.recordEnd(req, 0, string(reasonNoMemory))
	case errors.Is(err, os.ErrDeadlineExceeded) && n.waits.Err() != nil:
		n.writeStopped(w, req)
	case errors.Is(err, os.ErrDeadlineExceeded):
		n.recordEnd(req, 0, "body stalled")
	default:
		n.recordEnd(req, 0, "caller left")
	}
	return true
}
