// Package callerhttp serves callers over HTTP: look-ups and requests. Every
// failure is an api.Error in JSON.
package callerhttp

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"cassiatray/api"
	"cassiatray/internal/adapter/bounded"
	"cassiatray/internal/adapter/callerconn"
	"cassiatray/internal/core/membudget"
	"cassiatray/internal/port"
)

// Limits of a caller's connection.
const (
	// MaxHeaderBytes bounds a request's headers.
	MaxHeaderBytes = 32 << 10
	headerTimeout  = 5 * time.Second
	bodyTimeout    = 30 * time.Second
	idleTimeout    = 90 * time.Second
	// memoryRetryAfter is when a caller may come back for whose request there was no memory.
	memoryRetryAfter = time.Second
)

// Handler serves callers from a port.CallerService.
type Handler struct {
	svc  port.CallerService
	host string
}

// NewHandler returns the routes of the caller address of an entry host.
func NewHandler(svc port.CallerService, host string) http.Handler {
	h := &Handler{svc: svc, host: host}
	// Paths are passed on as they came: cleaning would answer with redirects.
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.HandleFunc("/v1/lookup/{service}", h.lookup).Methods(http.MethodGet)
	r.PathPrefix("/v1/request/{service}/").HandlerFunc(h.request)
	unknown := func(w http.ResponseWriter, r *http.Request) {
		h.fail(w, &api.Error{Code: api.CodeUnknownPath, Message: "no such path: " + r.URL.Path, Outcome: api.OutcomeNotRun})
	}
	r.NotFoundHandler = http.HandlerFunc(unknown)
	r.MethodNotAllowedHandler = http.HandlerFunc(unknown)
	return h.guard(r)
}

// guard answers a panic with a typed failure, and tells callers not to reuse
// their connections once this host is leaving. A chunked request is the last of
// its connection: net/http's parser hides whether it gave a length as well, after
// which an intermediary may disagree on where it ended.
func (h *Handler) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.svc.Leaving() {
			w.Header().Set("Connection", "close")
		}
		if len(r.TransferEncoding) > 0 {
			r.Close = true
		}
		defer func() {
			if recover() != nil {
				h.fail(w, &api.Error{Code: api.CodeInternal, Message: "internal fault", Outcome: api.OutcomeUnknown})
			}
		}()
		next.ServeHTTP(w, r)
	})
}

// NewServer returns an HTTP server with the limits of a caller's connection. What callers hold
// counts for budget; they have at most conns connections, 0 for MaxConnections.
func NewServer(h http.Handler, budget *membudget.Budget, conns int) *callerconn.Server {
	limits := callerconn.Limits{
		HeadBytes: MaxHeaderBytes, HeadLines: MaxHeaderBytes / callerconn.MinLine,
		HeadTimeout: headerTimeout, BodyTimeout: bodyTimeout, IdleTimeout: idleTimeout,
	}
	if conns <= 0 {
		conns = MaxConnections
	}
	return &callerconn.Server{
		Handler: h, Budget: budget, MaxConns: min(conns, MaxConnections), PassOptions: true,
		Independent:   func(*http.Request) bool { return false },
		Limits:        func() callerconn.Limits { return limits },
		RefusalHeader: http.Header{api.HeaderOutcome: {string(api.OutcomeNotRun)}},
		RefusalBody:   refusalBody,
	}
}

// refusalBody is the failure for what is refused before it reaches the handler.
func refusalBody(status int, err error) (contentType string, body []byte) {
	e := badRequest(err.Error())
	switch {
	case status == http.StatusRequestHeaderFieldsTooLarge:
		e.Code = api.CodeHeaderTooLarge
	case errors.Is(err, callerconn.ErrConnections):
		e = tooManyConnections(err.Error())
	case status == http.StatusServiceUnavailable:
		e = noMemory()
	}
	text, err := json.Marshal(e)
	if err != nil {
		// The header names the outcome.
		return "text/plain", nil
	}
	return "application/json", text
}

// holderOf returns what counts the bytes of the request that w answers; nil if nothing does.
func holderOf(w http.ResponseWriter) *membudget.Holder {
	if h, ok := w.(interface{ Hold() *membudget.Holder }); ok {
		return h.Hold()
	}
	return nil
}

// giveUpBody reads no more of a request's body. Its answer is the connection's last.
func giveUpBody(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	if g, ok := w.(interface{ GiveUpBody() }); ok {
		g.GiveUpBody()
	}
}

func (h *Handler) lookup(w http.ResponseWriter, r *http.Request) {
	text := r.URL.Query().Get("client")
	client, err := netip.ParseAddr(text)
	if err != nil {
		h.fail(w, &api.Error{Code: api.CodeBadClient, Message: "client is not an IP address: " + strconv.Quote(text), Outcome: api.OutcomeNotRun})
		return
	}
	answer, fail := h.svc.Lookup(mux.Vars(r)["service"], client)
	if fail != nil {
		h.fail(w, fail)
		return
	}
	seconds := answer.TTLMillis / time.Second.Milliseconds()
	w.Header().Set("Cache-Control", "max-age="+strconv.FormatInt(seconds, 10))
	h.writeJSON(w, http.StatusOK, answer)
}

