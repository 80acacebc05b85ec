package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"cassiatray/api"
	"cassiatray/internal/core/operation"
)

// recordLimits bound the records of each kind that a process keeps.
var recordLimits = operation.Limits{
	Window: 10 * time.Minute, Records: 1 << 16, Bytes: 64 << 20, Running: 1 << 14,
}

// operations are the records of at-most-once requests: those this process may
// run, the attempts it took from others, and those it inherited.
//
// mu guards the three; it is never held during I/O.
type operations struct {
	mu        sync.Mutex
	own       *operation.Table[result]
	guard     *operation.Guard
	inherited *operation.Inherited[result]
	// running counts the operations of own in progress.
	running sync.WaitGroup
}

func newOperations() *operations {
	return &operations{
		own: operation.NewTable[result](recordLimits), guard: operation.NewGuard(recordLimits),
		inherited: operation.NewInherited[result](recordLimits),
	}
}

func (o *operations) len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.own.Len()
}

func (o *operations) begin(now time.Time, id api.OperationID) (*operation.Record[result], bool, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	rec, mine, err := o.own.Begin(now, id.String(), id.Issued)
	if mine {
		o.running.Add(1)
	}
	return rec, mine, err
}

func (o *operations) finish(rec *operation.Record[result], out result) {
	o.mu.Lock()
	o.own.Finish(rec, out, out.size())
	o.mu.Unlock()
	o.running.Done()
}

func (o *operations) seal(now time.Time, id api.OperationID, fail *api.Error) (*operation.Record[result], error) {
	out := result{fail: fail}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.own.Seal(now, id.String(), id.Issued, out, out.size())
}

func (o *operations) take(now time.Time, id api.OperationID, attempt uint32) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.guard.Take(now, id.String(), id.Issued, attempt)
}

// resultSize is what a result takes besides its texts, in bytes.
const resultSize = 512

func (r result) size() int {
	out := resultSize
	if r.answer != nil {
		out += len(r.answer.Body)
		for name, values := range r.answer.Header {
			out += len(name)
			for _, v := range values {
				out += len(v)
			}
		}
	}
	if r.fail != nil {
		out += len(r.fail.Message)
	}
	return out
}

// operate runs an at-most-once request if this process is the one that may,
// and passes it to that process otherwise.
func (n *Node) operate(ctx context.Context, x *exchange) result {
	id, err := api.ParseOperationID(x.req.OperationID)
	if err != nil {
		return result{fail: badOperation(err)}
	}
	if n.owns(id) {
		return n.own(ctx, x, id)
	}
	return n.consult(ctx, dispatchMessage(x), id)
}

// owns reports whether this process is the one that may run an operation.
func (n *Node) owns(id api.OperationID) bool {
	return id.Host == n.cfg.Host && id.Incarnation == n.incarnation
}

// own runs an operation of this process, or joins it when it was begun before.
func (n *Node) own(ctx context.Context, x *exchange, id api.OperationID) result {
	rec, mine, err := n.operations.begin(n.clock.Now(), id)
	if err != nil {
		return result{fail: refusedOperation(err)}
	}
	if mine {
		go n.perform(ctx, x, rec)
	}
	return await(ctx, rec)
}

// perform runs a recorded operation. It goes on to its deadline when its
// caller leaves: others may have joined it, and a resend finds the answer.
func (n *Node) perform(ctx context.Context, x *exchange, rec *operation.Record[result]) {
	out := result{fail: interrupted()}
	defer func() { n.operations.finish(rec, out) }()
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	out = n.attempts(ctx, x)
}

func await(ctx context.Context, rec *operation.Record[result]) result {
	select {
	case <-rec.Done:
		return rec.Result
	case <-ctx.Done():
	}
	// Both may be ready: a final result goes first.
	select {
	case <-rec.Done:
		return rec.Result
	default:
		return result{fail: contextError(ctx.Err())}
	}
}

// Refuse implements port.CallerService: it settles the operation of a request
// that cannot be run, so that no other copy of it runs after its caller was
// told that it was not.
func (n *Node) Refuse(ctx context.Context, operationID string, fail *api.Error) *api.Error {
	if operationID == "" {
		return fail
	}
	id, err := api.ParseOperationID(operationID)
	if err != nil {
		return fail
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	var out result
	if n.owns(id) {
		out = n.settle(ctx, id, fail)
	} else {
		out = n.consult(ctx, queryMessage(operationID), id)
	}
	refused := *fail
	if out.fail == nil || out.fail.Outcome != api.OutcomeNotRun {
		refused.Outcome = api.OutcomeUnknown
	}
	return &refused
}

// settleTimeout bounds how long a refused request waits for the outcome of
// its operation.
const settleTimeout = 2 * time.Second

// settle reports an operation of this process, and seals it with fail when it
// was never begun.
func (n *Node) settle(ctx context.Context, id api.OperationID, fail *api.Error) result {
	rec, err := n.operations.seal(n.clock.Now(), id, fail)
	if err != nil {
		return result{fail: refusedOperation(err)}
	}
	return await(ctx, rec)
}

// refusedOperation says what an operation that was not begun means to its
// caller. Only a closed table tells that it never will be.
func refusedOperation(err error) *api.Error {
	out := &api.Error{Code: api.CodeExpired, Message: err.Error(), Outcome: api.OutcomeUnknown}
	var refused *operation.RefusedError
	if !errors.As(err, &refused) {
		return out
	}
	switch refused.Reason {
	case operation.Closed:
		out.Code, out.Outcome = api.CodeStopping, api.OutcomeNotRun
	case operation.Full:
		out.Code, out.RetryAfterMillis = api.CodeOverloaded, overloadRetry.Milliseconds()
	case operation.Ahead:
		out.Code = api.CodeBadOperation
	case operation.Repeated:
		out.Code = api.CodeDuplicate
	}
	return out
}
