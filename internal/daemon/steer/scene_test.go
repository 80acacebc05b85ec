package steer_test

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cassiatray/internal/core/document"
	"cassiatray/internal/daemon/entry"
	"cassiatray/internal/daemon/steertest"
)

// inForceBound is within what time an accepted change must be in force
// everywhere.
const inForceBound = 4 * time.Second

// watcher looks at every entry process for as long as a test runs and counts
// the times that a sequence went down.
type watcher struct {
	last     map[*entry.Feed]uint64
	reverted []string
}

func (w *watcher) look(c *steertest.Cluster) {
	for _, h := range c.Hosts {
		seq := h.Sequence()
		if seq < w.last[h.Feed] {
			w.reverted = append(w.reverted, fmt.Sprintf("%s from %d to %d", h.Name, w.last[h.Feed], seq))
		}
		w.last[h.Feed] = seq
	}
}

// scene is a running cluster on virtual time.
type scene struct {
	*testing.T
	*steertest.Cluster
	watcher watcher
}

// play runs a cluster with a first document in force everywhere.
func play(t *testing.T, domains, hosts int, act func(s *scene)) {
	// The library of streams keeps timers in a pool that outlives a bubble;
	// two collections empty it.
	runtime.GC()
	runtime.GC()
	synctest.Test(t, func(t *testing.T) {
		s := &scene{T: t, Cluster: steertest.New(domains, hosts, 300), watcher: watcher{last: map[*entry.Feed]uint64{}}}
		defer s.Stop()
		s.Start()
		s.apply()
		s.await("the first document", time.Minute, s.all(s.Hosts, 1))
		s.awaitMembers("all members", time.Minute)
		act(s)
		if len(s.watcher.reverted) > 0 {
			t.Fatalf("reverted: %v", s.watcher.reverted)
		}
	})
}

func (s *scene) apply() document.Head {
	s.Helper()
	h, err := s.ChangeBlock(context.Background(), 7)
	if err != nil {
		s.Fatal(err)
	}
	return h
}

// look is the interval at which conditions are judged.
const look = 50 * time.Millisecond

// await waits for a condition and returns how long it took.
func (s *scene) await(what string, bound time.Duration, cond func() bool) time.Duration {
	s.Helper()
	start := time.Now()
	for !cond() {
		if time.Since(start) > bound {
			s.Fatalf("%s: not within %s", what, bound)
		}
		s.pass(look)
	}
	return time.Since(start)
}

// pass lets time pass.
func (s *scene) pass(d time.Duration) {
	for ; d > 0; d -= look {
		time.Sleep(look)
		s.watcher.look(s.Cluster)
	}
}

// all is the condition that hosts have a sequence in force.
func (s *scene) all(hosts []*steertest.Host, sequence uint64) func() bool {
	return func() bool {
		for _, h := range hosts {
			if h.Sequence() < sequence {
				return false
			}
		}
		return true
	}
}

// sees reports whether look-ups at all of some hosts may name a number of
// hosts.
func (s *scene) sees(hosts []*steertest.Host, count int) bool {
	for _, h := range hosts {
		snap := h.Feed.Snapshot()
		if snap == nil || len(snap.Hosts) != count {
			return false
		}
	}
	return true
}

// awaitMembers waits until look-ups everywhere may name every host.
func (s *scene) awaitMembers(what string, bound time.Duration) {
	s.Helper()
	defer func() {
		if !s.sees(s.Hosts, len(s.Hosts)) {
			s.logViews()
		}
	}()
	s.await(what, bound, func() bool { return s.sees(s.Hosts, len(s.Hosts)) })
}

// logViews shows what each host sees of each domain.
func (s *scene) logViews() {
	for _, h := range s.Hosts {
		line := h.Name + ":"
		if snap := h.Feed.Snapshot(); snap != nil {
			line += fmt.Sprintf(" entry names %d;", len(snap.Hosts))
		}
		st := h.State()
		line += fmt.Sprintf(" lead %s by %s ready %t;", st.Lead, st.Choice, st.Ready)
		for _, d := range st.Domains {
			line += fmt.Sprintf(" %s/%s/%d:%d", d.Name, d.Lead, d.Version%1_000_000_000, len(d.Members))
		}
		s.Log(line)
	}
}

func (s *scene) lead(domain int) *steertest.Host {
	s.Helper()
	for _, h := range s.Of(domain) {
		if h.Leads() {
			return h
		}
	}
	s.Fatalf("domain %d has no lead", domain)
	return nil
}

// except returns all hosts but one.
func (s *scene) except(out *steertest.Host) []*steertest.Host {
	var list []*steertest.Host
	for _, h := range s.Hosts {
		if h != out {
			list = append(list, h)
		}
	}
	return list
}

// within returns a test of whether an address belongs to a domain.
func within(domain int) func(address string) bool {
	prefix := fmt.Sprintf("10.%d.", domain)
	return func(address string) bool { return strings.HasPrefix(address, prefix) }
}

// cutOff cuts a domain from all others.
func cutOff(domain int) steertest.Cut {
	in := within(domain)
	return func(from, to string) bool { return in(from) != in(to) }
}

func none(string, string) bool { return false }