func (h *Handler) request(w http.ResponseWriter, r *http.Request) {
	req, fail := newRequest(r)
	if fail != nil {
		h.refuse(w, r, fail)
		return
	}
	limit, fail := h.svc.Limit(req.Service, req.Method, req.Path)
	if fail != nil {
		h.refuse(w, r, fail)
		return
	}
	hold := holderOf(w)
	head := hold.Bytes()
	if req.Body, fail = readBody(w, r, limit, hold); fail != nil {
		giveUpBody(w)
		h.refuse(w, r, fail)
		return
	}
	answer, fail := h.svc.Do(membudget.NewContext(r.Context(), hold), req)
	req.Body = nil
	if fail != nil {
		hold.Resize(head)
		h.fail(w, fail)
		return
	}
	hold.Resize(head + int64(len(answer.Body)))
	// The rest may have to make room for an answer that was kept for another copy.
	hold.Grow(0, time.Now())
	hold.Enter(membudget.Passing, time.Now())
	h.write(w, answer)
}

// readBody reads a request's body whole, for as long as there is memory for it.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, hold *membudget.Holder) ([]byte, *api.Error) {
	if r.ContentLength > limit {
		return nil, bodyTooLarge(limit)
	}
	grow := func(bytes int) bool {
		if bytes < 0 {
			hold.Shrink(-int64(bytes))
			return true
		}
		return hold.Grow(int64(bytes), time.Now())
	}
	// One byte more than allowed is asked for, so that the end of the largest body is read.
	body, _, refused, err := bounded.Read(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, int(limit)+1, grow)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, bodyTooLarge(limit)
	case refused || !hold.Enter(membudget.Working, time.Now()):
		return nil, noMemory()
	case err != nil:
		return nil, badRequest("body cut short")
	}
	return body, nil
}

// noMemory refuses a request for which there is no memory.
func noMemory() *api.Error {
	return &api.Error{
		Code: api.CodeOverloaded, Message: "no memory for the request", Outcome: api.OutcomeNotRun,
		RetryAfterMillis: memoryRetryAfter.Milliseconds(),
	}
}

// refuse answers a request that is not run. Other copies of its operation may
// be on their way to other hosts, so its outcome is settled first.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, fail *api.Error) {
	if ids := r.Header.Values(api.HeaderOperationID); len(ids) == 1 {
		fail = h.svc.Refuse(r.Context(), ids[0], fail)
	}
	h.fail(w, fail)
}

// hopByHop are headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

func forwardable(in http.Header) http.Header {
	out := in.Clone()
	for _, list := range in.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

func bodyTooLarge(limit int64) *api.Error {
	msg := "body over " + strconv.FormatInt(limit, 10) + " bytes"
	return &api.Error{Code: api.CodeBodyTooLarge, Message: msg, Outcome: api.OutcomeNotRun}
}

func (h *Handler) write(w http.ResponseWriter, a *port.CallerAnswer) {
	if !port.IsFinalStatus(a.Status) {
		// Answers come from hosts of other builds, too. net/http follows an interim status by 200
		// on its own, which callers would take for a success.
		err := &port.StatusError{Status: a.Status}
		h.fail(w, &api.Error{Code: api.CodeBackend, Message: err.Error(), Outcome: api.OutcomeUnknown})
		return
	}
	out := w.Header()
	for name, values := range a.Header {
		out[name] = values
	}
	out.Set(api.HeaderOutcome, string(api.OutcomeDone))
	out.Set(api.HeaderHost, h.host)
	out.Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	w.Write(a.Body)
}

// statusOf is the HTTP status of each code.
var statusOf = map[api.Code]int{
	api.CodeUnknownPath:       http.StatusNotFound,
	api.CodeUnknownService:    http.StatusNotFound,
	api.CodeUnknownClass:      http.StatusNotFound,
	api.CodeBadClient:         http.StatusBadRequest,
	api.CodeBadRequest:        http.StatusBadRequest,
	api.CodeBodyTooLarge:      http.StatusRequestEntityTooLarge,
	api.CodeOperationRequired: http.StatusBadRequest,
	api.CodeBadOperation:      http.StatusBadRequest,
	api.CodeNotReady:          http.StatusServiceUnavailable,
	api.CodeOverloaded:        http.StatusServiceUnavailable,
	api.CodeNoServer:          http.StatusServiceUnavailable,
	api.CodeStopping:          http.StatusServiceUnavailable,
	api.CodeDeadline:          http.StatusGatewayTimeout,
	api.CodeCanceled:          http.StatusGatewayTimeout,
	api.CodeBackend:           http.StatusBadGateway,
	api.CodePeer:              http.StatusBadGateway,
	api.CodeInternal:          http.StatusInternalServerError,
	api.CodeHeaderTooLarge:    http.StatusRequestHeaderFieldsTooLarge,
	api.CodeOwnerGone:         http.StatusBadGateway,
	api.CodeOwnerUnreachable:  http.StatusBadGateway,
	api.CodeExpired:           http.StatusGone,
	api.CodeDuplicate:         http.StatusConflict,
	api.CodeSuspect:           http.StatusUnprocessableEntity,

	api.CodeTooManyConnections: http.StatusServiceUnavailable,
}

func (h *Handler) fail(w http.ResponseWriter, e *api.Error) {
	status, ok := statusOf[e.Code]
	if !ok {
		status = http.StatusInternalServerError
	}
	if e.RetryAfterMillis > 0 {
		seconds := (e.RetryAfterMillis + 999) / 1000
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.Header().Set(api.HeaderOutcome, string(e.Outcome))
	w.Header().Set(api.HeaderHost, h.host)
	h.writeJSON(w, status, e)
}

func (h *Handler) writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(value)
}
