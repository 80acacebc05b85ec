package membership

import "time"

// Lease is what a process knows of its domain's lease, by its own clock. The
// store may end a lease that the process still counts on: a lease tells others
// whom to follow and guards nothing.
type Lease struct {
	ttl     time.Duration
	expires time.Time
}

// NewLease returns a lease that is not held.
func NewLease(ttl time.Duration) *Lease { return &Lease{ttl: ttl} }

// Renewed notes that the store confirmed the lease in answer to a call made at
// asked. It counts from the call, not from the answer: the store's own time
// began no earlier.
func (l *Lease) Renewed(asked time.Time) { l.expires = asked.Add(l.ttl) }

// Lost notes that the store denied the lease, or that it was given up.
func (l *Lease) Lost() { l.expires = time.Time{} }

// Held reports whether the lease has not lapsed.
func (l *Lease) Held(now time.Time) bool { return now.Before(l.expires) }
