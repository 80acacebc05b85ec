// Package suspect detects requests that crash the backend servers that run
// them. It does no I/O and reads no clock: the caller passes the time.
//
// Every request that was in flight when the connection to its server broke is a
// suspect, so the failure of a whole failure domain yields a large number of
// them. The following rules identify the request that causes the crashes:
//
//   - A request that runs to completion is cleared, and one that did so before the crashes
//     may be in flight at one more of them.
//   - A second crash counts only when the request was sent after the first one.
//     By then it runs one copy at a time, because suspects take turns (Turns).
//   - A crash does not count when another server of the same failure domain
//     crashed at about the same time without the request in flight, nor when
//     more servers crashed at about the same time than one request can crash
//     before it is refused.
//   - A second crash of the same server counts only when the server completed a
//     request in between. No crash counts of a server that keeps breaking
//     connections without completing anything.
package suspect

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Thresholds, time windows and size limits of a Table.
const (
	// CrashLimit is the number of counted crashes at which a request is refused, and
	// ProvenCrashLimit that of a request that ran to completion before: it may have been in
	// flight at the crashes of another request twice.
	CrashLimit       = 2
	ProvenCrashLimit = 3
	// Keep is how long a crash is kept.
	Keep = 10 * time.Minute
	// attributionWindow is how long after a crash broken connections to the server
	// are attributed to that crash.
	attributionWindow = 5 * time.Second
	// reportDelay bounds the time until other hosts receive the report of a crash.
	reportDelay = 500 * time.Millisecond
	// commonCauseWindow is the greatest time between two crashes in one failure
	// domain that are assumed to have a common cause.
	commonCauseWindow = 2 * time.Second
	// lateBreakThreshold is the number of late broken connections that attributes
	// a crash to the server itself. A single one may be a pooled connection to the
	// process that crashed.
	lateBreakThreshold = 3
	// maxCrashes bounds the crashes in a table, and maxInFlight the requests
	// recorded with each crash.
	maxCrashes  = 128
	maxInFlight = 64
)

// State determines how a request is treated.
type State int

// Values of State.
const (
	// Clear means that no crash is recorded for the request.
	Clear State = iota
	// Probation means that at most one copy of the request runs at a time.
	Probation
	// Refused means that the request is not run.
	Refused
)

func (s State) String() string { return [...]string{"clear", "probation", "refused"}[s] }

// Server identifies a backend server and its failure domain.
type Server struct{ Service, Name, Domain string }

// crash is one crash of a server and the requests that were in flight on it.
type crash struct {
	server Server
	at     time.Time
	// inFlight maps each request to the time at which it was sent.
	inFlight map[Fingerprint]time.Time
	// completedSince is set when the server completed a request between its
	// previous crash and this one. It stays unset for a server that only breaks
	// connections.
	completedSince bool
	// lateBreaks counts connections with requests sent after the crash that broke
	// before the server had completed any request.
	lateBreaks int
}

func (c *crash) involves(f Fingerprint) bool {
	_, ok := c.inFlight[f]
	return ok
}

// Table stores recent crashes, the oldest first. It is not safe for concurrent
// use.
type Table struct {
	crashes []*crash
	// lastCompletion is when each server that has crashed last completed a request.
	lastCompletion map[Server]time.Time
}

// Ran records that a server completed a request.
func (t *Table) Ran(now time.Time, s Server) {
	if t.lastCrash(s) == nil {
		return
	}
	if t.lastCompletion == nil {
		t.lastCompletion = map[Server]time.Time{}
	}
	t.lastCompletion[s] = now
}

// Empty reports whether the table holds no crash, so that every request is clear.
func (t *Table) Empty() bool { return len(t.crashes) == 0 }

// Crash records that a request, sent at sentAt, was in flight when a server
// crashed, and reports whether this was not recorded before. A connection that
// breaks within attributionWindow of a crash of its server belongs to that crash:
// a request sent more than reportDelay after the crash is then not recorded,
// unless it was also in flight at the crash, in which case a new crash is recorded.
func (t *Table) Crash(now time.Time, f Fingerprint, s Server, sentAt time.Time) bool {
	t.expire(now)
	c := t.lastCrash(s)
	if c == nil || now.Sub(c.at) > attributionWindow || c.involves(f) && !sentAt.Before(c.at) {
		c = t.addCrash(now, s)
	}
	if sentAt.Sub(c.at) > reportDelay && !t.lastCompletion[s].After(c.at) {
		c.lateBreaks++
	}
	if c.involves(f) || sentAt.Sub(c.at) > reportDelay || len(c.inFlight) >= maxInFlight {
		return false
	}
	c.inFlight[f] = sentAt
	return true
}

// Worked reports whether a server completed a request between its last two
// crashes.
func (t *Table) Worked(s Server) bool {
	c := t.lastCrash(s)
	return c != nil && c.completedSince
}

// lastCrash returns the latest crash of a server, or nil.
func (t *Table) lastCrash(s Server) *crash {
	for _, c := range slices.Backward(t.crashes) {
		if c.server == s {
			return c
		}
	}
	return nil
}

