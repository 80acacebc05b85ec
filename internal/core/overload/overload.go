// Package overload estimates how long a request would wait for a slot at a
// server and the longest wait that it may be given. It is pure.
package overload

import "time"

// Load is the estimated load of one server.
type Load struct {
	// Requests is how many requests are running or queued at the server.
	Requests float64
	Slots    int
	// Service is how long one request takes there, not counting the wait for a
	// slot.
	Service time.Duration
}

// Wait returns how long an additional request would wait for a slot.
func (l Load) Wait() time.Duration {
	excess := l.Requests - float64(l.Slots) + 1
	if excess <= 0 || l.Slots <= 0 {
		return 0
	}
	return time.Duration(excess / float64(l.Slots) * float64(l.Service))
}

// priorityWaitFactor is the ratio between the maximum wait of one priority and
// that of the next higher priority, so that under load requests of a higher
// priority still find a slot.
const priorityWaitFactor = 0.8

// MaxWait returns the longest time that a request may wait for a slot. Behind a
// longer queue every request would miss its target, including those that arrive
// later; a caller that is rejected at once can retry when the queue is shorter.
// Target is the target latency or zero, remaining the time until the caller's
// deadline, service the expected service time, and level the number of
// priorities above the request's own.
func MaxWait(target, remaining, service time.Duration, level int) time.Duration {
	limit := remaining - service
	if target > 0 {
		limit = min(limit, target)
	}
	for range level {
		limit = time.Duration(priorityWaitFactor * float64(limit))
	}
	return max(0, limit)
}

// Tracker is a moving average of service times, without the time spent waiting
// for a slot. It is not safe for concurrent use.
type Tracker struct{ mean float64 }

// sampleWeight is the weight of a new sample in the average.
const sampleWeight = 0.1

// Add adds a sample.
func (t *Tracker) Add(d time.Duration) {
	if t.mean == 0 {
		t.mean = float64(d)
		return
	}
	t.mean += sampleWeight * (float64(d) - t.mean)
}

// Mean returns the average, or fallback if there are no samples.
func (t *Tracker) Mean(fallback time.Duration) time.Duration {
	if t.mean == 0 {
		return fallback
	}
	return time.Duration(t.mean)
}
