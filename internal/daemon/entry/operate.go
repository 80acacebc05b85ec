package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"cassiatray/api"
	"cassiatray/internal/core/membudget"
	"cassiatray/internal/core/operation"
)

const (
	// recordShare is the part of the memory limit for each kind of operation records.
	recordShare = 0.08
	// recordBytes is what a record without an answer holds, in bytes.
	recordBytes = 1 << 10
	// operationBytes is what an operation holds while it runs, beside bodies, in bytes: goroutine
	// and stack, and the state of its attempts.
	operationBytes = 16 << 10
)

// recordLimits limit each kind of operation records that a process with a memory limit keeps; 0 is
// no limit.
func recordLimits(memory int64) operation.Limits {
	out := operation.Limits{Window: 10 * time.Minute, Records: 1 << 16, Bytes: 64 << 20, Running: 1 << 14}
	if memory > 0 {
		out.Bytes = min(out.Bytes, int(recordShare*float64(memory)))
		out.Records = min(out.Records, out.Bytes/recordBytes)
	}
	return out
}

// operationRecords holds the records of at-most-once requests: the operations that this
// process owns, the attempts that it received from other hosts, and the results that it
// inherited from ended processes.
//
// mu guards the three; it is never held during I/O.
type operationRecords struct {
	mu        sync.Mutex
	own       *operation.Table[result]
	received  *operation.Guard
	inherited *operation.Inherited[result]
	// running counts the unfinished operations in own.
	running sync.WaitGroup
}

func newOperationRecords(limits operation.Limits) *operationRecords {
	return &operationRecords{
		own: operation.NewTable[result](limits), received: operation.NewGuard(limits),
		inherited: operation.NewInherited[result](limits),
	}
}

func (o *operationRecords) len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.own.Len()
}

func (o *operationRecords) begin(now time.Time, id api.OperationID) (*operation.Record[result], bool, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	rec, created, err := o.own.Begin(now, id.String(), id.Issued)
	if created {
		o.running.Add(1)
	}
	return rec, created, err
}

func (o *operationRecords) finish(rec *operation.Record[result], out result) {
	o.mu.Lock()
	o.own.Finish(rec, out, out.memorySize())
	o.mu.Unlock()
	o.running.Done()
}

func (o *operationRecords) seal(now time.Time, id api.OperationID, failure *api.Error) (*operation.Record[result], error) {
	out := result{failure: failure}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.own.Seal(now, id.String(), id.Issued, out, out.memorySize())
}

func (o *operationRecords) recordAttempt(now time.Time, id api.OperationID, attempt uint32) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.received.Take(now, id.String(), id.Issued, attempt)
}

// resultOverhead is the estimated memory of a result besides its headers, body and message,
// in bytes.
const resultOverhead = 512

func (r result) memorySize() int {
	out := resultOverhead
	if r.answer != nil {
		out += len(r.answer.Body)
		for name, values := range r.answer.Header {
			out += len(name)
			for _, v := range values {
				out += len(v)
			}
		}
	}
	if r.failure != nil {
		out += len(r.failure.Message)
	}
	return out
}

// runAtMostOnce runs an at-most-once request if this process owns its operation, and
// otherwise passes it to the owner.
func (n *Node) runAtMostOnce(ctx context.Context, r *request) result {
	id, err := api.ParseOperationID(r.received.OperationID)
	if err != nil {
		return result{failure: invalidOperationID(err)}
	}
	if n.owns(id) {
		return n.runOrJoin(ctx, r, id)
	}
	return n.askOwner(ctx, newDispatch(r), id)
}

// owns reports whether this process owns an operation: only the process that the ID names
// may run it.
func (n *Node) owns(id api.OperationID) bool {
	return id.Host == n.cfg.Host && id.Incarnation == n.incarnation
}

