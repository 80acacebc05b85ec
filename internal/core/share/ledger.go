package share

import (
	"fmt"
	"time"
)

// Ledger of a link.
const (
	// LinkWindow is the span over which a link cap holds, at any instant.
	LinkWindow = time.Second
	// slice is how finely sent bytes are kept; a slice counts until its end
	// has left the window.
	slice = LinkWindow / 50
)

// Ledger bounds the bytes that one host sends on a route in any LinkWindow.
// Bytes are reserved before the exchange, at the most that it may send, and
// settled when it has ended with those that were sent. What is reserved counts
// in full, so nothing sent can come as a surprise. It is not safe for
// concurrent use.
type Ledger struct {
	open int64
	sum  int64
	sent []sent
}

type sent struct {
	until time.Time // when it leaves the window
	bytes int64
}

// LinkError is an exchange that the cap of a link leaves no room for.
type LinkError struct {
	Route Route
	Bytes int64
}

func (e *LinkError) Error() string {
	return fmt.Sprintf("link to %s has no room for %d bytes", e.Route.To, e.Bytes)
}

// Reserve takes bytes out of limit and reports whether they were left.
func (l *Ledger) Reserve(now time.Time, limit, bytes int64) bool {
	l.expire(now)
	if l.open+l.sum+bytes > limit {
		return false
	}
	l.open += bytes
	return true
}

// Settle ends a reservation with the bytes that were sent, at most those
// reserved.
func (l *Ledger) Settle(now time.Time, reserved, bytes int64) {
	l.open -= reserved
	l.sum += bytes
	until := now.Truncate(slice).Add(slice + LinkWindow)
	if n := len(l.sent); n > 0 && l.sent[n-1].until.Equal(until) {
		l.sent[n-1].bytes += bytes
		return
	}
	l.sent = append(l.sent, sent{until: until, bytes: bytes})
}

func (l *Ledger) expire(now time.Time) {
	i := 0
	for ; i < len(l.sent) && !now.Before(l.sent[i].until); i++ {
		l.sum -= l.sent[i].bytes
	}
	l.sent = l.sent[i:]
}

// Used returns the bytes that count now.
func (l *Ledger) Used(now time.Time) int64 {
	l.expire(now)
	return l.open + l.sum
}

// Links holds the ledgers of one host. It is not safe for concurrent use.
type Links struct {
	// open is when the bytes of an earlier process on this host have left the
	// window.
	open    time.Time
	ledgers map[Route]*Ledger
}

// NewLinks returns the links of a process that starts now. Nothing can be
// reserved for one LinkWindow: an earlier process may just have sent.
func NewLinks(now time.Time) *Links {
	return &Links{open: now.Add(LinkWindow), ledgers: map[Route]*Ledger{}}
}

// Reserve takes bytes for a service on the link to a region, under the limits
// of the service and of all services together.
//
// Errors: *LinkError.
func (s *Links) Reserve(now time.Time, l *Limits, service, to string, bytes int64) error {
	all, own := Route{To: to}, Route{Service: service, To: to}
	if err := s.reserve(now, l, all, bytes); err != nil {
		return err
	}
	if err := s.reserve(now, l, own, bytes); err != nil {
		s.ledger(all).open -= bytes
		return err
	}
	return nil
}

func (s *Links) reserve(now time.Time, l *Limits, r Route, bytes int64) error {
	limit, bounded := l.Routes[r]
	if !bounded {
		limit = int64(1) << 62
	}
	if now.Before(s.open) || !s.ledger(r).Reserve(now, limit, bytes) {
		return &LinkError{Route: r, Bytes: bytes}
	}
	return nil
}

// Settle ends a reservation.
func (s *Links) Settle(now time.Time, service, to string, reserved, bytes int64) {
	s.ledger(Route{To: to}).Settle(now, reserved, bytes)
	s.ledger(Route{Service: service, To: to}).Settle(now, reserved, bytes)
}

func (s *Links) ledger(r Route) *Ledger {
	l := s.ledgers[r]
	if l == nil {
		l = &Ledger{}
		s.ledgers[r] = l
	}
	return l
}

// Used returns the bytes that count now on the link to a region.
func (s *Links) Used(now time.Time, to string) int64 { return s.ledger(Route{To: to}).Used(now) }
