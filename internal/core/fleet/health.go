package fleet

import "time"

// Limits on the state kept about a server.
const (
	// checkBackoffBase is the time before an unreachable server is checked;
	// each failed check doubles it, up to checkBackoffMax.
	checkBackoffBase = 500 * time.Millisecond
	checkBackoffMax  = 4 * time.Second
	// shedDuration is how long a server that rejected a request because it was
	// full is passed over. It is about the time in which one of its slots
	// becomes free.
	shedDuration = 250 * time.Millisecond
)

// Health is the state of one server process as observed by requests and checks.
// It is not safe for concurrent use.
type Health struct {
	// down is set while the server counts as unreachable: it gets no requests
	// until a check succeeds.
	down bool
	// peerReported is set while the server counts as unreachable only because
	// another gateway reported it.
	peerReported bool
	// doubtedAt is when another gateway's report last made it so. The doubt ends by itself
	// at doubtUntil unless that is zero.
	doubtedAt  time.Time
	doubtUntil time.Time
	lastAnswer time.Time
	// lastRun is when the latest request that the server has run to its end was sent.
	lastRun   time.Time
	checking  bool
	nextCheck time.Time
	failures  int
	// brokenInRow counts the consecutive exchanges that broke without a
	// response, resetInRow those on new connections that were reset at once.
	brokenInRow, resetInRow int
	// ejections counts how often the server has been ejected since it last ran a request, and
	// ejectedUntil is until when a good check does not end the last one.
	ejections    int
	ejectedUntil time.Time
	coldUntil    time.Time
	shedUntil    time.Time
}

// Unreachable records that no connection could be made, or that one broke with
// a request in flight. It reports whether the server counted as reachable
// before.
func (h *Health) Unreachable(now time.Time) bool {
	changed := !h.down
	h.down, h.peerReported, h.checking = true, false, false
	h.nextCheck = now.Add(min(checkBackoffMax, checkBackoffBase<<min(h.failures, 5)))
	h.failures++
	return changed
}

// brokenLimit is how many consecutive exchanges must break before the server
// counts as unreachable.
const brokenLimit = 4

// Broken records an exchange that broke after the request was sent. It reports
// whether the server now counts as unreachable and did not before.
func (h *Health) Broken(now time.Time) bool {
	h.brokenInRow++
	return h.brokenInRow >= brokenLimit && h.Unreachable(now)
}

const (
	// resetLimit is how many consecutive new connections must be reset at once before the
	// server is ejected. Answers that are lost on the way take as long as a run.
	resetLimit = 2
	// ejectionBase is how long the first ejection lasts; each further one until a request runs
	// doubles it, up to ejectionMax.
	ejectionBase = time.Second
	ejectionMax  = 8 * time.Second
)

// ResetAtOnce records that the server reset a new connection as soon as it got the request. It
// reports whether the server is ejected: it counts as unreachable, and good checks, which may be
// false, do not end that for a while. After an ejection, one such reset is enough.
func (h *Health) ResetAtOnce(now time.Time) bool {
	h.resetInRow++
	if h.resetInRow < resetLimit && h.ejections == 0 {
		return false
	}
	changed := h.Unreachable(now)
	h.ejectedUntil = now.Add(min(ejectionMax, ejectionBase<<min(h.ejections, 3)))
	h.nextCheck = h.ejectedUntil
	h.ejections++
	return changed
}

// CheckPassed records a good response to a check. It reports whether the server counted as
// unreachable before and no longer does.
func (h *Health) CheckPassed(now time.Time) bool {
	if now.Before(h.ejectedUntil) {
		h.checking, h.nextCheck = false, h.ejectedUntil
		return false
	}
	return h.Reached(now)
}

// Doubt records that another gateway could not reach the server at the given
// time. Unless this gateway has had a response since, the server counts as
// unreachable and is due for an immediate check. It reports whether that
// changed the state.
func (h *Health) Doubt(now, at time.Time) bool { return h.doubt(now, h.lastAnswer.After(at)) }

// DoubtWarm is Doubt where the server may have turned cold and only its slots tell: the end
// of a request that was sent before the given time, and a rejection, show no free slot.
func (h *Health) DoubtWarm(now, at time.Time) bool { return h.doubt(now, h.lastRun.After(at)) }

func (h *Health) doubt(now time.Time, answered bool) bool {
	if h.down || answered {
		return false
	}
	h.down, h.peerReported, h.checking, h.nextCheck = true, true, false, now
	h.doubtedAt, h.doubtUntil = now, time.Time{}
	return true
}

