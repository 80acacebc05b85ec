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

// feedRetry is the pause before the steer process is followed again.
const feedRetry = 200 * time.Millisecond

// Times of the choice between this host's steer process and another.
const (
	// reportsMissed is how many reports in a row may fail before this host's
	// steer process counts as gone.
	reportsMissed = 4
	// returnAfter is for how long another steer process is followed before
	// this host's own is tried again.
	returnAfter = 5 * time.Second
)

// Feed follows this host's steer process, or another of its failure domain
// while its own is gone, and publishes snapshots. With no steer process the
// last snapshot stays in force.
type Feed struct {
	cfg         Settings
	incarnation uint64
	peers       port.PeerCaller
	log         *logrus.Entry
	metrics     *feedMetrics
	receiver    *relay.Receiver
	snapshot    atomic.Pointer[Snapshot]
	state       atomic.Int32
	// loads gives the load on the servers that this host holds.
	loads func() []*peerv1.ServiceLoad
	// source is the address followed now.
	source atomic.Pointer[string]
	// since is when the newest head was put in force here, in Unix
	// nanoseconds; zero before the first.
	since atomic.Int64
	// missed counts reports to this host's steer process that failed since
	// one succeeded.
	missed atomic.Int32

	// Only the follow loop uses these.
	table *lookup.Table
	views *relay.Views
	// silent are the domains whose hosts look-ups do not name.
	silent []string
}

// NewFeed returns a feed with no snapshot.
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

// SetState changes the state that this process reports.
func (f *Feed) SetState(s peerv1.HostState) { f.state.Store(int32(s)) }

// State returns the state that this process reports.
func (f *Feed) State() peerv1.HostState { return peerv1.HostState(f.state.Load()) }

// Source returns the address of the steer process followed now.
func (f *Feed) Source() string {
	if s := f.source.Load(); s != nil {
		return *s
	}
	return ""
}

// Since returns when the newest head was put in force here; zero before the
// first.
func (f *Feed) Since() time.Time {
	if ns := f.since.Load(); ns != 0 {
		return time.Unix(0, ns).UTC()
	}
	return time.Time{}
}

// Run follows and reports until the context ends.
func (f *Feed) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { f.report(ctx) })
	wg.Go(func() { f.follow(ctx) })
	wg.Wait()
}

func (f *Feed) follow(ctx context.Context) {
	for ctx.Err() == nil {
		address := f.choose()
		if err := f.followAddress(ctx, address); err != nil {
			f.log.WithError(err).Debug("Follow ended.")
		}
		sleep.For(ctx, feedRetry)
	}
}

// choose returns the steer process to follow: this host's own unless it is
// gone, else any other of the domain.
func (f *Feed) choose() string {
	own := f.cfg.Steer.String()
	index := f.receiver.Index()
	if index == nil || f.missed.Load() < reportsMissed {
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

// followAddress follows one steer process until it fails. This host's own is
// left when its reports fail; another one after a while.
func (f *Feed) followAddress(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { f.guard(ctx, cancel, address == f.cfg.Steer.String()) })
	f.source.Store(&address)
	req := &peerv1.Request{Body: &peerv1.Request_Follow{Follow: &peerv1.Follow{
		Environment: f.cfg.Environment, HaveSequence: f.receiver.Head().Sequence, Role: peerv1.Role_ROLE_ENTRY,
		HaveDomains: f.views.Versions(),
	}}}
	return f.peers.Follow(ctx, address, req, func(r *peerv1.Reply) error {
		return f.take(ctx, address, r.GetUpdate())
	})
}

func (f *Feed) guard(ctx context.Context, cancel context.CancelFunc, own bool) {
	defer cancel()
	if !own {
		sleep.For(ctx, returnAfter)
		return
	}
	for ctx.Err() == nil && f.missed.Load() < reportsMissed {
		sleep.For(ctx, f.cfg.Heartbeat.D())
	}
}

// take puts an update in force and publishes a new snapshot.
func (f *Feed) take(ctx context.Context, address string, up *peerv1.Update) error {
	if up.GetHead() != nil {
		if err := f.advance(ctx, address, up); err != nil {
			return err
		}
	}
	f.views.Merge(up.GetDomains())
	if s := up.GetSilent(); s != nil {
		f.silent = s.Domains
	}
	index := f.receiver.Index()
	if index == nil {
		return nil
	}
	if s := f.snapshot.Load(); s == nil || s.Head.Sequence < f.receiver.Head().Sequence {
		f.since.Store(time.Now().UnixNano())
	}
	f.snapshot.Store(newSnapshot(f.receiver.Head(), index, f.table, f.views.All(), f.silent...))
	if f.State() == peerv1.HostState_HOST_STATE_STARTING {
		f.SetState(peerv1.HostState_HOST_STATE_SERVING)
		f.log.Info("Serving.")
	}
	return nil
}

func (f *Feed) advance(ctx context.Context, address string, up *peerv1.Update) error {
	head, delta, err := convert.Update(up)
	if err != nil {
		return err
	}
	taken, err := f.receiver.Take(head, delta, func(refs []document.Ref) ([]document.Section, error) {
		return fetch.Sections(ctx, f.peers, address, refs)
	})
	if err != nil || taken == nil {
		return err
	}
	f.table = f.table.With(taken.Delta.Set, removedClients(taken.Delta.Removed))
	f.metrics.taken(taken)
	f.log.WithField("sequence", taken.Head.Sequence).Info("Document in force.")
	return nil
}

func removedClients(blocks []document.Prefix) []document.Client {
	out := make([]document.Client, 0, len(blocks))
	for _, p := range blocks {
		out = append(out, document.Client{Block: p})
	}
	return out
}

// report tells the steer process this process's state at each interval.
func (f *Feed) report(ctx context.Context) {
	ticker := time.NewTicker(f.cfg.Heartbeat.D())
	defer ticker.Stop()
	for ctx.Err() == nil {
		f.reportOnce(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

func (f *Feed) reportOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.Heartbeat.D())
	defer cancel()
	m := &peerv1.Member{
		Host: f.cfg.Host, Domain: f.cfg.Domain, EntryIncarnation: f.incarnation, EntryState: f.State(),
		CallerAddress: f.cfg.Caller.String(), EntryPeerAddress: f.cfg.Peer.String(), Loads: f.loads(),
	}
	hb := &peerv1.Heartbeat{Member: m, EntrySequence: f.receiver.Head().Sequence}
	req := &peerv1.Request{Body: &peerv1.Request_Heartbeat{Heartbeat: hb}}
	if _, err := f.peers.Call(ctx, f.cfg.Steer.String(), req); err != nil {
		f.missed.Add(1)
		f.log.WithError(err).Debug("Report failed.")
		return
	}
	f.missed.Store(0)
}
