package hedge

import "time"

const (
	// refusalHold is for how long a service counts as overloaded after a request was refused for
	// want of room. Callers repeat a refused request within about a second.
	refusalHold = time.Second
	// queueWeight is the weight of a response in the share of those from servers with a queue, and
	// maxQueueShare the share above which the service counts as overloaded.
	queueWeight   = 1.0 / 32
	maxQueueShare = 0.5
)

// Pressure tells whether a service is overloaded, by what its servers report and by refusals. The
// zero value is of a service without load. It is not safe for concurrent use.
type Pressure struct {
	queueShare float64
	refusedAt  time.Time
}

// Answered records a response; queued is set if requests waited at its server.
func (p *Pressure) Answered(queued bool) {
	value := 0.0
	if queued {
		value = 1
	}
	p.queueShare += queueWeight * (value - p.queueShare)
}

// Refused records that a request was refused for want of room.
func (p *Pressure) Refused(now time.Time) { p.refusedAt = now }

// Overloaded reports whether the service is overloaded.
func (p *Pressure) Overloaded(now time.Time) bool {
	return p.queueShare > maxQueueShare || now.Sub(p.refusedAt) < refusalHold
}
