// Package fleet holds what is known of the backend servers: from their records
// in the platform's store and from what requests met on the way. It is pure:
// time is an argument.
package fleet

import (
	"time"
)

// State is what a server says of itself.
type State int

// Values of State.
const (
	Ready State = iota
	Draining
)

func (s State) String() string { return [...]string{"ready", "draining"}[s] }

// Record is what a backend server says of itself in the store.
type Record struct {
	ID      string
	Service string
	Address string
	Domain  string
	Version string
	Slots   int
	State   State
	// Cold is how much longer the server is cold, at the time of the record.
	Cold time.Duration
	// Beat counts the server's heartbeats within one life.
	Beat int64
	// Born is the start of this life, in Unix milliseconds; zero when not said.
	Born int64
}

// SameLife reports whether two records of one ID can be of one process.
func (r Record) SameLife(o Record) bool {
	return r.ID == o.ID && r.Address == o.Address && r.Service == o.Service && (r.Born == o.Born || r.Born == 0 || o.Born == 0)
}
