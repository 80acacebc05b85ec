package membership

import "time"

// Lease is the process's local view of its failure domain's lease, by its own
// clock. The store may end a lease that the process still considers held: the
// lease only determines which member the others follow and does not guarantee
// mutual exclusion.
type Lease struct {
	ttl     time.Duration
	expires time.Time
}

// NewLease returns a lease that is not held.
func NewLease(ttl time.Duration) *Lease { return &Lease{ttl: ttl} }

// Renewed records that the store confirmed the lease in response to a call sent
// at asked. The lease counts from the call, not from the response, because the
// store's own TTL started no earlier than the call.
func (l *Lease) Renewed(asked time.Time) { l.expires = asked.Add(l.ttl) }

// Lost records that the store denied the lease, or that it was released.
func (l *Lease) Lost() { l.expires = time.Time{} }

// Held reports whether the lease has not expired.
func (l *Lease) Held(now time.Time) bool { return now.Before(l.expires) }
