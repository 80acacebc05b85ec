package entry

import (
	"context"
	"math/rand/v2"
	"sync"

	"cassiatray/api"
	"cassiatray/internal/core/retry"
)

// budgets are the retry budgets of this process, by service and class.
type budgets struct {
	mu      sync.Mutex
	byClass map[classKey]*retry.Budget
}

type classKey struct{ service, class string }

func newBudgets() *budgets { return &budgets{byClass: map[classKey]*retry.Budget{}} }

func (b *budgets) earn(x *exchange) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := classKey{x.svc.Name, x.class.Name}
	budget := b.byClass[key]
	if budget == nil {
		budget = new(retry.Budget)
		b.byClass[key] = budget
	}
	budget.Earn(x.class.Retries.Fraction())
}

func (b *budgets) spend(x *exchange) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.byClass[classKey{x.svc.Name, x.class.Name}].Spend()
}

// attempts runs a request of a caller of this host. It is the only layer that
// retries.
func (n *Node) attempts(ctx context.Context, x *exchange) result {
	n.budgets.earn(x)
	for attempt := uint32(1); ; attempt++ {
		out := n.try(ctx, x)
		if attempt == retry.MaxAttempts || !retryable(x, out) || !n.budgets.spend(x) {
			return out
		}
		pause(ctx, retry.Backoff(attempt, rand.Float64()))
		if ctx.Err() != nil {
			return out
		}
		n.metrics.retries.WithLabelValues(x.svc.Name, x.class.Name).Inc()
	}
}

// try makes one attempt, alone when the request is suspected of crashing
// servers.
func (n *Node) try(ctx context.Context, x *exchange) result {
	leave, fail := n.suspects.enter(ctx, n.clock, x)
	if fail != nil {
		return result{fail: fail}
	}
	out := n.route(ctx, x)
	if leave != nil {
		leave()
		n.acquit(x, out)
	}
	return out
}

// retryable reports whether a failed request may be sent again: it is
// idempotent, or was provably not run.
func retryable(x *exchange, out result) bool {
	if out.fail == nil || out.fail.Code != api.CodeBackend && out.fail.Code != api.CodePeer {
		return false
	}
	return out.fail.Outcome == api.OutcomeNotRun || !x.once()
}
