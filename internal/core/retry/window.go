package retry

import "time"

// Window bounds the repeats that one gateway sends to a service in every span
// of a length, as its part of a bound on all gateways together: a share of the
// requests it saw itself, and an even part of what is allowed beside that. It
// is not safe for concurrent use.
type Window struct {
	// Span is the length over which the bound holds.
	Span time.Duration
	// Ratio is the share of requests that may be repeated.
	Ratio float64
	// Extra is how many repeats are allowed beside the ratio.
	Extra float64

	requests, repeats []time.Time
}

// caution is the part of the bound that is used, since gateways that join or
// leave change the others' parts a little late.
const caution = 0.8

// Request counts a caller's request.
func (w *Window) Request(now time.Time) {
	w.requests = append(expire(w.requests, now, w.Span), now)
}

// Spend counts a repeat if the bound allows one more now.
func (w *Window) Spend(now time.Time) bool {
	w.requests, w.repeats = expire(w.requests, now, w.Span), expire(w.repeats, now, w.Span)
	if float64(len(w.repeats)+1) > caution*(w.Ratio*float64(len(w.requests))+w.Extra) {
		return false
	}
	w.repeats = append(w.repeats, now)
	return true
}

// Left returns how many repeats are allowed now.
func (w *Window) Left(now time.Time) int {
	w.requests, w.repeats = expire(w.requests, now, w.Span), expire(w.repeats, now, w.Span)
	return int(caution*(w.Ratio*float64(len(w.requests))+w.Extra)) - len(w.repeats)
}

func expire(list []time.Time, now time.Time, span time.Duration) []time.Time {
	for len(list) > 0 && now.Sub(list[0]) >= span {
		list = list[1:]
	}
	return list
}
