package callerhttp

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"cassiatray/api"
	"cassiatray/internal/port"
)

// statuses answers with the status that the path names.
type statuses struct{ fake }

func (*statuses) Do(_ context.Context, r *port.CallerRequest) (*port.CallerAnswer, *api.Error) {
	status, err := strconv.Atoi(strings.TrimPrefix(r.Path, "/stock/"))
	if err != nil {
		return nil, &api.Error{Code: api.CodeInternal}
	}
	return &port.CallerAnswer{Status: status, Header: http.Header{}, Body: []byte("body")}, nil
}

// Guards against an answer of another host that callers take for a success, or that is cut, since
// its status is none of a final answer.
func TestEveryStatusOfAnAnswer(t *testing.T) {
	address := serveService(t, &statuses{}, 8)
	for status := range 1010 {
		resp, body := exchange(t, address, fmt.Sprintf("GET /v1/request/orders/stock/%d HTTP/1.1\r\nHost: x\r\n\r\n", status))
		want, outcome, text := status, api.OutcomeDone, "body"
		switch {
		case status < http.StatusOK || status > 999:
			want, outcome, text = http.StatusBadGateway, api.OutcomeUnknown, string(api.CodeBackend)
		case status == http.StatusNoContent || status == http.StatusNotModified:
			text = ""
		}
		if resp.StatusCode != want || resp.Header.Get(api.HeaderOutcome) != string(outcome) || !strings.Contains(body, text) {
			t.Errorf("status %03d: %d %s %q", status, resp.StatusCode, resp.Header.Get(api.HeaderOutcome), body)
		}
	}
}
