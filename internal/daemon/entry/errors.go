package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cassiatray/api"
	"cassiatray/internal/port"
)

// defaultRetryAfter is the retry delay sent to callers when no more specific one is known.
const defaultRetryAfter = time.Second

func notReady() *api.Error {
	return &api.Error{
		Code: api.CodeNotReady, Message: "no document in force yet", Outcome: api.OutcomeNotRun,
		RetryAfterMillis: defaultRetryAfter.Milliseconds(),
	}
}

func unknownService(name string) *api.Error {
	return &api.Error{Code: api.CodeUnknownService, Message: fmt.Sprintf("no service is named %q", name), Outcome: api.OutcomeNotRun}
}

func unknownClass(method, path string) *api.Error {
	return &api.Error{Code: api.CodeUnknownClass, Message: "no class takes " + method + " " + path, Outcome: api.OutcomeNotRun}
}

func operationIDRequired(class string) *api.Error {
	return &api.Error{
		Code: api.CodeOperationRequired, Message: "class " + class + " needs the header " + api.HeaderOperationID,
		Outcome: api.OutcomeNotRun,
	}
}

func overloaded() *api.Error {
	return &api.Error{
		Code: api.CodeOverloaded, Message: "every slot is taken", Outcome: api.OutcomeNotRun,
		RetryAfterMillis: defaultRetryAfter.Milliseconds(),
	}
}

// backendError converts a failed exchange with a backend server into the caller's error.
func backendError(err error) *api.Error {
	out := &api.Error{Code: api.CodeBackend, Message: err.Error(), Outcome: api.OutcomeUnknown}
	var be *port.BackendError
	if !errors.As(err, &be) {
		return out
	}
	if !be.Sent || be.NotRun {
		out.Outcome = api.OutcomeNotRun
	}
	switch be.Code {
	case port.BackendTimeout:
		out.Code = api.CodeDeadline
	case port.BackendCanceled:
		out.Code = api.CodeCanceled
	case port.BackendShed:
		out.Code = api.CodeOverloaded
		out.RetryAfterMillis = max(defaultRetryAfter, be.RetryAfter).Milliseconds()
	case port.BackendNoRoom:
		out.Code = api.CodeOverloaded
		out.RetryAfterMillis = defaultRetryAfter.Milliseconds()
	case port.BackendSuspect:
		out.Code = api.CodeSuspect
	}
	return out
}

// peerError converts a failed exchange with another entry host into the caller's error.
func peerError(err error) *api.Error {
	out := &api.Error{Code: api.CodePeer, Message: err.Error(), Outcome: api.OutcomeUnknown}
	var pe *port.PeerError
	if !errors.As(err, &pe) {
		return out
	}
	if pe.NoEffect() {
		out.Outcome = api.OutcomeNotRun
	}
	if pe.Code == port.PeerTimeout {
		out.Code = api.CodeDeadline
	}
	return out
}

func contextError(err error) *api.Error {
	if errors.Is(err, context.DeadlineExceeded) {
		return &api.Error{Code: api.CodeDeadline, Message: "deadline passed", Outcome: api.OutcomeUnknown}
	}
	return &api.Error{Code: api.CodeCanceled, Message: "caller gave up", Outcome: api.OutcomeUnknown}
}

func invalidOperationID(err error) *api.Error {
	return &api.Error{Code: api.CodeBadOperation, Message: err.Error(), Outcome: api.OutcomeNotRun}
}

// operationInterrupted is the result of an operation whose goroutine ended without
// producing one.
func operationInterrupted() *api.Error {
	return &api.Error{Code: api.CodeInternal, Message: "interrupted", Outcome: api.OutcomeUnknown}
}

func ownerGone(id api.OperationID) *api.Error {
	msg := "the process that may run operation " + id.String() + " cannot be reached and left no record here"
	return &api.Error{Code: api.CodeOwnerGone, Message: msg, Outcome: api.OutcomeUnknown}
}

func ownerUnreachable(id api.OperationID, err error) *api.Error {
	msg := "the process that may run operation " + id.String() + " did not answer: " + err.Error()
	return &api.Error{
		Code: api.CodeOwnerUnreachable, Message: msg, Outcome: api.OutcomeUnknown,
		RetryAfterMillis: defaultRetryAfter.Milliseconds(),
	}
}

// operationNeverRan is the result of an operation that has not started and can no longer
// start.
func operationNeverRan(id api.OperationID) *api.Error {
	msg := "operation " + id.String() + " never ran"
	return &api.Error{Code: api.CodeStopping, Message: msg, Outcome: api.OutcomeNotRun}
}
