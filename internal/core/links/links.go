// Package links judges from the outcomes of exchanges with backend servers whether a gateway's
// own links to them are cut. It is pure: time is an argument.
package links

import (
	"maps"
	"slices"
	"time"
)

const (
	// minServers is at how many servers exchanges must fail, with none that succeeds
	// meanwhile, before the links are taken for cut: fewer may have failed by themselves.
	minServers = 3
	// evidenceLife is how long a failure counts.
	evidenceLife = 5 * time.Second
	// minReached is how many servers must be reached again before the links are taken for
	// whole: single ones may be reached over links that are cut in part.
	minReached = 2
)

// State is what is known of the links.
type State int

// Values of State.
const (
	// Whole means that nothing is known against them.
	Whole State = iota
	// Suspect means that exchanges fail at several servers and succeed at none.
	Suspect
	// Cut means that servers picked for the purpose cannot be reached either.
	Cut
)

func (s State) String() string { return [...]string{"whole", "suspect", "cut"}[s] }

// Monitor holds the state of a gateway's links. It is not safe for concurrent use.
type Monitor struct {
	state State
	// refused are the servers to which no connection could be opened since one was opened to
	// any, silent those that left bytes unacknowledged since any responded: connections that
	// are open may live on while new ones fail.
	refused, silent map[string]time.Time
	// reached are the servers that were reached since the links were last found cut.
	reached map[string]bool
}

// State returns the state of the links.
func (m *Monitor) State() State { return m.state }

// ConnectFailed records that no connection could be opened to one of the known servers. It
// reports whether that changed the state.
func (m *Monitor) ConnectFailed(server string, known int, now time.Time) bool {
	m.refused = note(m.refused, server, now)
	return m.judge(known, now)
}

// Silent records that one of the known servers left bytes unacknowledged for too long. It
// reports whether that changed the state.
func (m *Monitor) Silent(server string, known int, now time.Time) bool {
	m.silent = note(m.silent, server, now)
	return m.judge(known, now)
}

func note(set map[string]time.Time, server string, now time.Time) map[string]time.Time {
	if set == nil {
		set = map[string]time.Time{}
	}
	set[server] = now
	return set
}

func (m *Monitor) judge(known int, now time.Time) bool {
	if m.state != Whole {
		return false
	}
	failed := map[string]bool{}
	for _, set := range []map[string]time.Time{m.refused, m.silent} {
		for server, at := range set {
			if now.Sub(at) > evidenceLife {
				delete(set, server)
				continue
			}
			failed[server] = true
		}
	}
	if known == 0 || len(failed) < min(minServers, known) {
		return false
	}
	m.state = Suspect
	return true
}

// Responded records a response from a server; opened is set if it came on a new connection.
func (m *Monitor) Responded(opened bool) {
	clear(m.silent)
	if opened {
		clear(m.refused)
	}
}

// Failed returns the servers that could not be connected to or were silent, as far as that still
// counts, in order.
func (m *Monitor) Failed() []string {
	failed := maps.Clone(m.refused)
	if failed == nil {
		failed = map[string]time.Time{}
	}
	maps.Copy(failed, m.silent)
	return slices.Sorted(maps.Keys(failed))
}

// Quiet reports whether Responded changes nothing.
func (m *Monitor) Quiet() bool { return len(m.refused) == 0 && len(m.silent) == 0 }

// Reset forgets everything. It reports whether that changed the state.
func (m *Monitor) Reset() bool {
	changed := m.state != Whole
	*m = Monitor{}
	return changed
}

// Checked records how connections to servers picked for the purpose ended, while the links are
// not whole. It reports whether that changed the state.
func (m *Monitor) Checked(reached []string, known int) bool {
	if m.state == Whole {
		return false
	}
	if len(reached) == 0 {
		m.reached = nil
		changed := m.state != Cut
		m.state = Cut
		return changed
	}
	if m.reached == nil {
		m.reached = map[string]bool{}
	}
	for _, server := range reached {
		m.reached[server] = true
	}
	if len(m.reached) < min(minReached, known) {
		return false
	}
	return m.Reset()
}
