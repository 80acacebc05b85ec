// Package mirror holds a local copy of the store records that gateways share.
// Records come from the store or from other gateways and are ordered by the
// store's revision, so they may arrive in any order and more than once. It is
// pure: time is an argument.
package mirror

import (
	"strings"
	"time"
)

// Record is the state of one key of the store: a value or a removal.
type Record struct {
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
	// Read is when the record was read from the store, by this process's clock.
	Read time.Time
}

// tombstoneTTL is how long removals are kept, so that older records that arrive
// late do not restore a removed key. It is far above the time that a record can
// be in flight between gateways.
const tombstoneTTL = time.Minute

// purgesPerTTL is how often within tombstoneTTL old removals are purged.
const purgesPerTTL = 10

// entry is the latest record of a key, and the last one that was forwarded to other
// gateways as a change.
type entry struct {
	Record
	forwarded Record
}

// Mirror is a copy of the store. It is not safe for concurrent use.
type Mirror struct {
	// Same reports whether a later record of a key differs only in ways that need not
	// be forwarded.
	Same             func(held, later Record) bool
	entries          map[string]*entry
	completeRevision uint64
	// purgedRevision is the highest revision of a removal that is no longer
	// kept.
	purgedRevision uint64
	// gapFrom and gapTo bound a gap in the history: the mirror was replaced by
	// a listing at gapTo, so it has no record of keys that were both written
	// and removed within the gap.
	gapFrom, gapTo uint64
	syncedAt       time.Time
	lastExpire     time.Time
	counts         Counts
}

// Counts says what became of the records that were applied to a mirror.
type Counts struct {
	// Changed records changed the mirror; Unchanged ones say the same as the record that
	// it held; Old ones are of a revision that it already had.
	Changed, Unchanged, Old uint64
}

// Sub returns the counts since an earlier state.
func (c Counts) Sub(earlier Counts) Counts {
	return Counts{Changed: c.Changed - earlier.Changed, Unchanged: c.Unchanged - earlier.Unchanged, Old: c.Old - earlier.Old}
}

// Counts returns the counts of all records since the mirror was made.
func (m *Mirror) Counts() Counts { return m.counts }

// New returns an empty mirror.
func New(same func(held, later Record) bool) *Mirror {
	return &Mirror{Same: same, entries: map[string]*entry{}}
}

// Apply applies records of the store to the mirror and returns those that changed it.
func (m *Mirror) Apply(records []Record) []Record {
	return m.applyAll(records, m.alreadyApplied, m.same)
}

// ApplyForwarded applies records that another mirror has forwarded. It takes each for a
// change, as that mirror did: this one lacks the records between two changes, and cannot
// tell by what it holds.
func (m *Mirror) ApplyForwarded(records []Record) []Record {
	return m.applyAll(records, m.alreadyApplied, nil)
}

// same reports whether a later record differs neither from the latest one nor from the
// forwarded one in ways that must be forwarded. Small differences add up to the latter.
func (m *Mirror) same(e *entry, later Record) bool {
	return m.Same(e.Record, later) && (e.forwarded.Revision == e.Revision || m.Same(e.forwarded, later))
}

// applyAll applies the records that skip does not exclude, and returns those that changed
// the mirror; the ones that are the same as the held one do not. Without same, all do.
func (m *Mirror) applyAll(records []Record, skip func(Record) bool, same func(*entry, Record) bool) []Record {
	var out []Record
	for _, r := range records {
		switch {
		case skip(r):
			m.counts.Old++
		case m.apply(r, same):
			out = append(out, r)
		}
	}
	return out
}

// alreadyApplied reports whether the mirror holds a record or a later one of
// the same key, because it is complete up to the record's revision. Responses
// to pulls that were sent before the mirror applied other records still contain
// such records, also of keys that have since been removed.
func (m *Mirror) alreadyApplied(r Record) bool { return r.Revision <= m.completeRevision }

// apply applies one record and reports whether it is a change to forward.
func (m *Mirror) apply(r Record, same func(*entry, Record) bool) bool {
	old := m.entries[r.Key]
	if old != nil && r.Revision <= old.Revision {
		m.counts.Old++
		return false
	}
	if old != nil && same != nil && !r.Deleted && !old.Deleted && same(old, r) {
		m.counts.Unchanged++
		old.Record = r
		return false
	}
	m.counts.Changed++
	m.entries[r.Key] = &entry{Record: r, forwarded: r}
	return true
}

