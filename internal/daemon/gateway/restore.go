package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/mirror"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

const (
	// restoreSettle is how long after the store came back from a copy its records are in
	// doubt: operators, servers and gateways write theirs again, and the leases of those that
	// are gone end.
	restoreSettle = 4 * time.Second
	// lapseConfirm is how long before the end of its grace the store must have been reached
	// for a record to be gone: the age of what a quiet watch confirms.
	lapseConfirm = time.Second
	// departedTTL is how long a server that is gone is remembered, to recognize its record in
	// a copy. Copies are some seconds old.
	departedTTL = time.Minute
)

// restore is what a keeper knows of the last time that the store came back from a copy.
type restore struct {
	at time.Time
	// revision is up to which records may be the copy's; later ones were written since.
	revision uint64
	// doubted are the keys whose records in the copy are older than what is known.
	doubted map[string]bool
	// departed are the servers that are gone, by key.
	departed map[string]departure
}

// departure is when a server was gone, and the start of its last process that was known.
type departure struct {
	at   time.Time
	born int64
}

// lapsedRecord is a removed record that still counts until a time, and for how long in all.
type lapsedRecord struct {
	mirror.Record
	until time.Time
	grace time.Duration
}

// noteRestore notes that the store came back from a copy if a revision that is to be taken
// in says so. What is known from before stays until it is written again. The caller holds
// k.mu.
func (k *Keeper) noteRestore(revision uint64, now time.Time) {
	have := k.mirror.Revision()
	if have == 0 || port.Era(revision) <= port.Era(have) {
		return
	}
	k.restore.at, k.restore.revision = now, revision
	k.extendLag(recordLag, "restore", now)
	for key, r := range k.lapsed {
		r.until = now.Add(r.grace)
		k.lapsed[key] = r
	}
	k.log.WithFields(logrus.Fields{"era": port.Era(revision), "from_revision": have, "revision": revision}).
		Warn("Store came back from a copy.")
}

// isCopied reports whether a record may be the copy's, or missing in it.
func (r *restore) isCopied(rec mirror.Record) bool { return rec.Revision <= r.revision }

// doubt holds a record of the copy back until the store has settled.
func (r *restore) doubt(key string) {
	if r.doubted == nil {
		r.doubted = map[string]bool{}
	}
	r.doubted[key] = true
}

// depart remembers a server that is gone.
func (r *restore) depart(key string, d departure) {
	if r.departed == nil {
		r.departed = map[string]departure{}
	}
	r.departed[key] = d
}

// forget drops departures that no copy shows any more.
func (r *restore) forget(now time.Time) {
	for key, d := range r.departed {
		if now.Sub(d.at) > departedTTL {
			delete(r.departed, key)
		}
	}
}

// isOutdatedServer reports whether a server's record in the copy is older than what is known
// of the server: servers count their heartbeats, and start anew with a later start time.
func (k *Keeper) isOutdatedServer(old *server, rec fleet.Record, r mirror.Record) bool {
	if !k.restore.isCopied(r) {
		return false
	}
	if d, ok := k.restore.departed[r.Key]; ok && rec.Born <= d.born {
		return true
	}
	if old == nil {
		return false
	}
	held := old.rec()
	if !held.SameLife(rec) {
		return rec.Born < held.Born
	}
	return rec.Beat <= held.Beat || held.State == fleet.Draining && rec.State != fleet.Draining
}

// isCopiedMember reports whether a gateway's record in the store was written before the
// store came back from a copy. Gateways that run write theirs again.
func isCopiedMember(m *peerv1.GatewayMember, r mirror.Record) bool {
	return m.StoreEra < port.Era(r.Revision)
}

// takeLaterConfig takes in the configuration that is in force at a source, if it is later than
// the one here or there is none here. The caller holds k.mu.
func (k *Keeper) takeLaterConfig(r mirror.Record, source string, now time.Time) {
	held := k.config
	k.takeConfig(r, logrus.Fields{"key": r.Key, "revision": r.Revision, "source": source, "age_ms": now.Sub(r.Read).Milliseconds()}, now)
	if k.config != held {
		k.placementChanged = true
		k.wake()
		k.publish(now)
	}
}

// lapse keeps a removed record for a while. The caller holds k.mu.
func (k *Keeper) lapse(r mirror.Record, grace time.Duration, fields logrus.Fields, now time.Time) {
	k.lapsed[r.Key] = lapsedRecord{r, now.Add(grace), grace}
	k.log.WithFields(fields).Info("Record lapsed while the store was away; waiting for it.")
}

// isMissingInCopy reports whether a record was removed only because the copy lacks it.
func (k *Keeper) isMissingInCopy(r mirror.Record) bool { return r.Deleted && k.restore.isCopied(r) }

// endLapses removes what has lapsed and was not written again, and takes in the records of a
// copy that were in doubt and still stand. It reports whether there were any. The caller
// holds k.mu.
func (k *Keeper) endLapses(now time.Time) bool {
	changed := false
	for key, r := range k.lapsed {
		// While the store is away again nobody can write.
		if now.Before(r.until) || k.mirror.Synced().Before(r.until.Add(-lapseConfirm)) {
			continue
		}
		k.remove(r.Record, logrus.Fields{"key": key, "revision": r.Revision}, now)
		changed, k.placementChanged = true, true
	}
	if len(k.restore.doubted) == 0 || now.Sub(k.restore.at) < restoreSettle {
		return changed
	}
	doubted := k.restore.doubted
	k.restore.doubted, k.restore.revision = nil, 0
	for key := range doubted {
		if r, ok := k.mirror.Get(key); ok {
			k.takeOne(r, "copy", now)
			changed = true
		}
	}
	return changed
}
