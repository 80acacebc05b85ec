package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"cassiatray/internal/convert"
	"cassiatray/internal/core/document"
	"cassiatray/internal/core/lookup"
	"cassiatray/internal/core/relay"
	"cassiatray/internal/daemon/fetch"
	"cassiatray/internal/port"
	"cassiatray/internal/sleep"
	peerv1 "cassiatray/proto/peer/v1"
)

// followRetryDelay is the delay before reconnecting to a steer process after a stream has
// ended.
const followRetryDelay = 200 * time.Millisecond

// Limits for switching between this host's steer process and another one.
const (
	// maxFailedHeartbeats is how many heartbeats in a row may fail before this host's steer
	// process is treated as unreachable.
	maxFailedHeartbeats = 4
	// fallbackPeriod is how long another host's steer process is followed before this
	// host's own is tried again.
	fallbackPeriod = 5 * time.Second
)

// Feed receives documents and host membership from this host's steer process and publishes
// them as snapshots. While that process is unreachable, the feed follows the steer process
// of another host of the failure domain. If no steer process is reachable, the last
// snapshot stays in force.
type Feed struct {
	cfg         Settings
	incarnation uint64
	peers       port.PeerCaller
	log         *logrus.Entry
	metrics     *feedMetrics
	receiver    *relay.Receiver
	snapshot    atomic.Pointer[Snapshot]
	state       atomic.Int32
	// loads returns the current load on the servers that this host manages.
	loads func() []*peerv1.ServiceLoad
	// followedAddress is the address of the steer process that is followed now.
	followedAddress atomic.Pointer[string]
	// inForceSince is when the newest document was put in force here, in Unix nanoseconds.
	// It is zero before the first document.
	inForceSince atomic.Int64
	// failedHeartbeats counts the failed heartbeats to this host's steer process since the
	// last successful one.
	failedHeartbeats atomic.Int32

	// The fields below are used only by followLoop.
	table *lookup.Table
	views *relay.Views
	// silentDomains are the failure domains whose hosts are left out of look-up answers.
	silentDomains []string
}

// NewFeed returns a feed that has no snapshot yet.
func NewFeed(cfg Settings, incarnation uint64, peers port.PeerCaller, log *logrus.Entry) *Feed {
	f := &Feed{
		cfg: cfg, incarnation: incarnation, peers: peers, log: log, metrics: newFeedMetrics(),
		receiver: relay.NewReceiver(cfg.Environment), views: relay.NewViews(""), table: lookup.NewTable(nil),
		loads: func() []*peerv1.ServiceLoad { return nil },
	}
	f.state.Store(int32(peerv1.HostState_HOST_STATE_STARTING))
	return f
}

// Snapshot returns the newest snapshot, or nil before the first.
func (f *Feed) Snapshot() *Snapshot { return f.snapshot.Load() }

// SetState sets the state that this process reports in its heartbeats.
func (f *Feed) SetState(s peerv1.HostState) { f.state.Store(int32(s)) }

// State returns the state that this process reports in its heartbeats.
func (f *Feed) State() peerv1.HostState { return peerv1.HostState(f.state.Load()) }

// Source returns the address of the steer process that is followed now.
func (f *Feed) Source() string {
	if s := f.followedAddress.Load(); s != nil {
		return *s
	}
	return ""
}

// Since returns when the newest document was put in force here, or the zero time before the
// first.
func (f *Feed) Since() time.Time {
	if ns := f.inForceSince.Load(); ns != 0 {
		return time.Unix(0, ns).UTC()
	}
	return time.Time{}
}

// Run follows a steer process and sends heartbeats until the context ends.
func (f *Feed) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { f.heartbeatLoop(ctx) })
	wg.Go(func() { f.followLoop(ctx) })
	wg.Wait()
}

func (f *Feed) followLoop(ctx context.Context) {
	for ctx.Err() == nil {
		address := f.chooseSource()
		if err := f.followSource(ctx, address); err != nil {
			f.log.WithError(err).Debug("Update stream from the steer process ended.")
		}
		sleep.For(ctx, followRetryDelay)
	}
}

// chooseSource returns the address of the steer process to follow: this host's own while it
// is reachable, otherwise that of a random other host of the domain.
func (f *Feed) chooseSource() string {
	own := f.cfg.Steer.String()
	index := f.receiver.Index()
	if index == nil || f.failedHeartbeats.Load() < maxFailedHeartbeats {
		return own
	}
	var others []string
	for _, h := range index.Hosts(f.cfg.Domain) {
		if a := h.Steer.String(); a != own {
			others = append(others, a)
		}
	}
	if len(others) == 0 {
		return own
	}
	return others[rand.IntN(len(others))]
}