func (t *Table) addCrash(now time.Time, s Server) *crash {
	c := &crash{server: s, at: now, inFlight: map[Fingerprint]time.Time{}}
	if previous := t.lastCrash(s); previous != nil {
		c.completedSince = t.lastCompletion[s].After(previous.at)
	}
	if len(t.crashes) == maxCrashes {
		t.crashes = slices.Delete(t.crashes, 0, 1)
	}
	t.crashes = append(t.crashes, c)
	return c
}

// Clear removes a completed request from all crashes, and reports whether it was
// in any of them.
func (t *Table) Clear(now time.Time, f Fingerprint) bool {
	t.expire(now)
	found := false
	for _, c := range t.crashes {
		if c.involves(f) {
			delete(c.inFlight, f)
			found = true
		}
	}
	return found
}

func (t *Table) expire(now time.Time) {
	expired := func(at time.Time) bool { return now.Sub(at) > Keep }
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool { return expired(c.at) })
	maps.DeleteFunc(t.lastCompletion, func(_ Server, at time.Time) bool { return expired(at) })
}

// State returns the state of a request. It is proven if it is known to have run to completion.
func (t *Table) State(now time.Time, f Fingerprint, proven bool) State {
	t.expire(now)
	limit := CrashLimit
	if proven {
		limit = ProvenCrashLimit
	}
	seen, counted := t.countCrashes(f)
	switch {
	case counted >= limit:
		return Refused
	case seen > 0:
		return Probation
	}
	return Clear
}

// countCrashes returns the number of crashes at which a request was in flight,
// and how many of them count towards CrashLimit.
func (t *Table) countCrashes(f Fingerprint) (seen, counted int) {
	var last time.Time
	servers := map[Server]struct{}{}
	for _, c := range t.crashes {
		sentAt, ok := c.inFlight[f]
		if !ok {
			continue
		}
		seen++
		_, repeated := servers[c.server]
		if sentAt.Before(last) || repeated && !c.completedSince || t.mayBeUnrelated(c, f) {
			continue
		}
		counted++
		servers[c.server] = struct{}{}
		last = c.at
	}
	return seen, counted
}

// mayBeUnrelated reports whether a crash had, or may have had, another cause than
// the request. Besides unrelated crashes, these are crashes at about the same time
// on more servers of the service than one request can crash before it is refused.
func (t *Table) mayBeUnrelated(c *crash, f Fingerprint) bool {
	if t.unrelated(c, f) {
		return true
	}
	nearby := map[Server]struct{}{}
	for _, o := range t.crashes {
		if o.at.Sub(c.at).Abs() <= commonCauseWindow && o.server.Service == c.server.Service {
			nearby[o.server] = struct{}{}
		}
	}
	return len(nearby) > CrashLimit
}

// unrelated reports whether a crash had another cause than the request: a fault
// of the server itself, or one that also crashed another server of the failure
// domain on which the request was not in flight.
func (t *Table) unrelated(c *crash, f Fingerprint) bool {
	if c.lateBreaks >= lateBreakThreshold {
		return true
	}
	return slices.ContainsFunc(t.crashes, func(o *crash) bool {
		return o.at.Sub(c.at).Abs() <= commonCauseWindow && o.server != c.server && o.server.Domain == c.server.Domain && !o.involves(f)
	})
}

// Hold returns for how much longer a request on probation is quarantined because
// CrashLimit or more servers that ran copies of it have just crashed together.
// After that, a further crash is outside commonCauseWindow of the others, so that
// it counts against the request.
func (t *Table) Hold(now time.Time, f Fingerprint) time.Duration {
	var hold time.Duration
	for _, c := range t.crashes {
		until := c.at.Add(commonCauseWindow)
		if c.involves(f) && !now.After(until) && !t.unrelated(c, f) && t.countNearbyServers(c, f) >= CrashLimit {
			hold = max(hold, until.Sub(now))
		}
	}
	return hold
}

// countNearbyServers returns the number of servers that crashed with the request
// in flight within commonCauseWindow of c.
func (t *Table) countNearbyServers(c *crash, f Fingerprint) int {
	servers := map[Server]struct{}{}
	for _, o := range t.crashes {
		if o.involves(f) && o.at.Sub(c.at).Abs() <= commonCauseWindow {
			servers[o.server] = struct{}{}
		}
	}
	return len(servers)
}

// Entry summarizes the crashes of one suspect.
type Entry struct {
	Fingerprint Fingerprint
	// Server is the one that crashed last.
	Server  Server
	Crashes int
	Since   time.Time
	State   State
}

// List returns the suspects, in the order of their first crash.
func (t *Table) List(now time.Time, proven func(Fingerprint) bool) []Entry {
	t.expire(now)
	entries := map[Fingerprint]*Entry{}
	for _, c := range t.crashes {
		for f := range c.inFlight {
			e := entries[f]
			if e == nil {
				e = &Entry{Fingerprint: f, Since: c.at, State: t.State(now, f, proven(f))}
				entries[f] = e
			}
			e.Server = c.server
			e.Crashes++
		}
	}
	out := make([]Entry, 0, len(entries))
	for _, e := range entries {
		out = append(out, *e)
	}
	slices.SortFunc(out, func(a, b Entry) int {
		return cmp.Or(a.Since.Compare(b.Since), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	return out
}