// runOrJoin runs an operation that this process owns, or waits for the result if the
// operation was started before.
func (n *Node) runOrJoin(ctx context.Context, r *request, id api.OperationID) result {
	hold := n.newHolder()
	if !hold.Grow(operationBytes, n.clock.Now()) {
		return n.sealOrAwait(ctx, id, overloaded())
	}
	rec, created, err := n.operations.begin(n.clock.Now(), id)
	if err != nil {
		hold.Release()
		return result{failure: operationError(err)}
	}
	if !created {
		hold.Release()
		return awaitRecord(ctx, rec)
	}
	// The body outlives a caller that leaves.
	hold.TakeOver(membudget.FromContext(ctx), int64(cap(r.received.Body)))
	go n.runOperation(ctx, r, rec, hold)
	return awaitRecord(ctx, rec)
}

// newHolder returns what counts the bytes of work that nobody's caller or peer holds up, so that it
// is not ended for others.
func (n *Node) newHolder() *membudget.Holder {
	hold := new(membudget.Holder)
	now := n.clock.Now()
	hold.Init(n.memory, now, nil)
	hold.Enter(membudget.Working, now)
	return hold
}

// runOperation runs an operation and stores its result. It continues until the deadline
// even if the caller disconnects, because other copies of the request may be waiting and a
// resend returns the stored result.
func (n *Node) runOperation(ctx context.Context, r *request, rec *operation.Record[result], hold *membudget.Holder) {
	defer hold.Release()
	out := result{failure: operationInterrupted()}
	defer func() { n.operations.finish(rec, out) }()
	deadline, _ := ctx.Deadline()
	ctx = membudget.NewContext(context.WithoutCancel(ctx), hold)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	out = n.runWithRetries(ctx, r)
}

func awaitRecord(ctx context.Context, rec *operation.Record[result]) result {
	select {
	case <-rec.Done:
		return rec.Result
	case <-ctx.Done():
	}
	// Both channels may be ready; a final result takes precedence.
	select {
	case <-rec.Done:
		return rec.Result
	default:
		return result{failure: contextError(ctx.Err())}
	}
}

// Refuse implements port.CallerService. It settles the operation of a request that cannot
// be run, so that no copy of the request runs after the caller has received a not-run
// outcome.
func (n *Node) Refuse(ctx context.Context, operationID string, failure *api.Error) *api.Error {
	if operationID == "" {
		return failure
	}
	id, err := api.ParseOperationID(operationID)
	if err != nil {
		return failure
	}
	ctx, cancel := context.WithTimeout(ctx, refuseTimeout)
	defer cancel()
	var out result
	if n.owns(id) {
		out = n.sealOrAwait(ctx, id, failure)
	} else {
		out = n.askOwner(ctx, newOutcomeQuery(operationID), id)
	}
	refused := *failure
	if out.failure == nil || out.failure.Outcome != api.OutcomeNotRun {
		refused.Outcome = api.OutcomeUnknown
	}
	return &refused
}

// refuseTimeout limits how long a refused request waits for the outcome of its operation.
const refuseTimeout = 2 * time.Second

// sealOrAwait returns the result of an operation that this process owns. If the operation
// was never started, it is sealed with failure as its result and can no longer run.
func (n *Node) sealOrAwait(ctx context.Context, id api.OperationID, failure *api.Error) result {
	rec, err := n.operations.seal(n.clock.Now(), id, failure)
	if err != nil {
		return result{failure: operationError(err)}
	}
	return awaitRecord(ctx, rec)
}

// operationError converts the refusal of an operation into the caller's error. The outcome
// is not-run only if the table is closed; in all other cases an earlier copy may have run.
func operationError(err error) *api.Error {
	out := &api.Error{Code: api.CodeExpired, Message: err.Error(), Outcome: api.OutcomeUnknown}
	var refused *operation.RefusedError
	if !errors.As(err, &refused) {
		return out
	}
	switch refused.Reason {
	case operation.Closed:
		out.Code, out.Outcome = api.CodeStopping, api.OutcomeNotRun
	case operation.Full:
		out.Code, out.RetryAfterMillis = api.CodeOverloaded, defaultRetryAfter.Milliseconds()
	case operation.Ahead:
		out.Code = api.CodeBadOperation
	case operation.Repeated:
		out.Code = api.CodeDuplicate
	}
	return out
}
