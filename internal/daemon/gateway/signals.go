package gateway

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/port"
)

// What a server says of itself in responses decides in this order whether it gets a request
// (evaluateServer): a server that leaves gets none, one that asks for a pause none until the
// pause ends, one that names a limit one for each permit; then its health, its coldness and
// its load count.

const (
	// maxPause bounds the pause that a server may ask for.
	maxPause = 10 * time.Minute
	// lastUseShare is the part of the drain bound for which a server that says that it leaves
	// still gets requests that no other server can take.
	lastUseShare = 0.5
	// leavingTTL is how long the word of a server that leaves is remembered beyond its
	// record: longer than any server serves on.
	leavingTTL = 10 * time.Minute
	// maxUnknownHeaders bounds the names of unknown headers that are told apart.
	maxUnknownHeaders = 32
)

// leavingWord is a server's word that its process leaves.
type leavingWord struct {
	// born is the start of the process; zero if its record has none.
	born int64
	at   time.Time
}

// recordSignals records what a response says about its server.
func (n *Node) recordSignals(s *server, meta port.ServerMeta, now time.Time) {
	if meta.OtherInstance {
		return
	}
	id := s.rec().ID
	for _, name := range meta.Unknown {
		n.recordUnknownHeader(name, id)
	}
	for _, err := range meta.SignalErrors {
		n.metrics.signals.WithLabelValues("unreadable").Inc()
		n.log.WithField("server", id).WithError(err).Warn("Header of a server cannot be read; it says nothing.")
	}
	if meta.Leaving && s.leave(now) {
		n.metrics.signals.WithLabelValues("leaving").Inc()
		n.keeper.ReportLeaving(id, s.rec().Born, now)
	}
	if meta.Pause > 0 {
		pause := min(meta.Pause, maxPause)
		n.metrics.signals.WithLabelValues("pause").Inc()
		if s.pause(now.Add(pause)) {
			n.log.WithFields(logrus.Fields{"server": id, "pause_ms": pause.Milliseconds(), "asked_ms": meta.Pause.Milliseconds()}).Info("Server asks for a pause.")
		}
	}
}

// unknownHeaders are the names of headers that were met and that this version does not know.
type unknownHeaders struct {
	mu    sync.Mutex
	names map[string]bool
}

// add returns the name to count a header by, and whether it was not met before.
func (u *unknownHeaders) add(name string) (label string, first bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.names[name]:
		return name, false
	case len(u.names) >= maxUnknownHeaders:
		return "other", false
	case u.names == nil:
		u.names = map[string]bool{}
	}
	u.names[name] = true
	return name, true
}

// recordUnknownHeader leaves a trace of what servers say and nobody here listens to.
func (n *Node) recordUnknownHeader(name, server string) {
	label, first := n.unknownHeaders.add(name)
	n.metrics.unknown.WithLabelValues(label).Inc()
	if first {
		n.log.WithFields(logrus.Fields{"header": name, "server": server}).Warn("Servers send a header that this version does not know.")
	}
}

// leave records that the server said that it leaves. It reports whether that is new.
func (s *server) leave(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leavingSince.IsZero() {
		return false
	}
	s.leavingSince = now
	return true
}

// isLeaving reports whether the server said that it leaves.
func (s *server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.leavingSince.IsZero()
}

// leftFor returns how long ago the server said that it leaves.
func (s *server) leftFor(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.leavingSince)
}

// pause records until when the server wants no requests. It reports whether it wanted some
// until now.
func (s *server) pause(until time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	begins := !s.resuming
	s.resuming = true
	if until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
	return begins
}

// pauseLeft returns how much longer the server wants no requests, and whether it gets one at
// a time: until it has served one after a pause, more would be the burst that it turned away.
func (s *server) pauseLeft(now time.Time) (left time.Duration, oneAtATime bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, s.pausedUntil.Sub(now)), s.resuming
}

// resume records that the server served a request that was sent at a time.
func (s *server) resume(sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resuming && !sent.Before(s.pausedUntil) {
		s.resuming = false
	}
}

// ReportLeaving tells the other gateways that a server says that it leaves.
func (k *Keeper) ReportLeaving(server string, born int64, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.noteLeaving(server, born, now)
	k.report(fleet.Report{Server: server, Leaving: true, Born: born, At: now})
	k.log.WithFields(logrus.Fields{"server": server, "source": k.origin}).Info("Server says that it leaves.")
}

// takeLeavingReport takes in that a server says that it leaves. The caller holds k.mu.
func (k *Keeper) takeLeavingReport(rep fleet.Report, now time.Time) {
	k.noteLeaving(rep.Server, rep.Born, rep.At)
	if s := k.servers[rep.Server]; s != nil && k.saidToLeave(s.rec()) && s.leave(rep.At) {
		k.log.WithFields(logrus.Fields{"server": rep.Server, "source": rep.Origin, "age_ms": now.Sub(rep.At).Milliseconds()}).
			Info("Server says that it leaves.")
	}
}

// noteLeaving remembers the word of a process that leaves. The caller holds k.mu.
func (k *Keeper) noteLeaving(server string, born int64, at time.Time) {
	for id, w := range k.leaving {
		if at.Sub(w.at) > leavingTTL {
			delete(k.leaving, id)
		}
	}
	if w, ok := k.leaving[server]; !ok || born >= w.born {
		k.leaving[server] = leavingWord{born: born, at: at}
	}
}

// saidToLeave reports whether the process of a record has said that it leaves: a later start
// is not bound by it. The caller holds k.mu.
func (k *Keeper) saidToLeave(rec *fleet.Record) bool {
	w, ok := k.leaving[rec.ID]
	return ok && (rec.Born <= w.born || rec.Born == 0 || w.born == 0)
}
