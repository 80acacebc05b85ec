// Package event orders what happens in a simulation on virtual time.
package event

import (
	"container/heap"
	"time"
)

// Event is something that happens at a time after the start of a run.
type Event struct {
	At time.Duration
	Do func()
	// seq orders events of the same time as they were added.
	seq int
}

// Queue holds the events to come. Its zero value is empty. It is not safe for
// concurrent use.
type Queue struct {
	events byTime
	seq    int
}

// Add puts an event into the queue.
func (q *Queue) Add(at time.Duration, do func()) {
	q.seq++
	heap.Push(&q.events, Event{At: at, Do: do, seq: q.seq})
}

// Len returns the number of events to come.
func (q *Queue) Len() int { return len(q.events) }

// Next returns the time of the first event. The queue must not be empty.
func (q *Queue) Next() time.Duration { return q.events[0].At }

// Pop removes and returns the first event. The queue must not be empty.
func (q *Queue) Pop() Event { return heap.Pop(&q.events).(Event) }

// byTime implements heap.Interface.
type byTime []Event

func (e byTime) Len() int { return len(e) }
func (e byTime) Less(i, j int) bool {
	return e[i].At < e[j].At || e[i].At == e[j].At && e[i].seq < e[j].seq
}
func (e byTime) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *byTime) Push(x any)   { *e = append(*e, x.(Event)) }
func (e *byTime) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}
