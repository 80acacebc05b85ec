// Package health decides which backend servers may be given new work, and how
// much: from signs of leaving, failed requests and restarts. It is pure: time
// is an argument.
//
// Leaving: the earliest sign wins, from whoever it comes, and no sign of health
// undoes it. Only a restart does: a boot ID other than the one that left, or an
// answer after a refused connection. A teller that repeats itself, such as a
// list that lags, counts once for each change of what it says.
//
// Ejection: a server that fails some requests in a row gets no work for a
// while, longer each time, but never more than half of the group is out by
// ejection. Reported load and health take no part in either.
package health

import "time"

// Bounds of passive ejection.
const (
	// ejectAfter is how many failures in a row eject a server.
	ejectAfter = 3
	// ejectBase is the time of the first ejection; each further one in a row
	// takes twice as long, up to ejectMax.
	ejectBase = 2 * time.Second
	ejectMax  = 60 * time.Second
)

// Cause says why a server counts as leaving.
type Cause string

// Values of Cause.
const (
	CauseDraining Cause = "draining"
	CauseListed   Cause = "listed"
	CauseRefused  Cause = "refused"
	CauseTold     Cause = "told"
)

// State is what is known of one server.
type State struct {
	Boot string
	// Leaving is the first cause, empty for a server that stays; Since is when
	// it was seen.
	Leaving Cause
	Since   time.Time
	// LeftBoot is the boot ID of the process that leaves, empty when unknown.
	LeftBoot string
	// EjectedUntil is when the last ejection ends.
	EjectedUntil time.Time

	refused   bool
	failures  int
	ejections int
	started   time.Time
	told      map[string]bool
}

// Group is the servers of one service in one failure domain. It is not safe
// for concurrent use.
type Group struct{ servers map[string]*State }

// NewGroup returns a group in which nothing is known.
func NewGroup() *Group { return &Group{servers: map[string]*State{}} }

// Keep forgets all servers but the named ones, and adds those.
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
		s = &State{told: map[string]bool{}}
		g.servers[name] = s
	}
	return s
}

// Answered takes in an answer of the server itself, to a request or a probe:
// its boot ID, empty when it gave none, and whether it said that it drains.
func (g *Group) Answered(now time.Time, name, boot string, draining bool) {
	s := g.state(name)
	if s.refused || differ(boot, s.Boot) || differ(boot, s.LeftBoot) {
		s.restart(now)
	}
	if boot != "" {
		s.Boot = boot
	}
	if draining {
		s.leave(now, CauseDraining, s.Boot)
	}
}

// differ reports whether two boot IDs are known and of different processes.
func differ(a, b string) bool { return a != "" && b != "" && a != b }

func (s *State) restart(now time.Time) {
	s.Leaving, s.Since, s.LeftBoot = "", time.Time{}, ""
	s.refused, s.failures, s.ejections = false, 0, 0
	s.EjectedUntil = time.Time{}
	s.started = now
}

func (s *State) leave(now time.Time, cause Cause, boot string) {
	if s.Leaving == "" {
		s.Leaving, s.Since, s.LeftBoot = cause, now, boot
	}
}

// Refused takes in a refused connection: no process listens.
func (g *Group) Refused(now time.Time, name string) {
	s := g.state(name)
	s.refused = true
	s.leave(now, CauseRefused, s.Boot)
}

// Told takes in what a teller says of a server, such as the platform's list or
// another entry host. Boot is the boot ID that the teller means, or empty. Only
// a change to leaving counts, and none about a process that is gone.
func (g *Group) Told(now time.Time, name, teller, boot string, leaving bool, cause Cause) {
	s := g.state(name)
	before := s.told[teller]
	s.told[teller] = leaving
	if !leaving || before || differ(boot, s.Boot) {
		return
	}
	if boot == "" {
		boot = s.Boot
	}
	s.leave(now, cause, boot)
}

// Succeeded takes in a request that ended with a whole answer.
func (g *Group) Succeeded(name string) {
	s := g.state(name)
	s.failures, s.ejections = 0, 0
}

// Failed takes in a request that failed at the server or on the way, and
// reports whether the server was ejected for it.
func (g *Group) Failed(now time.Time, name string) bool {
	s := g.state(name)
	s.failures++
	if s.failures < ejectAfter || now.Before(s.EjectedUntil) || !g.mayEject(now, s) {
		return false
	}
	s.EjectedUntil = now.Add(min(ejectBase<<min(s.ejections, 10), ejectMax))
	s.started = s.EjectedUntil
	s.ejections++
	s.failures = 0
	return true
}

// mayEject keeps at least half of the group, rounded up, free of ejection and
// leaving.
func (g *Group) mayEject(now time.Time, candidate *State) bool {
	in := 0
	for _, s := range g.servers {
		if s != candidate && s.Leaving == "" && !now.Before(s.EjectedUntil) {
			in++
		}
	}
	return 2*in >= len(g.servers)
}

// Leaving reports whether a server counts as leaving.
func (g *Group) Leaving(name string) bool {
	s := g.servers[name]
	return s != nil && s.Leaving != ""
}

// Start is how a service's new server processes begin.
type Start struct {
	// Slots is how many slots a process is given at first; zero means one.
	Slots int
	// Warmup is the time over which it reaches them all, in a line.
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
	case s.started.IsZero() || now.Sub(s.started) >= start.Warmup:
		return slots
	}
	cold := min(max(1, start.Slots), slots)
	return cold + int(int64(slots-cold)*int64(now.Sub(s.started))/int64(start.Warmup))
}

// States returns a copy of what is known, by server.
func (g *Group) States() map[string]State {
	out := make(map[string]State, len(g.servers))
	for name, s := range g.servers {
		out[name] = *s
	}
	return out
}
