// Package api holds the types of the HTTP interface that callers use.
//
//	GET /v1/lookup/{service}?client=ADDRESS   which entry hosts to use
//	ANY /v1/request/{service}/{path}          a request to a service
//
// Every failure is an Error in JSON that says whether the request was run.
package api

import "fmt"

// Headers of requests and answers.
const (
	// HeaderOperationID carries an OperationID in requests that run at most once.
	HeaderOperationID = "Cassiatray-Operation-Id"
	// HeaderOutcome is the Outcome of a request, in every answer.
	HeaderOutcome = "Cassiatray-Outcome"
	// HeaderTimeout is the time the caller waits, in milliseconds. The class's
	// deadline applies when it is shorter or absent.
	HeaderTimeout = "Cassiatray-Timeout-Ms"
	// HeaderClient is the address that the caller's look-ups are made for. It
	// tells which region the request belongs to.
	HeaderClient = "Cassiatray-Client"
	// HeaderHost names the entry host that answered.
	HeaderHost = "Cassiatray-Host"
)

// Outcome says what became of a request.
type Outcome string

// Values of Outcome.
const (
	// OutcomeDone means that the request ran and this is its whole answer.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that the request was not run and will not be.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = "unknown"
)

// Lookup answers a look-up.
type Lookup struct {
	Service string `json:"service"`
	// Block is the client block that matched; empty when none did.
	Block string `json:"block,omitempty"`
	// Sequence is the document sequence the answer was made from.
	Sequence uint64 `json:"sequence"`
	// TTLMillis is how long the answer may be used, in milliseconds.
	TTLMillis int64 `json:"ttlMillis"`
	// Hosts are in the order to try them.
	Hosts []Host `json:"hosts"`
}

// Host is an entry host in a look-up answer.
type Host struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	// Incarnation identifies the running process. It is a decimal number in
	// text, since it does not fit a JSON number.
	Incarnation string `json:"incarnation"`
	// Operation begins every operation ID that this process may run: the caller
	// appends ":" and 16 random hexadecimal digits.
	Operation string `json:"operation"`
}

// Error is the JSON body of every failure.
type Error struct {
	Code    Code    `json:"code"`
	Message string  `json:"message"`
	Outcome Outcome `json:"outcome"`
	// RetryAfterMillis is how long to wait before trying again; zero when a
	// new try has no use.
	RetryAfterMillis int64 `json:"retryAfterMillis,omitempty"`
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %s (%s)", e.Code, e.Message, e.Outcome) }

// Code classifies failures.
type Code string

// Codes of Error.
const (
	CodeUnknownPath       Code = "unknown-path"
	CodeUnknownService    Code = "unknown-service"
	CodeUnknownClass      Code = "unknown-class"
	CodeBadClient         Code = "bad-client"
	CodeBadRequest        Code = "bad-request"
	CodeBodyTooLarge      Code = "body-too-large"
	CodeHeaderTooLarge    Code = "header-too-large"
	CodeOperationRequired Code = "operation-id-required"
	CodeBadOperation      Code = "bad-operation-id"
	CodeNotReady          Code = "not-ready"
	CodeOverloaded        Code = "overloaded"
	CodeNoServer          Code = "no-server"
	CodeDeadline          Code = "deadline-exceeded"
	CodeCanceled          Code = "canceled"
	CodeBackend           Code = "backend-failed"
	CodePeer              Code = "peer-failed"
	CodeStopping          Code = "stopping"
	CodeInternal          Code = "internal"
	// CodeOwnerGone means that the process that may run the operation has ended,
	// was replaced or cannot be reached, and left no record of the operation.
	// This copy of the request was not passed on: a caller that never sent
	// another copy may begin anew with a new ID.
	CodeOwnerGone Code = "owner-gone"
	// CodeOwnerUnreachable means that the process that may run the operation
	// did not answer. The same ID may be sent again, to any host.
	CodeOwnerUnreachable Code = "owner-unreachable"
	// CodeExpired means that the operation ID is older than the records kept.
	CodeExpired Code = "operation-expired"
	// CodeDuplicate means that another entry host sent the operation here
	// before; it is not run again.
	CodeDuplicate Code = "duplicate-dispatch"
	// CodeSuspect means that the request was refused because servers that ran
	// it crashed.
	CodeSuspect Code = "suspect"
	// CodeTooManyConnections means that one source holds too many connections.
	CodeTooManyConnections Code = "too-many-connections"
)
