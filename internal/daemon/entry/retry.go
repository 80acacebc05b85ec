package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"cassiatray/api"
	"cassiatray/internal/core/retry"
	"cassiatray/internal/sleep"
)

// retryBudgets holds the retry budgets of this process, by service and class.
type retryBudgets struct {
	mu      sync.Mutex
	byClass map[classKey]*retry.Budget
}

type classKey struct{ service, class string }

func newRetryBudgets() *retryBudgets { return &retryBudgets{byClass: map[classKey]*retry.Budget{}} }

func (b *retryBudgets) earn(r *request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := classKey{r.svc.Name, r.class.Name}
	budget := b.byClass[key]
	if budget == nil {
		budget = new(retry.Budget)
		b.byClass[key] = budget
	}
	budget.Earn(r.class.Retries.Fraction())
}

func (b *retryBudgets) spend(r *request) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.byClass[classKey{r.svc.Name, r.class.Name}].Spend()
}

// runWithRetries runs a request that this host received from a caller, retrying failed
// attempts. No other layer retries.
func (n *Node) runWithRetries(ctx context.Context, r *request) result {
	n.budgets.earn(r)
	mayHaveRun := false
	for attempt := uint32(1); ; attempt++ {
		out := n.runWithHedge(ctx, r)
		if out.failure != nil {
			mayHaveRun = mayHaveRun || out.failure.Outcome != api.OutcomeNotRun
			if mayHaveRun && out.failure.Outcome == api.OutcomeNotRun {
				// An earlier attempt may have run.
				out.failure.Outcome = api.OutcomeUnknown
			}
		}
		if attempt == retry.MaxAttempts || !retryable(r, out) || !n.budgets.spend(r) {
			return out
		}
		sleep.For(ctx, retry.Backoff(attempt, rand.Float64()))
		if ctx.Err() != nil {
			return out
		}
		n.metrics.retries.WithLabelValues(r.svc.Name, r.class.Name).Inc()
	}
}

// runWithHedge makes one attempt. If an idempotent request has no answer after its class's
// hedge delay and the retry budget permits, it makes a second attempt in parallel. The
// first successful answer cancels the other attempt.
func (n *Node) runWithHedge(ctx context.Context, r *request) result {
	wait := r.class.HedgeAfter.D()
	if wait <= 0 || r.atMostOnce() {
		return n.runAttempt(ctx, r)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, 2)
	run := func() { results <- n.runAttempt(ctx, r) }
	go run()
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case out := <-results:
		return out
	case <-t.C:
	}
	if !n.budgets.spend(r) {
		return <-results
	}
	n.metrics.retries.WithLabelValues(r.svc.Name, r.class.Name).Inc()
	go run()
	if out := <-results; out.failure == nil {
		return out
	}
	return <-results
}

// runAttempt makes one attempt. A request that is suspected of crashing servers first waits
// for its turn.
func (n *Node) runAttempt(ctx context.Context, r *request) result {
	releaseTurn, failure := n.awaitTurn(ctx, r)
	if failure != nil {
		return result{failure: failure}
	}
	out := n.route(ctx, r)
	if releaseTurn != nil {
		n.clearSuspect(r, out)
		releaseTurn()
	}
	return out
}

// retryable reports whether a failed request may be retried: it is idempotent, or is known
// not to have run.
func retryable(r *request, out result) bool {
	if out.failure == nil || out.failure.Code != api.CodeBackend && out.failure.Code != api.CodePeer {
		return false
	}
	return out.failure.Outcome == api.OutcomeNotRun || !r.atMostOnce()
}
