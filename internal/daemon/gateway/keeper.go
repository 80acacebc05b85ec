package gateway

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/mirror"
	"cassiatray/internal/core/routing"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

const (
	// heardLife is how long a gateway counts as alive after it was heard from, and
	// heardLifeInOutage how long while the store is out of reach: pulls are fewer then, and
	// word of a gateway takes a few of them.
	heardLife         = 3 * time.Second
	heardLifeInOutage = 10 * time.Second
	// outageGap is how long the store must have been out of reach for records
	// that lapsed meanwhile to get lapseGrace.
	outageGap = 3 * time.Second
	// lapseGrace is how long after an outage records that lapsed meanwhile
	// still count: their owners write them again within about two seconds.
	lapseGrace = 2200 * time.Millisecond
	// memberGrace is the same for records of gateways: those that are no hubs try to renew
	// their lease up to retryAside apart.
	memberGrace = retryAside + renewEvery
)

// heardMember is a gateway that was heard from, itself or through others, and when it was
// heard from itself.
type heardMember struct {
	member *peerv1.GatewayMember
	at     time.Time
}

// Keeper holds the mirror of the store and makes views of it.
type Keeper struct {
	cfg    *Settings
	schema port.Schema
	log    *logrus.Entry
	view   atomic.Pointer[view]
	// settled is set once Settled has been true: a process does not lose its view.
	settled atomic.Bool
	// born is when the process started, ticked how long after it last noted that it
	// runs, in nanoseconds, and paused whether it is to confirm its view since.
	born   time.Time
	ticked atomic.Int64
	paused atomic.Bool

	mu     sync.Mutex
	pauses pauses
	mirror *mirror.Mirror
	// changed is closed and replaced with each change that peers need, reported with each
	// new report.
	changed, reported chan struct{}
	// lagged is closed and replaced when servers' records begin to lag.
	lagged chan struct{}
	// placementChanged is set when the servers that may get work, or what places objects on
	// them, may have changed since the view was made.
	placementChanged bool
	// placementStale is set when the capacities of servers have changed since the view was
	// made; the next tick makes a new one.
	placementStale bool
	// configRecord is the record of the configuration in force.
	config       *routing.Config
	configRecord mirror.Record
	// configs are the values of that record and of earlier ones.
	configs configValues
	// taken tells of the configuration in force.
	taken configTaken
	// configSince is when the process first had a configuration, pageTaken whether a peer has
	// said which one is in force there.
	configSince time.Time
	pageTaken   bool
	// othersKnown is set once the store held the record of another gateway, also an old one.
	othersKnown bool
	splits      map[*routing.Route]*lockedSplit
	priorities  routing.Priorities
	servers     map[string]*server
	stored      map[string]*peerv1.GatewayMember
	heard       map[string]heardMember
	// graceUntil is until when records that lapse still count for a while; lapsed are those
	// kept, by key.
	graceUntil time.Time
	lapsed     map[string]lapsedRecord
	restore    restore
	// lagUntil is until when servers' records may be out of date, startLagUntil the same for what
	// only this gateway may have missed, and troubledUntil that for failures of the store alone.
	lagUntil, startLagUntil, troubledUntil time.Time
	// departed are the servers without a record that may still be running requests, by ID.
	departed map[string]*server
	// replaced is called with servers that may have been running requests when another process
	// took their place. It must not block.
	replaced func(*server)
	// leaving holds the servers that said that they leave, by ID.
	leaving map[string]leavingWord
	// storeLost is since when the store has failed this gateway; zero while it does not.
	// What was confirmed before then is no longer passed on as current.
	storeLost time.Time
	// loaded is when a listing that may be old was taken in.
	loaded time.Time
	// reports are what gateways met at servers; number counts this one's. Its
	// origin names one life of the process: a later one has to learn again what
	// this one told others.
	reports fleet.Reports
	origin  string
	number  uint64
	// reached is how long after its start a server last responded to this gateway, in
	// nanoseconds; heldReports wait for the next response.
	reached      atomic.Int64
	holdsReports atomic.Bool
	heldReports  []heldReport
	// cutOff is set while this gateway has no links to servers, and reclaimAt is when it owns
	// again what others took over meanwhile.
	cutOff    bool
	reclaimAt time.Time
}

// NewKeeper returns a keeper that knows nothing.
func NewKeeper(cfg *Settings, schema port.Schema, log *logrus.Entry) *Keeper {
	k := &Keeper{
		cfg: cfg, schema: schema, log: log, born: time.Now(), changed: make(chan struct{}), reported: make(chan struct{}), lagged: make(chan struct{}),
		servers: map[string]*server{}, departed: map[string]*server{}, stored: map[string]*peerv1.GatewayMember{},
		heard: map[string]heardMember{}, lapsed: map[string]lapsedRecord{}, leaving: map[string]leavingWord{},
		origin: cfg.Host + "/" + strconv.FormatUint(rand.Uint64(), 36),
	}
	k.mirror = mirror.New(k.sameRecord)
	k.view.Store(&view{})
	return k
}

// sameRecord reports whether a later record of a key says nothing new: of servers, the
// heartbeats and the passing of time are not news.
func (k *Keeper) sameRecord(held, later mirror.Record) bool {
	kind, id := k.schema.Kind(later.Key)
	if kind != port.RecordServer {
		return false
	}
	x, err := k.schema.Server(id, held.Value)
	y, laterErr := k.schema.Server(id, later.Value)
	if err != nil || laterErr != nil {
		return err != nil && laterErr != nil
	}
	return fleet.Unchanged(x, held.Read, y, later.Read)
}

