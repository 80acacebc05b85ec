// Package overload decides whether a request is worth sending to a server that
// is busy. It is pure.
package overload

import "time"

// Load is the estimated state of one server.
type Load struct {
	// Requests are running or waiting at the server.
	Requests float64
	Slots    int
	// Service is how long one request takes there when it does not wait.
	Service time.Duration
}

// Wait returns how long one more request would wait for a slot.
func (l Load) Wait() time.Duration {
	over := l.Requests - float64(l.Slots) + 1
	if over <= 0 || l.Slots <= 0 {
		return 0
	}
	return time.Duration(over / float64(l.Slots) * float64(l.Service))
}

// urgencyStep is the part of the longest wait of one urgency that the next
// lower one is admitted to, so that under load the urgent requests find room.
const urgencyStep = 0.8

// MaxWait returns how long a request may wait for a slot. Behind a longer queue
// every request would be late, the ones that come after it too; a caller that
// is refused at once can come back when the queue is shorter. Target is the
// latency aimed for, left the time that the caller has, and level counts the
// urgencies above the request's own.
func MaxWait(target, left, service time.Duration, level int) time.Duration {
	room := left - service
	if target > 0 {
		room = min(room, target)
	}
	for range level {
		room = time.Duration(urgencyStep * float64(room))
	}
	return max(0, room)
}

// Tracker averages how long requests take that do not wait. It is not safe for
// concurrent use.
type Tracker struct{ mean float64 }

// weight of a new sample in the mean.
const weight = 0.1

// Add takes in a sample.
func (t *Tracker) Add(d time.Duration) {
	if t.mean == 0 {
		t.mean = float64(d)
		return
	}
	t.mean += weight * (float64(d) - t.mean)
}

// Mean returns the average, or fallback when nothing is known.
func (t *Tracker) Mean(fallback time.Duration) time.Duration {
	if t.mean == 0 {
		return fallback
	}
	return time.Duration(t.mean)
}
