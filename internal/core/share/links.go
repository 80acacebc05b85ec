package share

import (
	"fmt"
	"time"
)

// Sliding window of a ByteBudget.
const (
	// LinkWindow is the length of the sliding window in which the cap of a link
	// holds.
	LinkWindow = time.Second
	// bucketWidth is the resolution at which sent bytes are recorded. A bucket
	// counts until its end has left the window.
	bucketWidth = LinkWindow / 50
)

// ByteBudget bounds the bytes that one host sends on a route in any LinkWindow.
// The most that an exchange may send is reserved before it starts, and settled
// to the bytes that it sent when it has ended. Reservations count in full, so that
// an exchange in flight cannot exceed the limit. It is not safe for concurrent
// use.
type ByteBudget struct {
	reserved  int64
	sentBytes int64
	buckets   []bucket
}

type bucket struct {
	expiresAt time.Time // when its end leaves the window
	bytes     int64
}

// LinkError is returned for an exchange that would exceed the cap of a link.
type LinkError struct {
	Route Route
	Bytes int64
}

func (e *LinkError) Error() string {
	return fmt.Sprintf("link to %s has no room for %d bytes", e.Route.To, e.Bytes)
}

// Reserve reserves bytes and reports whether they fit under limit.
func (l *ByteBudget) Reserve(now time.Time, limit, bytes int64) bool {
	l.expire(now)
	if l.reserved+l.sentBytes+bytes > limit {
		return false
	}
	l.reserved += bytes
	return true
}

// Settle ends a reservation and records the bytes that were sent, which must not
// exceed those reserved.
func (l *ByteBudget) Settle(now time.Time, reserved, bytes int64) {
	l.reserved -= reserved
	l.sentBytes += bytes
	expiresAt := now.Truncate(bucketWidth).Add(bucketWidth + LinkWindow)
	if n := len(l.buckets); n > 0 && l.buckets[n-1].expiresAt.Equal(expiresAt) {
		l.buckets[n-1].bytes += bytes
		return
	}
	l.buckets = append(l.buckets, bucket{expiresAt: expiresAt, bytes: bytes})
}

func (l *ByteBudget) expire(now time.Time) {
	i := 0
	for ; i < len(l.buckets) && !now.Before(l.buckets[i].expiresAt); i++ {
		l.sentBytes -= l.buckets[i].bytes
	}
	l.buckets = l.buckets[i:]
}

// Used returns the bytes that are reserved or were sent within the window.
func (l *ByteBudget) Used(now time.Time) int64 {
	l.expire(now)
	return l.reserved + l.sentBytes
}

// Links holds the byte budgets of one host. It is not safe for concurrent use.
type Links struct {
	// openAt is when all bytes sent by an earlier process on this host have left
	// the window.
	openAt  time.Time
	budgets map[Route]*ByteBudget
}

// NewLinks returns the links of a process that starts now. Nothing can be reserved
// for the first LinkWindow, because an earlier process may have sent bytes just
// before.
func NewLinks(now time.Time) *Links {
	return &Links{openAt: now.Add(LinkWindow), budgets: map[Route]*ByteBudget{}}
}

// Reserve reserves bytes for a service on the link to a region, under the limits
// of the service and of all services together.
//
// Errors: *LinkError.
func (s *Links) Reserve(now time.Time, l *Limits, service, to string, bytes int64) error {
	total, own := Route{To: to}, Route{Service: service, To: to}
	if err := s.reserve(now, l, total, bytes); err != nil {
		return err
	}
	if err := s.reserve(now, l, own, bytes); err != nil {
		s.budget(total).reserved -= bytes
		return err
	}
	return nil
}

func (s *Links) reserve(now time.Time, l *Limits, r Route, bytes int64) error {
	limit, capped := l.Routes[r]
	if !capped {
		limit = int64(1) << 62
	}
	if now.Before(s.openAt) || !s.budget(r).Reserve(now, limit, bytes) {
		return &LinkError{Route: r, Bytes: bytes}
	}
	return nil
}

// Settle ends a reservation and records the bytes that were sent.
func (s *Links) Settle(now time.Time, service, to string, reserved, bytes int64) {
	s.budget(Route{To: to}).Settle(now, reserved, bytes)
	s.budget(Route{Service: service, To: to}).Settle(now, reserved, bytes)
}

func (s *Links) budget(r Route) *ByteBudget {
	l := s.budgets[r]
	if l == nil {
		l = &ByteBudget{}
		s.budgets[r] = l
	}
	return l
}

// Used returns the bytes of all services that are reserved or were sent within
// the window on the link to a region.
func (s *Links) Used(now time.Time, to string) int64 { return s.budget(Route{To: to}).Used(now) }