// Replace applies a full listing of a prefix that is complete up to a revision.
// A key that the listing lacks was removed, unless its record is of that
// revision or a later one: the listing does not cover later changes. It returns
// the records that changed.
func (m *Mirror) Replace(prefix string, records []Record, revision uint64, now time.Time) []Record {
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[r.Key] = true
	}
	for key, e := range m.entries {
		if !e.Deleted && strings.HasPrefix(key, prefix) && !listed[key] && e.Revision < revision {
			records = append(records, Record{Key: key, Deleted: true, Revision: revision, Read: now})
		}
	}
	skip := m.alreadyApplied
	if revision >= m.completeRevision {
		// The listing is newer than the mirror, so no record of it is outdated.
		skip = func(Record) bool { return false }
	}
	out := m.applyAll(records, skip, m.same)
	if revision > m.completeRevision {
		// Only one gap is stored; pulls from before an earlier gap get a
		// snapshot.
		m.purgedRevision = max(m.purgedRevision, m.gapTo)
		m.gapFrom, m.gapTo = m.completeRevision, revision
	}
	m.Complete(revision)
	return out
}

// Backfill takes in the changes after a revision that the last listing covers, and so the
// removals among them: mirrors that are complete up to that revision or a later one need no
// snapshot. It does nothing if an earlier gap in the history reaches there.
func (m *Mirror) Backfill(records []Record, after uint64) {
	if after >= m.gapTo || after < m.gapFrom || after < m.purgedRevision {
		return
	}
	for _, r := range records {
		old := m.entries[r.Key]
		if r.Deleted && r.Revision <= m.completeRevision && (old == nil || old.Deleted && old.Revision < r.Revision) {
			m.entries[r.Key] = &entry{Record: r, forwarded: r}
		}
	}
	m.gapTo = after
}

// Complete records that the mirror holds every record up to a revision.
func (m *Mirror) Complete(revision uint64) { m.completeRevision = max(m.completeRevision, revision) }

// Revision returns the revision up to which the mirror holds every record.
func (m *Mirror) Revision() uint64 { return m.completeRevision }

// Confirm records that the mirror matched the store at the given time.
func (m *Mirror) Confirm(at time.Time) {
	if at.After(m.syncedAt) {
		m.syncedAt = at
	}
}

// Age moves the time of the last confirmation back, to account for a time in
// which the clock did not advance.
func (m *Mirror) Age(by time.Duration) {
	if !m.syncedAt.IsZero() {
		m.syncedAt = m.syncedAt.Add(-by)
	}
}

// Synced returns when the mirror last matched the store; zero for never.
func (m *Mirror) Synced() time.Time { return m.syncedAt }

// Since returns the records that changed after a revision. If the mirror may
// lack removals since then, it returns a snapshot of all existing records.
// Changes above the mirror's own revision are left out: removals up to them may
// still be missing.
func (m *Mirror) Since(revision uint64) (records []Record, snapshot bool) {
	snapshot = revision < m.purgedRevision || revision > m.gapFrom && revision < m.gapTo
	for _, e := range m.entries {
		switch {
		case snapshot && !e.Deleted:
			records = append(records, e.Record)
		case !snapshot && e.forwarded.Revision > revision && e.forwarded.Revision <= m.completeRevision:
			records = append(records, e.Record)
		}
	}
	return records, snapshot
}

// Get returns the record of an existing key.
func (m *Mirror) Get(key string) (Record, bool) {
	e := m.entries[key]
	if e == nil || e.Deleted {
		return Record{}, false
	}
	return e.Record, true
}

// Each calls fn for the record of every existing key under a prefix.
func (m *Mirror) Each(prefix string, fn func(Record)) {
	for key, e := range m.entries {
		if !e.Deleted && strings.HasPrefix(key, prefix) {
			fn(e.Record)
		}
	}
}

// Expire purges removals older than tombstoneTTL. It does nothing if the last
// purge was recent.
func (m *Mirror) Expire(now time.Time) {
	if now.Sub(m.lastExpire) < tombstoneTTL/purgesPerTTL {
		return
	}
	m.lastExpire = now
	for key, e := range m.entries {
		if e.Deleted && now.Sub(e.Read) > tombstoneTTL {
			m.purgedRevision = max(m.purgedRevision, e.Revision)
			delete(m.entries, key)
		}
	}
}
