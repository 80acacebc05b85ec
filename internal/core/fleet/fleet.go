// Package fleet holds the state of the backend servers that a gateway sends
// requests to: their records in the platform's store, the health observed by
// requests and checks, and the crashes that requests are suspected of. It is
// pure: time is an argument.
package fleet

import (
	"time"
)

// State is the state that a server publishes in its record.
type State int

// Values of State.
const (
	Ready State = iota
	Draining
)

func (s State) String() string { return [...]string{"ready", "draining"}[s] }

// Record is a backend server's own entry in the store.
type Record struct {
	ID      string
	Service string
	Address string
	Domain  string
	Version string
	Slots   int
	State   State
	// Cold is how much longer the server is starting cold, counted from the
	// time of the record.
	Cold time.Duration
	// Beat counts the heartbeats of the server process since it started.
	Beat int64
	// Born is the start time of the server process, in Unix milliseconds; zero
	// if the record has none.
	Born int64
}

// SameLife reports whether two records may come from the same server process. A
// record without a start time matches any.
func (r Record) SameLife(o Record) bool {
	return r.ID == o.ID && r.Address == o.Address && r.Service == o.Service && (r.Born == o.Born || r.Born == 0 || o.Born == 0)
}

// Replaces reports whether r is of a server process that started later than o's, at its address.
func (r Record) Replaces(o Record) bool {
	return r.Address == o.Address && !r.SameLife(o) && r.Born > o.Born
}

// countdownError is by how much the ends of one cold spell may differ that follow from two
// records of it: they are read up to a pause between two watches after they were written.
const countdownError = 500 * time.Millisecond

// Unchanged reports whether a later record of a server differs from a held one in nothing
// but heartbeats and the passing of time. Both come with the time at which they were read:
// a server that is cold counts down, and the same value much later is of another cold spell.
func Unchanged(held Record, heldRead time.Time, later Record, laterRead time.Time) bool {
	restarted := later.Beat < held.Beat
	colder := later.Cold > held.Cold || later.Cold > 0 && laterRead.Add(later.Cold).Sub(heldRead.Add(held.Cold)) > countdownError
	held.Cold, later.Cold, held.Beat, later.Beat = 0, 0, 0, 0
	return !restarted && !colder && held == later
}
