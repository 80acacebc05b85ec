package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"cassiatray/api"
	"cassiatray/internal/adapter/httpclient"
)

// kind says how far a failed copy of a request got.
type kind int

const (
	// unsent means that no connection was made.
	unsent kind = iota
	// broken means that the host may have received it.
	broken
	// answered means that the host gave a typed failure.
	answered
)

// failure is a copy of a request that got no answer.
type failure struct {
	*api.Error
	kind kind
}

func noHost() *failure {
	return &failure{Error: &api.Error{Code: api.CodeNoServer, Message: "no entry host named", Outcome: api.OutcomeNotRun}}
}

// maxAnswer bounds an answer's body, in bytes. It is above what any class may
// allow.
const maxAnswer = 64 << 20

// SizeError is an answer over its limit, in bytes.
type SizeError struct{ Limit int64 }

func (e *SizeError) Error() string { return fmt.Sprintf("answer over %d bytes", e.Limit) }

// readAll reads the body of an entry host's answer.
func readAll(resp *http.Response, limit int64) ([]byte, error) {
	defer resp.Body.Close()
	if err := httpclient.CheckResponse(resp); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = &SizeError{Limit: limit}
	}
	return body, err
}

func decodeError(resp *http.Response, body []byte) *api.Error {
	out := new(api.Error)
	if json.Unmarshal(body, out) != nil || out.Code == "" {
		return &api.Error{Code: api.CodeInternal, Message: resp.Status, Outcome: api.OutcomeUnknown}
	}
	return out
}

// send sends one copy of a request to one host.
func (c *Client) send(ctx context.Context, address string, r *Request, id string) (*Answer, *failure) {
	req, err := c.newRequest(ctx, address, r, id)
	if err != nil {
		return nil, &failure{Error: &api.Error{Code: api.CodeBadRequest, Message: err.Error(), Outcome: api.OutcomeNotRun}, kind: answered}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, sendFailure(err)
	}
	body, err := readAll(resp, maxAnswer)
	if err != nil {
		return nil, &failure{Error: &api.Error{Code: api.CodePeer, Message: err.Error(), Outcome: api.OutcomeUnknown}, kind: broken}
	}
	if resp.Header.Get(api.HeaderOutcome) != string(api.OutcomeDone) {
		return nil, &failure{Error: decodeError(resp, body), kind: answered}
	}
	return &Answer{
		Status: resp.StatusCode, Header: resp.Header, Body: body, Host: resp.Header.Get(api.HeaderHost), OperationID: id,
	}, nil
}

func (c *Client) newRequest(ctx context.Context, address string, r *Request, id string) (*http.Request, error) {
	target := "http://" + address + "/v1/request/" + url.PathEscape(r.Service) + r.Path
	req, err := http.NewRequestWithContext(ctx, r.Method, target, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	if r.Header != nil {
		req.Header = r.Header.Clone()
	}
	if id != "" {
		req.Header.Set(api.HeaderOperationID, id)
		sendOnce(req)
	}
	if c.cfg.Address.IsValid() {
		req.Header.Set(api.HeaderClient, c.cfg.Address.String())
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(api.HeaderTimeout, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	return req, nil
}

// sendOnce keeps the transport from sending a request again by itself once a part of it may have
// left: what a copy meets says nothing of the one before. Copies are sent by Client.resend.
func sendOnce(req *http.Request) {
	req.GetBody = nil
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
	default:
		if req.Header["Idempotency-Key"] == nil && req.Header["X-Idempotency-Key"] == nil {
			return
		}
	}
	// The transport takes a request without a body for one that it can send again.
	if req.Body == http.NoBody {
		req.Body = io.NopCloser(bytes.NewReader(nil))
	}
}

func sendFailure(err error) *failure {
	out := &failure{Error: &api.Error{Code: api.CodePeer, Message: err.Error(), Outcome: api.OutcomeUnknown}, kind: broken}
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		out.Outcome, out.kind = api.OutcomeNotRun, unsent
	case errors.Is(err, context.DeadlineExceeded):
		out.Code = api.CodeDeadline
	case errors.Is(err, context.Canceled):
		out.Code = api.CodeCanceled
	}
	return out
}
