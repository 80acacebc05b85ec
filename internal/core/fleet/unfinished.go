package fleet

import (
	"slices"
	"time"
)

const (
	// crashWindow is the longest time between the end of a request's run, as far as it is
	// known, and the proof that its server's process ended, for the two to count as one crash.
	// The next request to a server normally comes sooner than that.
	crashWindow = 2 * time.Second
	// silenceWindow is crashWindow for a request whose exchange was ended here. A process may
	// stop responding under it without closing connections, and end some seconds later.
	silenceWindow = 10 * time.Second
	// maxAbandoned bounds the abandoned requests that are kept for one server. Each of them is
	// reported if the process ends.
	maxAbandoned = 8
)

// InFlight is a request that a server process may have been running when it ended.
type InFlight struct {
	// Request is its fingerprint, Key its shorter hash (suspect.Key).
	Request string
	Key     uint64
	// Proven is set if it had run to completion before, Trial if it ran as a trial.
	Proven, Trial bool
	// Exchange is how the exchange with the server ended, for the log.
	Exchange string
	// Sent is when it was sent, Lost when its exchange ended.
	Sent, Lost time.Time
	// Abandoned is set if this gateway ended the exchange: the caller left, or the deadline passed.
	Abandoned bool
	// Until is until when the server may run it: Lost if the server itself ended the exchange,
	// and the deadline that the server was told, or Lost if that has passed, if this gateway did.
	Until time.Time
	// Answered is set if it was answered, and the body ended with the connection: whole, or cut
	// off by the end of the process.
	Answered bool
}

// sameRequest reports whether two entries are of copies of one request.
func (f InFlight) sameRequest(o InFlight) bool { return f.Request == o.Request && f.Trial == o.Trial }

// Unfinished holds the requests that were sent to one server process and that it may not have
// run to their end, to tell which of them were running when the process ended. An exchange that
// ended early is no proof of a crash: responses are lost on the network, and callers leave. It
// is not safe for concurrent use.
type Unfinished struct {
	pending []InFlight
	// endedAt is when the process was last found to have ended.
	endedAt time.Time
}

// Add records that the exchange of a request ended without a complete response. If the process
// was found to have ended during the exchange, it returns the requests that were running.
func (u *Unfinished) Add(now time.Time, request InFlight) []InFlight {
	u.expire(now)
	request.Lost = now
	if request.Until.Before(now) {
		request.Until = now
	}
	u.insert(request)
	if now.Sub(u.endedAt) > crashWindow || request.Abandoned && request.Sent.After(u.endedAt) {
		return nil
	}
	return u.take(now)
}

// insert keeps one entry for each request, however many of its copies are unfinished.
func (u *Unfinished) insert(request InFlight) {
	if i := slices.IndexFunc(u.pending, request.sameRequest); i >= 0 {
		old := &u.pending[i]
		if request.Until.After(old.Until) {
			old.Until = request.Until
		}
		old.Lost, old.Exchange, old.Answered = request.Lost, request.Exchange, old.Answered && request.Answered
		old.Abandoned = old.Abandoned || request.Abandoned
	} else {
		u.pending = append(u.pending, request)
	}
	u.evict()
}

// evict drops an abandoned request if there are too many: preferably one that has run to
// completion before, and the oldest of these.
func (u *Unfinished) evict() {
	count, oldest, oldestProven := 0, -1, -1
	for i, p := range u.pending {
		if !p.Abandoned {
			continue
		}
		count++
		if oldest < 0 {
			oldest = i
		}
		if p.Proven && oldestProven < 0 {
			oldestProven = i
		}
	}
	if count <= maxAbandoned {
		return
	}
	if oldestProven >= 0 {
		oldest = oldestProven
	}
	u.pending = slices.Delete(u.pending, oldest, oldest+1)
}

// Ended records proof that the process has ended, and returns the requests that it may have been
// running. An end that was announced accuses no abandoned request.
func (u *Unfinished) Ended(now time.Time, announced bool) []InFlight {
	u.endedAt = now
	if announced {
		u.pending = slices.DeleteFunc(u.pending, func(p InFlight) bool { return p.Abandoned })
	}
	return u.take(now)
}

// Answered records a response to a request that was sent at a time: the process was running
// then, and requests whose runs were over have not crashed it. It returns those that had been
// answered themselves; they are cleared once a process that took its place would be known.
func (u *Unfinished) Answered(sent time.Time) (answered []InFlight) {
	return u.drop(func(p InFlight) bool { return p.over().Before(sent) })
}

// Open records that connections to the process were open at a time. That clears only requests whose
// exchanges it ended itself: a process that no longer responds keeps its connections open, too.
// It returns those that had been answered.
func (u *Unfinished) Open(at time.Time) (answered []InFlight) {
	return u.drop(func(p InFlight) bool { return !p.Abandoned && p.over().Before(at) })
}

// over returns the time after which a process that still runs cannot have been crashed by the
// request.
func (f InFlight) over() time.Time {
	if f.Answered {
		return f.Until.Add(crashWindow)
	}
	return f.Until
}

func (u *Unfinished) drop(over func(InFlight) bool) (answered []InFlight) {
	u.pending = slices.DeleteFunc(u.pending, func(p InFlight) bool {
		if !over(p) {
			return false
		}
		if p.Answered {
			answered = append(answered, p)
		}
		return true
	})
	return answered
}

// Pending reports whether there are requests that the end of the process would accuse.
func (u *Unfinished) Pending(now time.Time) bool {
	u.expire(now)
	return len(u.pending) > 0
}

func (u *Unfinished) expire(now time.Time) {
	u.pending = slices.DeleteFunc(u.pending, func(p InFlight) bool {
		window := crashWindow
		if p.Abandoned || p.Answered {
			window = silenceWindow
		}
		return now.Sub(p.Until) > window
	})
}

// take removes and returns the requests that may have been running a moment ago.
func (u *Unfinished) take(now time.Time) []InFlight {
	u.expire(now)
	if len(u.pending) == 0 {
		return nil
	}
	out := u.pending
	u.pending = nil
	for i := range out {
		if out[i].Abandoned {
			// The process ran on when the exchange ended.
			out[i].Lost = now
		}
	}
	return out
}
