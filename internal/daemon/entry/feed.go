package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"cassiatray/internal/convert"
	"cassiatray/internal/core/document"
	"cassiatray/internal/core/lookup"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

// feedRetry is the pause before the steer process is followed again.
const feedRetry = 200 * time.Millisecond

// Feed follows this host's steer process and publishes snapshots. With no
// steer process the last snapshot stays in force.
type Feed struct {
	cfg         Settings
	incarnation uint64
	peers       port.PeerCaller
	log         *logrus.Entry
	snapshot    atomic.Pointer[Snapshot]
	state       atomic.Int32
	// loads gives the load on the servers that this host holds.
	loads func() []*peerv1.ServiceLoad

	// Only the follow loop uses these.
	replica *document.Replica
	table   *lookup.Table
	domains map[string]*peerv1.DomainView
}

// NewFeed returns a feed with no snapshot.
func NewFeed(cfg Settings, incarnation uint64, peers port.PeerCaller, log *logrus.Entry) *Feed {
	f := &Feed{
		cfg: cfg, incarnation: incarnation, peers: peers, log: log,
		replica: document.NewReplica(), domains: map[string]*peerv1.DomainView{},
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

// Run follows and reports until the context ends.
func (f *Feed) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { f.report(ctx) })
	wg.Go(func() { f.follow(ctx) })
	wg.Wait()
}

func (f *Feed) follow(ctx context.Context) {
	for ctx.Err() == nil {
		req := &peerv1.Request{Body: &peerv1.Request_Follow{Follow: &peerv1.Follow{
			Environment: f.cfg.Environment, HaveSequence: f.replica.Head().Sequence, Role: peerv1.Role_ROLE_ENTRY,
		}}}
		err := f.peers.Follow(ctx, f.cfg.Steer.String(), req, func(r *peerv1.Reply) error {
			return f.take(r.GetUpdate())
		})
		if err != nil {
			f.log.WithError(err).Debug("Follow ended.")
		}
		pause(ctx, feedRetry)
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// take puts an update in force and publishes a new snapshot.
func (f *Feed) take(up *peerv1.Update) error {
	if up.GetHead() != nil {
		if err := f.advance(up); err != nil {
			return err
		}
	}
	for _, v := range up.GetDomains() {
		if old := f.domains[v.Domain]; old == nil || old.Version < v.Version {
			f.domains[v.Domain] = v
		}
	}
	if f.replica.Index() == nil {
		return nil
	}
	f.snapshot.Store(newSnapshot(f.replica.Head(), f.replica.Index(), f.table, f.domains))
	if f.State() == peerv1.HostState_HOST_STATE_STARTING {
		f.SetState(peerv1.HostState_HOST_STATE_SERVING)
		f.log.Info("Serving.")
	}
	return nil
}

func (f *Feed) advance(up *peerv1.Update) error {
	head, err := convert.Head(up.Head)
	if err != nil {
		return err
	}
	sections, err := convert.Sections(up.Sections)
	if err != nil {
		return err
	}
	ok, err := f.replica.Advance(head, sections)
	if err != nil || !ok {
		return err
	}
	f.table = lookup.NewTable(f.replica.Index().Doc.Clients)
	f.log.WithField("sequence", head.Sequence).Info("Document in force.")
	return nil
}

// report tells the steer process this process's state at each interval.
func (f *Feed) report(ctx context.Context) {
	for ctx.Err() == nil {
		f.reportOnce(ctx)
		pause(ctx, f.cfg.Heartbeat.D())
	}
}

func (f *Feed) reportOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.Heartbeat.D())
	defer cancel()
	m := &peerv1.Member{
		Host: f.cfg.Host, Domain: f.cfg.Domain, EntryIncarnation: f.incarnation, EntryState: f.State(),
		CallerAddress: f.cfg.Caller.String(), EntryPeerAddress: f.cfg.Peer.String(), Loads: f.loads(),
	}
	if s := f.Snapshot(); s != nil {
		m.EntrySequence = s.Head.Sequence
	}
	req := &peerv1.Request{Body: &peerv1.Request_Heartbeat{Heartbeat: &peerv1.Heartbeat{Member: m}}}
	if _, err := f.peers.Call(ctx, f.cfg.Steer.String(), req); err != nil {
		f.log.WithError(err).Debug("Report failed.")
	}
}
