// Package suspect finds requests that crash the backend servers that run them.
// It is pure: time is an argument.
//
// A request in flight when its server's connection broke is a suspect. So are
// all others that were in flight there, and when a failure domain dies a great
// many are. Three rules tell them apart: a run to the end clears a request; a
// crash is not held against a request when another server of the same failure
// domain crashed at about the same time without it; and a request is refused
// only after a second crash, which a suspect can cause only alone, since
// suspects run one at a time.
package suspect

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"
)

// Fingerprint identifies like requests.
type Fingerprint [sha256.Size]byte

// Of returns the fingerprint of a request. Callers choose its parts, so each
// is hashed with its length.
func Of(service, method, path, query string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(service), []byte(method), []byte(path), []byte(query), body} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	return Fingerprint(h.Sum(nil))
}

// Limits of what is kept and when it counts.
const (
	// CrashLimit is how many crashes make a request refused.
	CrashLimit = 2
	// Keep is how long a crash is remembered.
	Keep = 10 * time.Minute
	// sameCrash joins what was in flight on one server when it crashed.
	sameCrash = time.Second
	// sameCause is how near in time crashes of servers of one failure domain
	// are taken to have one cause.
	sameCause = 2 * time.Second
	// maxCrashes and maxInFlight bound the crashes kept and the requests held
	// against each.
	maxCrashes  = 128
	maxInFlight = 64
)

// State says how a request is to be treated.
type State int

// Values of State.
const (
	// Clear means that nothing is held against the request.
	Clear State = iota
	// Probation means that the request runs one at a time.
	Probation
	// Refused means that the request is not run.
	Refused
)

func (s State) String() string { return [...]string{"clear", "probation", "refused"}[s] }

// Server is a backend server and its failure domain.
type Server struct{ Service, Name, Domain string }

// crash is one crash of one server with the requests seen in flight on it.
type crash struct {
	server   Server
	at       time.Time
	inFlight map[Fingerprint]struct{}
}

func (c *crash) has(f Fingerprint) bool {
	_, ok := c.inFlight[f]
	return ok
}

// Table holds crashes. It is not safe for concurrent use.
type Table struct{ crashes []*crash }

// Empty reports whether nothing is held against any request.
func (t *Table) Empty() bool { return len(t.crashes) == 0 }

// Crash records that a request was in flight when a server crashed. It reports
// whether that was news.
func (t *Table) Crash(now time.Time, f Fingerprint, s Server) bool {
	t.expire(now)
	c := t.find(now, s)
	if c.has(f) || len(c.inFlight) >= maxInFlight {
		return false
	}
	c.inFlight[f] = struct{}{}
	return true
}

func (t *Table) find(now time.Time, s Server) *crash {
	for _, c := range t.crashes {
		if c.server == s && now.Sub(c.at) < sameCrash {
			return c
		}
	}
	c := &crash{server: s, at: now, inFlight: map[Fingerprint]struct{}{}}
	if len(t.crashes) == maxCrashes {
		t.crashes = slices.Delete(t.crashes, 0, 1)
	}
	t.crashes = append(t.crashes, c)
	return c
}

// Clear forgets all that is held against a request that ran to its end. It
// reports whether there was anything.
func (t *Table) Clear(now time.Time, f Fingerprint) bool {
	t.expire(now)
	found := false
	for _, c := range t.crashes {
		if c.has(f) {
			delete(c.inFlight, f)
			found = true
		}
	}
	return found
}

func (t *Table) expire(now time.Time) {
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool { return now.Sub(c.at) > Keep })
}

// State returns how to treat a request.
func (t *Table) State(now time.Time, f Fingerprint) State {
	t.expire(now)
	seen, counted := t.count(f)
	switch {
	case counted >= CrashLimit:
		return Refused
	case seen > 0:
		return Probation
	}
	return Clear
}

// count returns the crashes that a request was in flight at, and how many of
// them are held against it.
func (t *Table) count(f Fingerprint) (seen, counted int) {
	for _, c := range t.crashes {
		if !c.has(f) {
			continue
		}
		seen++
		if !t.excused(c, f) {
			counted++
		}
	}
	return seen, counted
}

// excused reports whether another server of the failure domain crashed at
// about the same time without the request.
func (t *Table) excused(c *crash, f Fingerprint) bool {
	for _, o := range t.crashes {
		if o.server != c.server && o.server.Domain == c.server.Domain && !o.has(f) && o.at.Sub(c.at).Abs() <= sameCause {
			return true
		}
	}
	return false
}

// Entry is what is held against one request.
type Entry struct {
	Fingerprint Fingerprint
	// Server is the last that crashed.
	Server  Server
	Crashes int
	Since   time.Time
	State   State
}

// List returns the suspects, the oldest first.
func (t *Table) List(now time.Time) []Entry {
	t.expire(now)
	entries := map[Fingerprint]*Entry{}
	for _, c := range t.crashes {
		for f := range c.inFlight {
			e := entries[f]
			if e == nil {
				e = &Entry{Fingerprint: f, Since: c.at, State: t.State(now, f)}
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
