package entry

import (
	"cmp"
	"sync"
	"sync/atomic"
	"time"

	"cassiatray/internal/core/document"
	"cassiatray/internal/core/lookup"
	"cassiatray/internal/core/share"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

// Ages at which a routingView is rebuilt.
const (
	// maxViewAge is how long a view stays valid if its snapshot does not change.
	maxViewAge = 500 * time.Millisecond
	// minRebuildInterval limits how often membership changes rebuild the view.
	minRebuildInterval = 100 * time.Millisecond
)

// steering holds the state that look-ups and routing decisions are based on.
//
// mu guards building views, the pacers, grants, links and reachability; it is never held
// during I/O. Look-ups read the view without locking.
type steering struct {
	cfg   Settings
	clock port.Clock
	view  atomic.Pointer[routingView]

	mu           sync.Mutex
	pacers       map[string]*share.Pacer
	grants       *share.Grants
	links        *share.Links
	reachability *lookup.Reach
	// changes are the preference changes to which callers are still moving, oldest first.
	changes []*preferenceChange
}

// routingView is a snapshot with the routing state derived from it at one time. It is
// immutable except for its cache.
type routingView struct {
	snapshot *Snapshot
	builtAt  time.Time
	plan     *lookup.Plan
	// hosts are the hosts of the snapshot whose failure domains are reachable.
	hosts  []lookup.Host
	policy share.Policy
	// changes are the preference changes in progress, with the share of callers moved by
	// service.
	changes []changeProgress
	// drainLevels are the shares of callers that drains have moved away, by service.
	drainLevels map[string]share.Levels
	// loads are the loads reported by failure domains, by service and domain.
	loads map[loadKey]share.Load
	// capShareHosts caches the results of hostsWithCapShare, map[string]bool by
	// capShareKey.
	capShareHosts sync.Map
}

type loadKey struct{ service, domain string }

func newSteering(cfg Settings, clock port.Clock) *steering {
	now := clock.Now()
	return &steering{
		cfg: cfg, clock: clock, reachability: lookup.NewReach(), pacers: map[string]*share.Pacer{}, grants: share.NewGrants(now), links: share.NewLinks(now),
	}
}

// viewFor returns the view of a snapshot, or of one with a later document that was viewed before.
// While another goroutine builds a newer view, it returns the previous one.
func (s *steering) viewFor(snap *Snapshot, now time.Time) *routingView {
	v := s.view.Load()
	snap = v.later(snap)
	if v != nil && v.isCurrent(snap, now) {
		return v
	}
	if v == nil {
		s.mu.Lock()
	} else if !s.mu.TryLock() {
		return v
	}
	defer s.mu.Unlock()
	v = s.view.Load()
	snap = v.later(snap)
	if v != nil && v.isCurrent(snap, now) {
		return v
	}
	v = s.buildView(snap, now)
	s.view.Store(v)
	return v
}

// later returns the snapshot with the later document of the view's and another one, which wins a
// tie. The view may be nil.
func (v *routingView) later(snap *Snapshot) *Snapshot {
	if v != nil && v.snapshot.Head.Sequence > snap.Head.Sequence {
		return v.snapshot
	}
	return snap
}

func (v *routingView) isCurrent(snap *Snapshot, now time.Time) bool {
	age := now.Sub(v.builtAt)
	if v.snapshot == snap {
		return age < maxViewAge
	}
	return age < minRebuildInterval && v.snapshot.Head.Sequence >= snap.Head.Sequence
}

// buildView builds the view of a snapshot. The caller must hold mu.
func (s *steering) buildView(snap *Snapshot, now time.Time) *routingView {
	ix := snap.Index
	s.recordChange(snap)
	v := &routingView{
		snapshot: snap, builtAt: now, policy: share.PolicyOf(ix.Doc.Weigh),
		drainLevels: make(map[string]share.Levels, len(ix.Doc.Services)), loads: loadsByDomain(snap),
	}
	for i := range ix.Doc.Services {
		name := ix.Doc.Services[i].Name
		shiftLevels := s.advanceShifts(ix, name, now)
		v.drainLevels[name] = share.DrainsOf(ix, name).At(shiftLevels)
		v.addChangeProgress(s.changes, name, shiftLevels)
	}
	s.removeCompletedChanges(v)
	v.hosts = lookup.Without(snap.Hosts, s.reachability.AllLost())
	v.plan = lookup.NewPlan(ix, v.hosts, v.weights(now))
	s.grants.Put(now, share.Document{
		Sequence: snap.Head.Sequence, Accepted: snap.Head.Accepted, Limits: share.LimitsOf(ix, s.cfg.Host),
	})
	return v
}

// advanceShifts advances the shifts of a service to now and returns the level of each, by
// shift ID.
func (s *steering) advanceShifts(ix *document.Index, service string, now time.Time) map[string]float64 {
	shifts := share.DrainsOf(ix, service).Shifts
	for _, c := range s.changes {
		shifts = append(shifts, c.shift)
	}
	rate := share.RateOf(ix.Doc.Caps.ShiftOf(service), ix.Doc.Lookup.TTL.D())
	p := s.pacers[service]
	if p == nil {
		p = share.NewPacer()
		s.pacers[service] = p
	}
	return p.Step(now, shifts, share.NewSchedule(shifts, rate))
}

func (v *routingView) weights(now time.Time) lookup.Weights {
	return lookup.Weights{
		Away: func(service, region string) float64 { return v.drainLevels[service].Regions[region] },
		Domain: func(service, domain string) float64 {
			svc := v.snapshot.Index.Service(service)
			slots := len(svc.In(domain)) * svc.Slots
			w := v.policy.Weight(slots, v.loads[loadKey{service, domain}], now)
			return w * (1 - v.drainLevels[service].Domains[domain])
		},
	}
}

// loadsByDomain sums the loads that hosts report by service and failure domain.
func loadsByDomain(snap *Snapshot) map[loadKey]share.Load {
	out := map[loadKey]share.Load{}
	for _, m := range snap.Members {
		for _, l := range m.Loads {
			key := loadKey{l.Service, m.Domain}
			out[key] = out[key].Add(loadFromProto(l))
		}
	}
	return out
}

func loadFromProto(l *peerv1.ServiceLoad) share.Load {
	out := share.Load{Slots: int(l.Slots), InFlight: int(l.InFlight), Queued: int(l.Queued)}
	if l.MeasuredUnixMicros > 0 {
		out.Measured = time.UnixMicro(l.MeasuredUnixMicros)
	}
	return out
}

// admit reserves capacity for a request of another region under its cap, and bandwidth for
// the answer if another region forwarded the request.
func (s *steering) admit(r *request, region string, now, deadline time.Time) (*permit, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &permit{steering: s, service: r.svc.Name}
	if home := cmp.Or(r.homeRegion, r.senderRegion, region); home != region {
		lease, err := s.grants.Admit(now, deadline, share.Flow{Service: r.svc.Name, From: home}, r.senderSequence)
		if err != nil {
			return nil, err
		}
		p.lease = lease
	}
	if r.senderRegion == "" || r.senderRegion == region {
		return p, nil
	}
	maxBytes := int64(r.class.MaxAnswer) + messageOverhead
	if err := s.links.Reserve(now, s.grants.Limits(now), r.svc.Name, r.senderRegion, maxBytes); err != nil {
		s.grants.Release(p.lease)
		return nil, err
	}
	p.linkRegion, p.reservedBytes = r.senderRegion, maxBytes
	return p, nil
}

// reserve reserves bandwidth for a request on the link to another region.
func (s *steering) reserve(r *request, to string, now time.Time) (*permit, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := requestSize(r)
	if err := s.links.Reserve(now, s.grants.Limits(now), r.svc.Name, to, size); err != nil {
		return nil, err
	}
	return &permit{steering: s, service: r.svc.Name, linkRegion: to, reservedBytes: size}, nil
}

// permit is the capacity and bandwidth that one request holds while it runs.
type permit struct {
	steering      *steering
	service       string
	lease         share.Lease
	linkRegion    string // region that the reserved bytes are sent to; empty if none are reserved
	reservedBytes int64
}

// release returns the capacity of a permit and replaces the reserved bytes by those sent.
func (p *permit) release(now time.Time, bytes int64) {
	s := p.steering
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grants.Release(p.lease)
	if p.linkRegion != "" {
		s.links.Settle(now, p.service, p.linkRegion, p.reservedBytes, min(bytes, p.reservedBytes))
	}
}

// SteeringState is the state of caps, drains and preference changes in a dump.
type SteeringState struct {
	// Flows are the requests of other regions that are in flight on this host.
	Flows []share.Use `json:"flows"`
	// LinkBytes are the bytes that count against the limit of the link to each region.
	LinkBytes map[string]int64 `json:"linkBytes"`
	// Drains are the shares of callers that drains have moved away, by service.
	Drains map[string]share.Levels `json:"drains"`
	// Changes are the preference changes to which callers are still moving.
	Changes []string `json:"changes"`
}

func (s *steering) dump(now time.Time) SteeringState {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := SteeringState{Flows: s.grants.Uses(now), LinkBytes: map[string]int64{}}
	v := s.view.Load()
	if v == nil {
		return out
	}
	out.Drains = v.drainLevels
	for _, r := range v.snapshot.Index.Doc.Regions {
		if used := s.links.Used(now, r.Name); used > 0 {
			out.LinkBytes[r.Name] = used
		}
	}
	for _, c := range v.changes {
		out.Changes = append(out.Changes, c.shift.ID)
	}
	return out
}

// messageOverhead is the size of a message on a link besides its headers and body, in
// bytes.
const messageOverhead = 1 << 10

func headerSize(h map[string][]string) int64 {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + 8
		}
	}
	return int64(n)
}

func requestSize(r *request) int64 {
	return messageOverhead + headerSize(r.received.Header) + int64(len(r.received.Body)+len(r.received.Path)+len(r.received.RawQuery))
}

func answerSize(r result) int64 {
	if r.answer == nil {
		return messageOverhead
	}
	return messageOverhead + headerSize(r.answer.Header) + int64(len(r.answer.Body))
}
