package entry

import (
	"net/http"

	"cassiatray/api"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

func headerMessages(h http.Header) []*peerv1.Header {
	var out []*peerv1.Header
	for name, values := range h {
		for _, v := range values {
			out = append(out, &peerv1.Header{Name: name, Value: v})
		}
	}
	return out
}

func headersOf(list []*peerv1.Header) http.Header {
	out := make(http.Header, len(list))
	for _, h := range list {
		out.Add(h.Name, h.Value)
	}
	return out
}

var outcomeMessages = map[api.Outcome]peerv1.Outcome{
	api.OutcomeDone:    peerv1.Outcome_OUTCOME_DONE,
	api.OutcomeNotRun:  peerv1.Outcome_OUTCOME_NOT_RUN,
	api.OutcomeUnknown: peerv1.Outcome_OUTCOME_UNKNOWN,
}

func resultMessage(r result) *peerv1.DispatchResult {
	if r.fail != nil {
		return &peerv1.DispatchResult{
			Outcome: outcomeMessages[r.fail.Outcome],
			Failure: &peerv1.Failure{Code: string(r.fail.Code), Message: r.fail.Message, RetryAfterMillis: r.fail.RetryAfterMillis},
		}
	}
	a := r.answer
	return &peerv1.DispatchResult{
		Outcome: peerv1.Outcome_OUTCOME_DONE, Status: int32(a.Status), Headers: headerMessages(a.Header),
		Body: a.Body, Server: a.Server, Host: a.Host,
	}
}

// resultOf reads another host's result. A message that is neither a whole
// answer nor a failure leaves the outcome unknown.
func resultOf(m *peerv1.DispatchResult) result {
	if f := m.GetFailure(); f != nil {
		fail := &api.Error{Code: api.Code(f.Code), Message: f.Message, Outcome: api.OutcomeUnknown, RetryAfterMillis: f.RetryAfterMillis}
		if m.Outcome == peerv1.Outcome_OUTCOME_NOT_RUN {
			fail.Outcome = api.OutcomeNotRun
		}
		return result{fail: fail}
	}
	if m.GetOutcome() != peerv1.Outcome_OUTCOME_DONE || m.GetStatus() == 0 {
		return result{fail: &api.Error{Code: api.CodePeer, Message: "malformed result", Outcome: api.OutcomeUnknown}}
	}
	return result{answer: &port.CallerAnswer{
		Status: int(m.Status), Header: headersOf(m.Headers), Body: m.Body, Server: m.Server, Host: m.Host,
	}}
}
