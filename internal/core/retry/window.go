package retry

import "time"

// Window bounds the retries that one gateway sends to a service within a
// sliding window. It is the gateway's part of a bound on all gateways together:
// a ratio of the requests that it received itself, and an even part of the
// retries allowed in addition. It is not safe for concurrent use.
type Window struct {
	// Span is the length of the sliding window.
	Span time.Duration
	// Ratio is the fraction of requests that may be retried.
	Ratio float64

	started time.Time
	// extras are the parts of the additional retries that were this gateway's, in
	// the order of time. They grow: one that a smaller one follows never counts.
	extras            []extraPart
	requests, retries []time.Time
}

// extraPart is how many retries were allowed in addition to the ratio from a time on.
type extraPart struct {
	from  time.Time
	extra float64
}

// NewWindow returns the window of a process that started at a time. What its host sent in an
// earlier life is not known, so that no additional retries are allowed for a span.
func NewWindow(started time.Time) *Window {
	return &Window{started: started, extras: []extraPart{{from: started}}}
}

// SetExtra sets how many retries are allowed in addition to the ratio. A part that grows counts
// after a span: until then what the others spent of it before counts as well.
func (w *Window) SetExtra(now time.Time, extra float64) {
	if len(w.extras) == 1 && w.extras[0] == (extraPart{from: w.started}) {
		// The window may have come into use later than the process.
		now = w.started
	}
	for n := len(w.extras); n > 0 && w.extras[n-1].extra > extra; n = len(w.extras) {
		w.extras = w.extras[:n-1]
	}
	if n := len(w.extras); n == 0 || w.extras[n-1].extra != extra {
		w.extras = append(w.extras, extraPart{now, extra})
	}
}

// extra returns the least part of the additional retries within the span.
func (w *Window) extra(now time.Time) float64 {
	for len(w.extras) > 1 && now.Sub(w.extras[1].from) >= w.Span {
		w.extras = w.extras[1:]
	}
	if len(w.extras) == 0 {
		return 0
	}
	return w.extras[0].extra
}

// usedShare is the fraction of the bound that is used, because the parts of the
// other gateways change with a delay when a gateway joins or leaves.
const usedShare = 0.8

// Request counts a request from a caller.
func (w *Window) Request(now time.Time) {
	w.requests = append(dropExpired(w.requests, now, w.Span), now)
}

// Spend counts a retry and returns true if the bound allows one more now.
func (w *Window) Spend(now time.Time) bool { return w.SpendPart(now, 1) }

// SpendPart is Spend within a part of the bound: the rest is left for others.
func (w *Window) SpendPart(now time.Time, part float64) bool {
	w.requests, w.retries = dropExpired(w.requests, now, w.Span), dropExpired(w.retries, now, w.Span)
	if float64(len(w.retries)+1) > part*usedShare*(w.Ratio*float64(len(w.requests))+w.extra(now)) {
		return false
	}
	w.retries = append(w.retries, now)
	return true
}

// Requests returns how many requests count now.
func (w *Window) Requests(now time.Time) int {
	w.requests = dropExpired(w.requests, now, w.Span)
	return len(w.requests)
}

// Left returns how many retries the bound allows now.
func (w *Window) Left(now time.Time) int {
	w.requests, w.retries = dropExpired(w.requests, now, w.Span), dropExpired(w.retries, now, w.Span)
	return int(usedShare*(w.Ratio*float64(len(w.requests))+w.extra(now))) - len(w.retries)
}

// dropExpired drops the times that are outside the window from the front of a
// sorted list.
func dropExpired(list []time.Time, now time.Time, span time.Duration) []time.Time {
	for len(list) > 0 && now.Sub(list[0]) >= span {
		list = list[1:]
	}
	return list
}
