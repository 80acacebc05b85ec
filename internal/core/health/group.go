// Package health decides which backend servers may be given new work, and how
// much, from signs of draining, failed requests and restarts. It is pure: time
// is an argument.
//
// Leaving: the earliest sign from any source counts, and no later sign of
// health reverts it. Only a restart does: a boot ID that differs from that of
// the leaving process, or an answer after a refused connection. A source that
// repeats its report, such as a stale list, counts once for each change of the
// report.
//
// Ejection: a server that fails several consecutive requests gets no work for a
// time that grows with each ejection, but at most half of the group is ejected.
// Reported load and health are not considered for either.
package health

import "time"

// Limits of passive ejection.
const (
	// ejectAfter is how many consecutive failures eject a server.
	ejectAfter = 3
	// ejectBase is the duration of the first ejection; each further one without
	// a success in between takes twice as long, up to ejectMax.
	ejectBase = 2 * time.Second
	ejectMax  = 60 * time.Second
)

// Cause is the reason why a server counts as leaving.
type Cause string

// Values of Cause.
const (
	CauseDraining Cause = "draining"
	CauseListed   Cause = "listed"
	CauseRefused  Cause = "refused"
	CauseTold     Cause = "told"
)

// State is the observed state of one server.
type State struct {
	Boot string
	// Leaving is the first cause, empty for a server that is not leaving; Since
	// is when that was observed.
	Leaving Cause
	Since   time.Time
	// LeftBoot is the boot ID of the leaving process, empty if unknown.
	LeftBoot string
	// EjectedUntil is when the last ejection ends.
	EjectedUntil time.Time

	connRefused bool
	failures    int
	ejections   int
	// rampStart is when the server's slow start began.
	rampStart time.Time
	// reportedLeaving is the last report of each source.
	reportedLeaving map[string]bool
}

// Group is the servers of one service in one failure domain. It is not safe for
// concurrent use.
type Group struct{ servers map[string]*State }

// NewGroup returns an empty group.
func NewGroup() *Group { return &Group{servers: map[string]*State{}} }

// Keep drops all servers but the named ones, and adds the named ones that are
// missing.
func (g *Group) Keep(names []string) {
	kept := make(map[string]*State, len(names))
	for _, name := range names {
		kept[name] = g.state(name)
	}
	g.servers = kept
}

func (g *Group) state(name string) *State {
	s := g.servers[name]
	if s == nil {
		s = &State{reportedLeaving: map[string]bool{}}
		g.servers[name] = s
	}
	return s
}

// Answered records a response of the server itself, to a request or a probe:
// its boot ID, empty if it gave none, and whether it reported that it is
// draining.
func (g *Group) Answered(now time.Time, name, boot string, draining bool) {
	s := g.state(name)
	if s.connRefused || differentBoots(boot, s.Boot) || differentBoots(boot, s.LeftBoot) {
		s.markRestarted(now)
	}
	if boot != "" {
		s.Boot = boot
	}
	if draining {
		s.markLeaving(now, CauseDraining, s.Boot)
	}
}

// differentBoots reports whether two boot IDs are both known and differ.
func differentBoots(a, b string) bool { return a != "" && b != "" && a != b }

func (s *State) markRestarted(now time.Time) {
	s.Leaving, s.Since, s.LeftBoot = "", time.Time{}, ""
	s.connRefused, s.failures, s.ejections = false, 0, 0
	s.EjectedUntil = time.Time{}
	s.rampStart = now
}

func (s *State) markLeaving(now time.Time, cause Cause, boot string) {
	if s.Leaving == "" {
		s.Leaving, s.Since, s.LeftBoot = cause, now, boot
	}
}

// Refused records a refused connection: no process is listening.
func (g *Group) Refused(now time.Time, name string) {
	s := g.state(name)
	s.connRefused = true
	s.markLeaving(now, CauseRefused, s.Boot)
}

// Told records what a source, such as the platform's list or another entry
// host, reports about a server. Boot is the boot ID that the report is about,
// or empty. Only a change to leaving counts, and none about an earlier process.
func (g *Group) Told(now time.Time, name, source, boot string, leaving bool, cause Cause) {
	s := g.state(name)
	wasLeaving := s.reportedLeaving[source]
	s.reportedLeaving[source] = leaving
	if !leaving || wasLeaving || differentBoots(boot, s.Boot) {
		return
	}
	if boot == "" {
		boot = s.Boot
	}
	s.markLeaving(now, cause, boot)
}

// Succeeded records a request that got a complete response.
func (g *Group) Succeeded(name string) {
	s := g.state(name)
	s.failures, s.ejections = 0, 0
}

// Failed records a request that failed at the server or on the way, and reports
// whether the server was ejected for it.
func (g *Group) Failed(now time.Time, name string) bool {
	s := g.state(name)
	s.failures++
	if s.failures < ejectAfter || now.Before(s.EjectedUntil) || !g.mayEject(now, s) {
		return false
	}
	s.EjectedUntil = now.Add(min(ejectBase<<min(s.ejections, 10), ejectMax))
	s.rampStart = s.EjectedUntil
	s.ejections++
	s.failures = 0
	return true
}

// mayEject reports whether at least half of the group, rounded up, would remain
// neither ejected nor leaving.
func (g *Group) mayEject(now time.Time, candidate *State) bool {
	available := 0
	for _, s := range g.servers {
		if s != candidate && s.Leaving == "" && !now.Before(s.EjectedUntil) {
			available++
		}
	}
	return 2*available >= len(g.servers)
}

// Leaving reports whether a server counts as leaving.
func (g *Group) Leaving(name string) bool {
	s := g.servers[name]
	return s != nil && s.Leaving != ""
}

// Start configures the slow start of a service's new server processes.
type Start struct {
	// Slots is the initial number of slots; zero means one.
	Slots int
	// Warmup is the time over which the number of slots rises linearly to the
	// full number.
	Warmup time.Duration
}

// Slots returns how many of a server's slots may be used now.
func (g *Group) Slots(now time.Time, name string, slots int, start Start) int {
	s := g.servers[name]
	switch {
	case s == nil:
		return slots
	case s.Leaving != "" || now.Before(s.EjectedUntil):
		return 0
	case s.rampStart.IsZero() || now.Sub(s.rampStart) >= start.Warmup:
		return slots
	}
	initial := min(max(1, start.Slots), slots)
	return initial + int(int64(slots-initial)*int64(now.Sub(s.rampStart))/int64(start.Warmup))
}

// States returns a copy of the state of each server.
func (g *Group) States() map[string]State {
	out := make(map[string]State, len(g.servers))
	for name, s := range g.servers {
		out[name] = *s
	}
	return out
}
