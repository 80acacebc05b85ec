package entry

import (
	"net/http"

	"cassiatray/api"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

func headersToProto(h http.Header) []*peerv1.Header {
	var out []*peerv1.Header
	for name, values := range h {
		for _, v := range values {
			out = append(out, &peerv1.Header{Name: name, Value: v})
		}
	}
	return out
}

func headersFromProto(list []*peerv1.Header) http.Header {
	out := make(http.Header, len(list))
	for _, h := range list {
		out.Add(h.Name, h.Value)
	}
	return out
}

var outcomeToProto = map[api.Outcome]peerv1.Outcome{
	api.OutcomeDone:    peerv1.Outcome_OUTCOME_DONE,
	api.OutcomeNotRun:  peerv1.Outcome_OUTCOME_NOT_RUN,
	api.OutcomeUnknown: peerv1.Outcome_OUTCOME_UNKNOWN,
}

func resultToProto(r result) *peerv1.DispatchResult {
	if r.failure != nil {
		return &peerv1.DispatchResult{
			Outcome: outcomeToProto[r.failure.Outcome],
			Failure: &peerv1.Failure{Code: string(r.failure.Code), Message: r.failure.Message, RetryAfterMillis: r.failure.RetryAfterMillis},
		}
	}
	a := r.answer
	return &peerv1.DispatchResult{
		Outcome: peerv1.Outcome_OUTCOME_DONE, Status: int32(a.Status), Headers: headersToProto(a.Header),
		Body: a.Body, Server: a.Server, Host: a.Host,
	}
}

// resultFromProto converts the result received from another host. A message that is neither
// a complete answer nor a failure gives an error with an unknown outcome.
func resultFromProto(m *peerv1.DispatchResult) result {
	if f := m.GetFailure(); f != nil {
		failure := &api.Error{Code: api.Code(f.Code), Message: f.Message, Outcome: api.OutcomeUnknown, RetryAfterMillis: f.RetryAfterMillis}
		if m.Outcome == peerv1.Outcome_OUTCOME_NOT_RUN {
			failure.Outcome = api.OutcomeNotRun
		}
		return result{failure: failure}
	}
	if m.GetOutcome() != peerv1.Outcome_OUTCOME_DONE || m.GetStatus() == 0 {
		return result{failure: &api.Error{Code: api.CodePeer, Message: "malformed result", Outcome: api.OutcomeUnknown}}
	}
	return result{answer: &port.CallerAnswer{
		Status: int(m.Status), Header: headersFromProto(m.Headers), Body: m.Body, Server: m.Server, Host: m.Host,
	}}
}
