package admission

import (
	"slices"
	"time"
)

// oldestEvery is the number of starts after which the oldest request is next,
// regardless of its priority. The oldest request therefore starts within
// oldestEvery starts, unless it reaches its latest start before.
const oldestEvery = 8

// A request waits for at most (waitBase + priority) / waitParts of its time left,
// which prevents a standing queue: urgent requests are rejected early, while
// another host may still admit them, and less urgent ones may wait longer.
const (
	waitBase  = 2
	waitParts = 16
)

// MaxPriority is the least urgent priority.
const MaxPriority = 9

// WaitLimit returns the longest time that a request may be queued, given its
// priority and the time left until its deadline.
func WaitLimit(priority int, left time.Duration) time.Duration {
	return left * time.Duration(waitBase+min(max(priority, 0), MaxPriority)) / waitParts
}

// Ticket identifies a request of a Pool.
type Ticket uint64

type waiter struct {
	ticket   Ticket
	priority int
	// startBy is the latest start at which the request is still useful.
	startBy time.Time
}

// before orders waiters by priority, then by their latest start.
func (w *waiter) before(o *waiter) bool {
	if w.priority != o.priority {
		return w.priority < o.priority
	}
	if !w.startBy.Equal(o.startBy) {
		return w.startBy.Before(o.startBy)
	}
	return w.ticket < o.ticket
}

// queue holds waiters in the order of before. Tickets increase, so the waiter with
// the lowest is the oldest.
type queue struct {
	waiters []*waiter
	pops    int
}

func (q *queue) len() int { return len(q.waiters) }

// position returns the number of waiters that precede w.
func (q *queue) position(w *waiter) int {
	i, _ := slices.BinarySearchFunc(q.waiters, w, func(a, b *waiter) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	return i
}

func (q *queue) push(w *waiter) { q.waiters = slices.Insert(q.waiters, q.position(w), w) }

func (q *queue) oldest() int {
	best := 0
	for i, w := range q.waiters {
		if w.ticket < q.waiters[best].ticket {
			best = i
		}
	}
	return best
}

func (q *queue) remove(i int) *waiter {
	w := q.waiters[i]
	q.waiters = slices.Delete(q.waiters, i, i+1)
	return w
}

// pop removes the first waiter, or on every oldestEvery-th call the oldest.
func (q *queue) pop() *waiter {
	q.pops++
	if q.pops%oldestEvery == 0 {
		return q.remove(q.oldest())
	}
	return q.remove(0)
}

// displace removes the last waiter if w precedes it. The oldest waiter is never
// removed.
func (q *queue) displace(w *waiter) *waiter {
	last := len(q.waiters) - 1
	if last == q.oldest() {
		last--
	}
	if last < 0 || !w.before(q.waiters[last]) {
		return nil
	}
	return q.remove(last)
}

// cancel removes a waiter by its ticket.
func (q *queue) cancel(t Ticket) bool {
	i := slices.IndexFunc(q.waiters, func(w *waiter) bool { return w.ticket == t })
	if i < 0 {
		return false
	}
	q.remove(i)
	return true
}

// expire removes and returns the waiters whose latest start has passed.
func (q *queue) expire(now time.Time) []*waiter {
	var out []*waiter
	q.waiters = slices.DeleteFunc(q.waiters, func(w *waiter) bool {
		late := now.After(w.startBy)
		if late {
			out = append(out, w)
		}
		return late
	})
	return out
}
