package admission

import (
	"slices"
	"time"
)

// fairEvery is how often the oldest waiter goes first, whatever its priority:
// the oldest waiter starts within fairEvery starts or reaches its time limit.
const fairEvery = 8

// A request waits at most (waitBase + priority) / waitParts of the time it
// has, so that a queue cannot stand: urgent requests are refused early, while
// another host may still take them, and patient ones wait longer.
const (
	waitBase  = 2
	waitParts = 16
)

// MaxPriority is the least urgent priority.
const MaxPriority = 9

// WaitLimit returns the longest wait of a request with the given time left.
func WaitLimit(priority int, left time.Duration) time.Duration {
	return left * time.Duration(waitBase+min(max(priority, 0), MaxPriority)) / waitParts
}

// Ticket names a waiting request.
type Ticket uint64

type waiter struct {
	ticket   Ticket
	priority int
	// startBy is the latest useful start.
	startBy time.Time
}

// before orders waiters: by priority, then by the latest useful start.
func (w *waiter) before(o *waiter) bool {
	if w.priority != o.priority {
		return w.priority < o.priority
	}
	if !w.startBy.Equal(o.startBy) {
		return w.startBy.Before(o.startBy)
	}
	return w.ticket < o.ticket
}

// queue holds waiters in order. Tickets grow, so the lowest is the oldest.
type queue struct {
	waiters []*waiter
	pops    int
}

func (q *queue) len() int { return len(q.waiters) }

// position returns how many waiters go before w.
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

// pop takes the first waiter, or at each fairEvery-th call the oldest.
func (q *queue) pop() *waiter {
	q.pops++
	if q.pops%fairEvery == 0 {
		return q.remove(q.oldest())
	}
	return q.remove(0)
}

// displace removes the last waiter if w goes before it. The oldest is never
// displaced.
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

// expire removes the waiters whose latest useful start has passed.
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