// View returns the newest view.
func (k *Keeper) View() *view { return k.view.Load() }

// Apply takes in changes of the store, which are complete up to a revision.
func (k *Keeper) Apply(records []mirror.Record, revision uint64, source string, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.noteGap(now)
	k.noteRestore(revision, now)
	k.mirror.Confirm(now)
	k.take(k.mirror.Apply(records), source, now)
	k.mirror.Complete(revision)
}

// Replace takes in a listing of the whole store.
func (k *Keeper) Replace(records []mirror.Record, revision uint64, source string, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.noteGap(now)
	k.noteRestore(revision, now)
	k.mirror.Confirm(now)
	before, have := k.mirror.Counts(), k.mirror.Revision()
	k.take(k.mirror.Replace("", records, revision, now), source, now)
	c := k.mirror.Counts().Sub(before)
	k.log.WithFields(logrus.Fields{
		"source": source, "from_revision": have, "revision": revision, "records": len(records),
		"changed": c.Changed, "unchanged": c.Unchanged, "old": c.Old,
	}).Info("Listing taken.")
}

// noteGap starts the grace of lapsed records when an outage ends.
func (k *Keeper) noteGap(now time.Time) {
	last := k.mirror.Synced()
	if last.IsZero() {
		// The store may have been away until a moment ago.
		k.startLagUntil = now.Add(recordLag)
		return
	}
	if now.Sub(last) > outageGap {
		k.graceUntil = now.Add(lapseGrace)
		k.log.WithFields(logrus.Fields{"gap_ms": now.Sub(last).Milliseconds(), "revision": k.mirror.Revision()}).Info("Store view regained.")
	}
}

// SetStoreLost notes that the store fails this gateway, or no longer does.
func (k *Keeper) SetStoreLost(lost bool, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case !lost:
		k.storeLost = time.Time{}
	case k.storeLost.IsZero():
		k.storeLost = now
		k.wake()
	}
}

// Have returns the revision up to which the mirror has every record.
func (k *Keeper) Have() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.mirror.Revision()
}

// configVersion returns the version of the configuration in force; zero for none.
func (k *Keeper) configVersion() uint64 {
	if c := k.View().config; c != nil {
		return c.Version
	}
	return 0
}

// configTaken tells when a configuration came into force at this gateway.
type configTaken struct {
	version uint64
	at      time.Time
	// age is the time since a gateway read the record from the store.
	age time.Duration
}

// configTaken returns what there is to tell of the configuration in force.
func (k *Keeper) configTaken() configTaken {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.taken
}

// Synced returns when the mirror last equalled the store.
func (k *Keeper) Synced() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.mirror.Synced()
}

// publish swaps the view. The caller holds k.mu.
func (k *Keeper) publish(now time.Time) { k.view.Store(k.buildView(now)) }

// heardLife returns how long a gateway counts as alive after it was heard from. The caller
// holds k.mu.
func (k *Keeper) heardLife(now time.Time) time.Duration {
	if now.Sub(k.mirror.Synced()) > outageGap {
		return heardLifeInOutage
	}
	return heardLife
}

// Hear notes that a gateway was heard from at a time, by this one or by another.
func (k *Keeper) Hear(m *peerv1.GatewayMember, at, now time.Time) {
	if m == nil || m.Host == "" {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	old, known := k.heard[m.Host]
	if known && (supersedes(old.member, m) || !supersedes(m, old.member) && !at.After(old.at)) || now.Sub(at) >= k.heardLife(now) {
		return
	}
	k.heard[m.Host] = heardMember{member: m, at: at}
	if !known || supersedes(m, old.member) || now.Sub(old.at) >= k.heardLife(now) {
		k.publish(now)
	}
}

// Tick ends graces and forgets what is over.
func (k *Keeper) Tick(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	changed := k.endLapses(now)
	k.restore.forget(now)
	for host, h := range k.heard {
		if now.Sub(h.at) >= k.heardLife(now) {
			delete(k.heard, host)
			changed = changed || k.stored[host] == nil || supersedes(h.member, k.stored[host])
		}
	}
	k.mirror.Expire(now)
	if !k.reclaimAt.IsZero() && !now.Before(k.reclaimAt) {
		k.reclaimAt, changed = time.Time{}, true
	}
	if k.placementStale {
		k.placementStale, k.placementChanged, changed = false, true, true
	}
	if changed {
		k.publish(now)
	}
}

// Addresses returns the addresses of all servers that are known.
func (k *Keeper) Addresses() map[string]bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make(map[string]bool, len(k.servers))
	for _, s := range k.servers {
		out[s.rec().Address] = true
	}
	return out
}

// refreshPlacement makes the next tick place objects by the capacities that servers have
// then: many servers may begin to name limits at once.
func (k *Keeper) refreshPlacement() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.placementStale = true
}

// server returns the server with an ID and a start time, or nil. A start time of zero
// matches any.
func (k *Keeper) server(id string, born int64) *server {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.servers[id]
	if s == nil || born != 0 && s.rec().Born != 0 && s.rec().Born != born {
		return nil
	}
	return s
}

// serverCount returns how many servers are known.
func (k *Keeper) serverCount() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.servers)
}

// Servers returns all servers that are known, in no order.
func (k *Keeper) Servers() []*server {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Collect(maps.Values(k.servers))
}
