// Package callerhttp serves callers over HTTP: look-ups and requests. Every
// failure is an api.Error in JSON.
package callerhttp

import (
	"encoding/json"
	"errors"
	"io"
	"log"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"cassiatray/api"
	"cassiatray/internal/port"
)

// Limits of a caller's connection.
const (
	// MaxHeaderBytes bounds a request's headers.
	MaxHeaderBytes = 32 << 10
	headerTimeout  = 5 * time.Second
	bodyTimeout    = 30 * time.Second
	idleTimeout    = 90 * time.Second
	// answerTimeout bounds how long a caller may take to read its answer.
	answerTimeout = 30 * time.Second
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
// its connection: net/http hides whether it gave a length as well, after which
// an intermediary may disagree on where it ended.
func (h *Handler) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.svc.Leaving() || len(r.TransferEncoding) > 0 {
			w.Header().Set("Connection", "close")
		}
		defer func() {
			if recover() != nil {
				h.fail(w, &api.Error{Code: api.CodeInternal, Message: "internal fault", Outcome: api.OutcomeUnknown})
			}
		}()
		next.ServeHTTP(w, r)
	})
}

// NewServer returns an HTTP server with the limits of a caller's connection.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: MaxHeaderBytes, DisableGeneralOptionsHandler: true,
		ErrorLog: log.New(io.Discard, "", 0),
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
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		h.refuse(w, r, bodyError(err, limit))
		return
	}
	req.Body = body
	answer, fail := h.svc.Do(r.Context(), req)
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerTimeout))
	if fail != nil {
		h.fail(w, fail)
		return
	}
	h.write(w, answer)
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

func bodyError(err error, limit int64) *api.Error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		msg := "body over " + strconv.FormatInt(limit, 10) + " bytes"
		return &api.Error{Code: api.CodeBodyTooLarge, Message: msg, Outcome: api.OutcomeNotRun}
	}
	return &api.Error{Code: api.CodeBadRequest, Message: "body cut short", Outcome: api.OutcomeNotRun}
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