// followSource follows one steer process until the stream fails or another process should
// be followed: this host's own until its heartbeats fail, any other one for fallbackPeriod.
func (f *Feed) followSource(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { f.cancelWhenSourceChanges(ctx, cancel, address == f.cfg.Steer.String()) })
	f.followedAddress.Store(&address)
	req := &peerv1.Request{Body: &peerv1.Request_Follow{Follow: &peerv1.Follow{
		Environment: f.cfg.Environment, HaveSequence: f.receiver.Head().Sequence, Role: peerv1.Role_ROLE_ENTRY,
		HaveDomains: f.views.Versions(),
	}}}
	return f.peers.Follow(ctx, address, req, func(r *peerv1.Reply) error {
		return f.applyUpdate(ctx, address, r.GetUpdate())
	})
}

func (f *Feed) cancelWhenSourceChanges(ctx context.Context, cancel context.CancelFunc, own bool) {
	defer cancel()
	if !own {
		sleep.For(ctx, fallbackPeriod)
		return
	}
	for ctx.Err() == nil && f.failedHeartbeats.Load() < maxFailedHeartbeats {
		sleep.For(ctx, f.cfg.Heartbeat.D())
	}
}

// applyUpdate applies an update from the steer process and publishes a new snapshot.
func (f *Feed) applyUpdate(ctx context.Context, address string, update *peerv1.Update) error {
	if update.GetHead() != nil {
		if err := f.applyDocument(ctx, address, update); err != nil {
			return err
		}
	}
	f.views.Merge(update.GetDomains())
	if s := update.GetSilent(); s != nil {
		f.silentDomains = s.Domains
	}
	index := f.receiver.Index()
	if index == nil {
		return nil
	}
	if s := f.snapshot.Load(); s == nil || s.Head.Sequence < f.receiver.Head().Sequence {
		f.inForceSince.Store(time.Now().UnixNano())
	}
	f.snapshot.Store(newSnapshot(f.receiver.Head(), index, f.table, f.views.All(), f.silentDomains...))
	if f.State() == peerv1.HostState_HOST_STATE_STARTING {
		f.SetState(peerv1.HostState_HOST_STATE_SERVING)
		f.log.Info("Serving.")
	}
	return nil
}

func (f *Feed) applyDocument(ctx context.Context, address string, update *peerv1.Update) error {
	head, delta, err := convert.Update(update)
	if err != nil {
		return err
	}
	applied, err := f.receiver.Take(head, delta, func(refs []document.Ref) ([]document.Section, error) {
		return fetch.Sections(ctx, f.peers, address, refs)
	})
	if err != nil || applied == nil {
		return err
	}
	f.table = f.table.With(applied.Delta.Set, clientsOfBlocks(applied.Delta.Removed))
	f.metrics.countDocument(applied)
	f.log.WithField("sequence", applied.Head.Sequence).Info("Document in force.")
	return nil
}

func clientsOfBlocks(blocks []document.Prefix) []document.Client {
	out := make([]document.Client, 0, len(blocks))
	for _, p := range blocks {
		out = append(out, document.Client{Block: p})
	}
	return out
}

// heartbeatLoop sends this process's state to its steer process at every heartbeat
// interval.
func (f *Feed) heartbeatLoop(ctx context.Context) {
	ticker := time.NewTicker(f.cfg.Heartbeat.D())
	defer ticker.Stop()
	for ctx.Err() == nil {
		f.sendHeartbeat(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

func (f *Feed) sendHeartbeat(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.Heartbeat.D())
	defer cancel()
	m := &peerv1.Member{
		Host: f.cfg.Host, Domain: f.cfg.Domain, EntryIncarnation: f.incarnation, EntryState: f.State(),
		CallerAddress: f.cfg.Caller.String(), EntryPeerAddress: f.cfg.Peer.String(), Loads: f.loads(),
	}
	hb := &peerv1.Heartbeat{Member: m, EntrySequence: f.receiver.Head().Sequence}
	req := &peerv1.Request{Body: &peerv1.Request_Heartbeat{Heartbeat: hb}}
	if _, err := f.peers.Call(ctx, f.cfg.Steer.String(), req); err != nil {
		f.failedHeartbeats.Add(1)
		f.log.WithError(err).Debug("Heartbeat to the steer process failed.")
		return
	}
	f.failedHeartbeats.Store(0)
}
