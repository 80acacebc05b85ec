package steer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"cassiatray/internal/sleep"
)

// Run works until the context ends and all loops have stopped.
func (n *Node) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){n.heartbeats, n.pull, n.exchange, n.holdLease, n.bootstrap} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
	n.wg.Wait()
}

// Bounds of the pause after a failed watch or follow. The longest keeps all
// leads together far under the platform's rate while it is out, and is short
// enough for a change to be in force within seconds once it is back.
const (
	retryShortest = 100 * time.Millisecond
	retryLongest  = 2 * time.Second
)

// backoff is a pause that doubles, with jitter.
type backoff struct{ next time.Duration }

func (b *backoff) reset() { b.next = 0 }

func (b *backoff) sleep(ctx context.Context) bool {
	b.next = min(max(retryShortest, 2*b.next), retryLongest)
	return sleep.For(ctx, b.next/2+rand.N(b.next/2))
}

// heartbeats ticks, and calls the other members of the domain.
func (n *Node) heartbeats(ctx context.Context) {
	for {
		n.tick(ctx)
		for _, address := range n.neighbors() {
			n.wg.Go(func() { n.beat(ctx, address) })
		}
		if !sleep.For(ctx, n.cfg.Heartbeat.D()) {
			return
		}
	}
}

// bootstrap asks other steer processes for the newest document until one
// round confirms that this process has it, or the store does.
func (n *Node) bootstrap(ctx context.Context) {
	for !n.isReady() {
		n.askSeeds(ctx)
		if n.isReady() || !sleep.For(ctx, n.cfg.Heartbeat.D()) {
			return
		}
	}
}

func (n *Node) isReady() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ready
}

// setReady lets followers have the document.
func (n *Node) setReady() {
	if n.head().Sequence == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.ready {
		n.ready = true
		n.notify()
		n.log.Info("Ready.")
	}
}
