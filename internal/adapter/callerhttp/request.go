package callerhttp

import (
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"cassiatray/api"
	"cassiatray/internal/port"
)

func badRequest(message string) *api.Error {
	return &api.Error{Code: api.CodeBadRequest, Message: message, Outcome: api.OutcomeNotRun}
}

// newRequest reads all of a request but its body.
func newRequest(r *http.Request) (*port.CallerRequest, *api.Error) {
	service := mux.Vars(r)["service"]
	path, ok := canonicalPath(strings.TrimPrefix(r.URL.EscapedPath(), "/v1/request/"+service))
	if !ok {
		return nil, badRequest("the path has dot segments, encoded slashes or control characters")
	}
	id, fail := operationID(r.Header)
	if fail != nil {
		return nil, fail
	}
	timeout, fail := callerTimeout(r.Header)
	if fail != nil {
		return nil, fail
	}
	client, fail := callerClient(r.Header)
	if fail != nil {
		return nil, fail
	}
	return &port.CallerRequest{
		Service: service, Method: r.Method, Path: path, RawQuery: r.URL.RawQuery,
		Header: forwardable(r.Header), OperationID: id, Timeout: timeout, Client: client,
	}, nil
}

// canonicalPath returns the one spelling of a path, so that the class it is
// matched to here is the class that the server sees. It refuses paths that a
// server may resolve to others.
func canonicalPath(escaped string) (string, bool) {
	path, err := url.PathUnescape(escaped)
	if err != nil || strings.Count(path, "/") != strings.Count(escaped, "/") {
		return "", false
	}
	if strings.ContainsFunc(path, func(c rune) bool { return c < ' ' || c == 0x7f || c == '\\' }) {
		return "", false
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return "", false
		}
	}
	return (&url.URL{Path: path}).EscapedPath(), true
}

func operationID(h http.Header) (string, *api.Error) {
	ids := h.Values(api.HeaderOperationID)
	if len(ids) > 1 {
		msg := "the header " + api.HeaderOperationID + " is given more than once"
		return "", &api.Error{Code: api.CodeBadOperation, Message: msg, Outcome: api.OutcomeNotRun}
	}
	return h.Get(api.HeaderOperationID), nil
}

func callerClient(h http.Header) (netip.Addr, *api.Error) {
	text := h.Get(api.HeaderClient)
	if text == "" {
		return netip.Addr{}, nil
	}
	client, err := netip.ParseAddr(text)
	if err != nil {
		return netip.Addr{}, badRequest("the header " + api.HeaderClient + " is not an IP address")
	}
	return client, nil
}

func callerTimeout(h http.Header) (time.Duration, *api.Error) {
	text := h.Get(api.HeaderTimeout)
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 || len(h.Values(api.HeaderTimeout)) > 1 {
		return 0, badRequest("the header " + api.HeaderTimeout + " is not one number of milliseconds above 0")
	}
	return time.Duration(ms) * time.Millisecond, nil
}