// unansweredLife is how long a server counts as unreachable because another gateway's check is
// unanswered, unless that gateway hears from it before: the longest time that a check takes, and
// some for the report.
const unansweredLife = 1300 * time.Millisecond

// DoubtUnanswered is DoubtWarm on the word of a gateway that goes on checking the server. This one
// does not check it: if all did, their checks alone would fill a busy server's queue.
func (h *Health) DoubtUnanswered(now, at time.Time) bool {
	if !h.DoubtWarm(now, at) {
		return false
	}
	h.doubtUntil = now.Add(unansweredLife)
	h.ejections = max(h.ejections, 1)
	return true
}

// Unanswered reports whether the server counts as unreachable only because a check is unanswered.
func (h *Health) Unanswered() bool { return h.Doubted() && !h.doubtUntil.IsZero() }

// Answered records that the server has answered the check for which it was doubted. It reports
// whether that changed the state.
func (h *Health) Answered(now time.Time) bool {
	if !h.Unanswered() {
		return false
	}
	h.down, h.peerReported = false, false
	return true
}

// EndDoubt ends a doubt whose time is over.
func (h *Health) EndDoubt(now time.Time) {
	if h.Unanswered() && !now.Before(h.doubtUntil) {
		h.Answered(now)
	}
}

// Ran records that the server has run a request that was sent at the given time.
func (h *Health) Ran(sent time.Time) {
	h.resetInRow, h.ejections, h.ejectedUntil = 0, 0, time.Time{}
	if sent.After(h.lastRun) {
		h.lastRun = sent
	}
}

// DoubtedSince reports whether another gateway's report made the server count as
// unreachable after a time.
func (h *Health) DoubtedSince(t time.Time) bool { return h.Doubted() && !h.doubtedAt.Before(t) }

// Alive records a response that shows that the process runs, and not whether it is cold: a
// doubt stays until a check settles it.
func (h *Health) Alive() { h.failures, h.brokenInRow = 0, 0 }

// Suspect records that the server's process may have been replaced. It gets no requests
// until a check succeeds, which is due immediately. Suspect reports whether that changed
// the state.
func (h *Health) Suspect(now time.Time) bool {
	if h.down {
		return false
	}
	h.down, h.checking, h.nextCheck = true, false, now
	return true
}

// Retry records that failures were those of this gateway's links: a server that counts as
// unreachable by them is due for an immediate check, and may be tried like one that another
// gateway reported.
func (h *Health) Retry(now time.Time) {
	if h.down && !h.peerReported {
		h.peerReported, h.checking, h.nextCheck, h.failures, h.brokenInRow = true, false, now, 0, 0
		h.doubtedAt, h.doubtUntil = now, time.Time{}
	}
}

// recheckAfter is the time after which a server that rejected a check is checked again.
const recheckAfter = 200 * time.Millisecond

// CheckRejected records that the server rejected a check for want of a slot: it is alive,
// and says nothing else.
func (h *Health) CheckRejected(now time.Time) {
	h.checking, h.nextCheck = false, now.Add(recheckAfter)
}

// Doubted reports whether the server counts as unreachable only because another
// gateway reported it.
func (h *Health) Doubted() bool { return h.down && h.peerReported }

// Reached records a response from the server. It reports whether the server
// counted as unreachable before.
func (h *Health) Reached(now time.Time) bool {
	changed := h.down
	h.lastAnswer, h.peerReported = now, false
	h.down, h.checking, h.failures, h.brokenInRow = false, false, 0, 0
	return changed
}

// Cold records the time until which the server reports itself as starting cold;
// the latest time wins.
func (h *Health) Cold(until time.Time) {
	if until.After(h.coldUntil) {
		h.coldUntil = until
	}
}

// Warm records that the server no longer reports itself as starting cold.
func (h *Health) Warm(now time.Time) {
	if h.coldUntil.After(now) {
		h.coldUntil = now
	}
}

// Shed records that the server rejected a request because it was full.
func (h *Health) Shed(now time.Time) { h.shedUntil = now.Add(shedDuration) }

// Down reports whether the server counts as unreachable.
func (h *Health) Down() bool { return h.down }

// ColdUntil returns when the server stops starting cold.
func (h *Health) ColdUntil() time.Time { return h.coldUntil }

// Shedding reports whether the server recently rejected a request because it
// was full.
func (h *Health) Shedding(now time.Time) bool { return now.Before(h.shedUntil) }

// WantsCheck reports whether an unreachable server is due for a check, and
// marks the check as started.
func (h *Health) WantsCheck(now time.Time) bool {
	if !h.down || h.checking || now.Before(h.nextCheck) || h.peerReported && !h.doubtUntil.IsZero() {
		return false
	}
	h.checking = true
	return true
}
