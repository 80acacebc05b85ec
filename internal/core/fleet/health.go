package fleet

import "time"

// Limits of beliefs about a server.
const (
	// downBase is how long a server that could not be reached is left alone
	// before it is checked; each failed check doubles it, up to downMax.
	downBase = 500 * time.Millisecond
	downMax  = 4 * time.Second
	// shedFor is how long a server that refused a request for want of room is
	// passed over. It is about the time in which one of its slots comes free.
	shedFor = 250 * time.Millisecond
)

// Health is what requests and checks have shown of one life of a server. It is
// not safe for concurrent use.
type Health struct {
	// down is set while the server counts as unreachable: it gets no requests
	// before a check has reached it.
	down bool
	// doubted is set while only another gateway has found it unreachable.
	doubted  bool
	reached  time.Time
	checking bool
	checkAt  time.Time
	failures int
	// broken counts the exchanges in a row that broke without an answer.
	broken    int
	coldUntil time.Time
	shedUntil time.Time
}

// Unreachable notes that no connection could be made, or that one broke with
// a request on it. It reports whether that changed the belief.
func (h *Health) Unreachable(now time.Time) bool {
	changed := !h.down
	h.down, h.doubted, h.checking = true, false, false
	h.checkAt = now.Add(min(downMax, downBase<<min(h.failures, 5)))
	h.failures++
	return changed
}

// brokenLimit is how many exchanges in a row must break for the server to count
// as unreachable.
const brokenLimit = 4

// Broken notes an exchange that broke after it was sent. It reports whether
// that changed the belief.
func (h *Health) Broken(now time.Time) bool {
	h.broken++
	return h.broken >= brokenLimit && h.Unreachable(now)
}

// Doubt notes that another gateway could not reach the server at a time. Unless
// this one has reached it since, the server is to be checked at once.
func (h *Health) Doubt(now, at time.Time) bool {
	if h.down || h.reached.After(at) {
		return false
	}
	h.down, h.doubted, h.checking, h.checkAt = true, true, false, now
	return true
}

// Doubted reports whether only another gateway has found the server
// unreachable.
func (h *Health) Doubted() bool { return h.down && h.doubted }

// Reached notes an answer of the server. It reports whether that changed the
// belief.
func (h *Health) Reached(now time.Time) bool {
	changed := h.down
	h.reached, h.doubted = now, false
	h.down, h.checking, h.failures, h.broken = false, false, 0, 0
	return changed
}

// Cold notes that the server said it is cold until a time; the latest wins.
func (h *Health) Cold(until time.Time) {
	if until.After(h.coldUntil) {
		h.coldUntil = until
	}
}

// Warm notes that the server said it is not cold.
func (h *Health) Warm(now time.Time) {
	if h.coldUntil.After(now) {
		h.coldUntil = now
	}
}

// Shed notes that the server refused a request for want of room.
func (h *Health) Shed(now time.Time) { h.shedUntil = now.Add(shedFor) }

// Down reports whether the server counts as unreachable.
func (h *Health) Down() bool { return h.down }

// ColdUntil returns when the server stops being cold.
func (h *Health) ColdUntil() time.Time { return h.coldUntil }

// Shedding reports whether the server lately refused a request.
func (h *Health) Shedding(now time.Time) bool { return now.Before(h.shedUntil) }

// WantsCheck reports whether an unreachable server is to be checked now, and
// notes that it is.
func (h *Health) WantsCheck(now time.Time) bool {
	if !h.down || h.checking || now.Before(h.checkAt) {
		return false
	}
	h.checking = true
	return true
}
