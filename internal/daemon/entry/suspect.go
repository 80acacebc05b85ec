package entry

import (
	"encoding/hex"
	"sync"
	"sync/atomic"
	"time"

	"cassiatray/api"
	"cassiatray/internal/core/suspect"
	peerv1 "cassiatray/proto/peer/v1"
)

// suspects records the requests that were in flight on servers when they crashed.
//
// mu guards table and turns; it is never held during I/O.
type suspects struct {
	// nonEmpty is set while the table may have entries. While it is not set, the request
	// path computes no fingerprints.
	nonEmpty atomic.Bool

	mu    sync.Mutex
	table suspect.Table
	// turns are the turns that this host grants as a coordinator, to all hosts.
	turns suspect.Turns

	// completed holds the requests that ran to completion through this host.
	completed suspect.Completed
}

// maxProvenBody bounds the bodies of requests that are remembered as completed, in bytes: longer
// ones hardly come again, and cost more to hash.
const maxProvenBody = 4 << 10

func newSuspects() *suspects { return new(suspects) }

// fingerprint returns that of the request. Callers address services by their names.
func (r *request) fingerprint() suspect.Fingerprint {
	id := suspect.Identity{Authority: r.svc.Name, Method: r.received.Method, Path: r.received.Path, Query: r.received.RawQuery, Body: r.received.Body}
	return id.Fingerprint()
}

// state returns how to treat a request, and for how much longer it is quarantined.
func (s *suspects) state(now time.Time, f suspect.Fingerprint) (suspect.State, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.table.State(now, f, s.isProven(f))
	s.nonEmpty.Store(!s.table.Empty())
	if state != suspect.Probation {
		return state, 0
	}
	return state, s.table.Hold(now, f)
}

// isProven reports whether a request is known to have run to completion.
func (s *suspects) isProven(f suspect.Fingerprint) bool { return s.completed.Has(f.Key()) }

func suspectError(f suspect.Fingerprint) *api.Error {
	msg := "servers that ran request " + hex.EncodeToString(f[:4]) + " crashed; it is refused for a time"
	return &api.Error{
		Code: api.CodeSuspect, Message: msg, Outcome: api.OutcomeNotRun, RetryAfterMillis: suspect.Keep.Milliseconds(),
	}
}

// quarantineError is the error for a suspect that is quarantined, because copies of it
// crashed several servers at about the same time.
func quarantineError(f suspect.Fingerprint, remaining time.Duration) *api.Error {
	out := suspectError(f)
	out.RetryAfterMillis = remaining.Milliseconds()
	return out
}

// recordCrash records that a request was in flight when a server crashed, and reports
// whether this was not yet known.
func (s *suspects) recordCrash(now time.Time, f suspect.Fingerprint, server suspect.Server, began time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nonEmpty.Store(true)
	return s.table.Crash(now, f, server, began)
}

// recordCompletion records that a server ran a request to completion.
func (s *suspects) recordCompletion(now time.Time, server suspect.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Ran(now, server)
}

func (s *suspects) completedBetweenCrashes(server suspect.Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Worked(server)
}

func (s *suspects) clear(now time.Time, f suspect.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Clear(now, f)
}

func (s *suspects) list(now time.Time) []suspect.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.List(now, s.isProven)
}

// clearSuspect clears a suspect that ran to completion, on this host and on the others.
func (n *Node) clearSuspect(r *request, out result) {
	if out.failure != nil {
		return
	}
	f := r.fingerprint()
	if n.suspects.clear(n.clock.Now(), f) {
		go n.broadcastSuspect(&peerv1.Suspect{Fingerprint: f[:], Cleared: true})
	}
}

// reportCrash records a request that was in flight when a server crashed, and sends the
// report to other hosts before the caller is answered and can resend the request.
func (n *Node) reportCrash(f suspect.Fingerprint, service, address string, began time.Time) {
	server := n.serverByAddress(service, address)
	now := n.clock.Now()
	if !n.suspects.recordCrash(now, f, server, began) {
		return
	}
	n.log.WithField("server", server.Name).Warn("Server crashed with a request in flight.")
	n.broadcastSuspect(&peerv1.Suspect{
		Fingerprint: f[:], Service: service, Server: server.Name, Domain: server.Domain,
		RunMicros: now.Sub(began).Microseconds(), Worked: n.suspects.completedBetweenCrashes(server),
	})
}

func (n *Node) serverByAddress(service, address string) suspect.Server {
	out := suspect.Server{Service: service, Name: address, Domain: n.cfg.Domain}
	snap := n.feed.Snapshot()
	if snap == nil || snap.Index.Service(service) == nil {
		return out
	}
	for _, b := range snap.Index.Service(service).Servers {
		if b.Address.String() == address {
			return suspect.Server{Service: service, Name: b.Name, Domain: b.Domain}
		}
	}
	return out
}

// SuspectState describes one suspect in a dump.
type SuspectState struct {
	Fingerprint string    `json:"fingerprint"`
	Service     string    `json:"service"`
	Server      string    `json:"server"`
	Crashes     int       `json:"crashes"`
	Since       time.Time `json:"since"`
	State       string    `json:"state"`
}

func (n *Node) dumpSuspects() []SuspectState {
	out := []SuspectState{}
	for _, e := range n.suspects.list(n.clock.Now()) {
		out = append(out, SuspectState{
			Fingerprint: hex.EncodeToString(e.Fingerprint[:]), Service: e.Server.Service, Server: e.Server.Name,
			Crashes: e.Crashes, Since: e.Since, State: e.State.String(),
		})
	}
	return out
}
