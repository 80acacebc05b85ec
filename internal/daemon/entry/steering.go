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

// Ages of a view.
const (
	// viewAge is how long a view serves while nothing but time changes.
	viewAge = 500 * time.Millisecond
	// viewPause bounds how often members that change rebuild the view.
	viewPause = 100 * time.Millisecond
)

// steering holds what look-ups and routes are decided by.
//
// mu guards building, the pacers, grants, links and reach; it is never held during
// I/O. Look-ups read the view without it.
type steering struct {
	cfg   Settings
	clock port.Clock
	view  atomic.Pointer[view]

	mu     sync.Mutex
	pacers map[string]*share.Pacer
	grants *share.Grants
	links  *share.Links
	reach  *lookup.Reach
	// changes are the documents whose new preferences callers still move to,
	// oldest first.
	changes []*change
}

// view is a snapshot with what follows from it at one time. It is immutable but for its cache.
type view struct {
	snap  *Snapshot
	built time.Time
	plan  *lookup.Plan
	// hosts are those of the snapshot whose domains answer.
	hosts  []lookup.Host
	policy share.Policy
	// changes are those of steering, with their levels by service.
	changes []paced
	// levels are how far drains have come, by service.
	levels map[string]share.Levels
	// loads are what failure domains report, by service and domain.
	loads map[loadKey]share.Load
	// takers caches map[string]bool by takerKey.
	takers sync.Map
}

type loadKey struct{ service, domain string }

func newSteering(cfg Settings, clock port.Clock) *steering {
	now := clock.Now()
	return &steering{
		cfg: cfg, clock: clock, reach: lookup.NewReach(), pacers: map[string]*share.Pacer{}, grants: share.NewGrants(now), links: share.NewLinks(now),
	}
}

// at returns the view of a snapshot. While another goroutine builds a newer
// one the last view serves.
func (s *steering) at(snap *Snapshot, now time.Time) *view {
	v := s.view.Load()
	if v != nil && v.current(snap, now) {
		return v
	}
	if v == nil {
		s.mu.Lock()
	} else if !s.mu.TryLock() {
		return v
	}
	defer s.mu.Unlock()
	if v = s.view.Load(); v != nil && v.current(snap, now) {
		return v
	}
	v = s.build(snap, now)
	s.view.Store(v)
	return v
}

func (v *view) current(snap *Snapshot, now time.Time) bool {
	age := now.Sub(v.built)
	if v.snap == snap {
		return age < viewAge
	}
	return age < viewPause && v.snap.Head.Sequence >= snap.Head.Sequence
}

// build must be called with mu held.
func (s *steering) build(snap *Snapshot, now time.Time) *view {
	ix := snap.Index
	s.noteChange(snap)
	v := &view{
		snap: snap, built: now, policy: share.PolicyOf(ix.Doc.Weigh),
		levels: make(map[string]share.Levels, len(ix.Doc.Services)), loads: loadsOf(snap),
	}
	for i := range ix.Doc.Services {
		name := ix.Doc.Services[i].Name
		all := s.pace(ix, name, now)
		v.levels[name] = share.DrainsOf(ix, name).At(all)
		v.addChanges(s.changes, name, all)
	}
	s.endChanges(v)
	v.hosts = lookup.Without(snap.Hosts, s.reach.AllLost())
	v.plan = lookup.NewPlan(ix, v.hosts, v.weights(now))
	s.grants.Put(now, share.Document{
		Sequence: snap.Head.Sequence, Accepted: snap.Head.Accepted, Limits: share.LimitsOf(ix, s.cfg.Host),
	})
	return v
}

// pace returns the level of every shift of a service.
func (s *steering) pace(ix *document.Index, service string, now time.Time) map[string]float64 {
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

func (v *view) weights(now time.Time) lookup.Weights {
	return lookup.Weights{
		Away: func(service, region string) float64 { return v.levels[service].Regions[region] },
		Domain: func(service, domain string) float64 {
			svc := v.snap.Index.Service(service)
			slots := len(svc.In(domain)) * svc.Slots
			w := v.policy.Weight(slots, v.loads[loadKey{service, domain}], now)
			return w * (1 - v.levels[service].Domains[domain])
		},
	}
}

// loadsOf joins the loads that hosts report by failure domain.
func loadsOf(snap *Snapshot) map[loadKey]share.Load {
	out := map[loadKey]share.Load{}
	for _, m := range snap.Members {
		for _, l := range m.Loads {
			key := loadKey{l.Service, m.Domain}
			out[key] = out[key].Add(loadOf(l))
		}
	}
	return out
}

func loadOf(l *peerv1.ServiceLoad) share.Load {
	out := share.Load{Slots: int(l.Slots), InFlight: int(l.InFlight), Queued: int(l.Queued)}
	if l.MeasuredUnixMicros > 0 {
		out.Measured = time.UnixMicro(l.MeasuredUnixMicros)
	}
	return out
}

// admit takes work of another region, and room for its answer on the link when
// it came from there.
func (s *steering) admit(x *exchange, region string, now, deadline time.Time) (*permit, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &permit{steering: s, service: x.svc.Name}
	if home := cmp.Or(x.home, x.from, region); home != region {
		lease, err := s.grants.Admit(now, deadline, share.Flow{Service: x.svc.Name, From: home}, x.sequence)
		if err != nil {
			return nil, err
		}
		p.lease = lease
	}
	if x.from == "" || x.from == region {
		return p, nil
	}
	most := int64(x.class.MaxAnswer) + envelope
	if err := s.links.Reserve(now, s.grants.Limits(now), x.svc.Name, x.from, most); err != nil {
		s.grants.Release(p.lease)
		return nil, err
	}
	p.to, p.reserved = x.from, most
	return p, nil
}

// reserve takes room for a request on the link to another region.
func (s *steering) reserve(x *exchange, to string, now time.Time) (*permit, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := requestSize(x)
	if err := s.links.Reserve(now, s.grants.Limits(now), x.svc.Name, to, size); err != nil {
		return nil, err
	}
	return &permit{steering: s, service: x.svc.Name, to: to, reserved: size}, nil
}

// permit is what one request holds while it runs.
type permit struct {
	steering *steering
	service  string
	lease    share.Lease
	to       string // region that bytes go to; empty when none do
	reserved int64
}

// end gives back what a request held, with the bytes that were sent.
func (p *permit) end(now time.Time, bytes int64) {
	s := p.steering
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grants.Release(p.lease)
	if p.to != "" {
		s.links.Settle(now, p.service, p.to, p.reserved, min(bytes, p.reserved))
	}
}

// SteeringState is what caps and shifts hold now.
type SteeringState struct {
	// Flows are the requests of other regions in flight on this host.
	Flows []share.Use `json:"flows"`
	// LinkBytes are the bytes that count against each region's link.
	LinkBytes map[string]int64 `json:"linkBytes"`
	// Drains are the levels of drained places, by service.
	Drains map[string]share.Levels `json:"drains"`
	// Changes are the documents whose preferences callers still move to.
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
	out.Drains = v.levels
	for _, r := range v.snap.Index.Doc.Regions {
		if used := s.links.Used(now, r.Name); used > 0 {
			out.LinkBytes[r.Name] = used
		}
	}
	for _, c := range v.changes {
		out.Changes = append(out.Changes, c.shift.ID)
	}
	return out
}

// envelope is what a message takes on a link besides its headers and body, in
// bytes.
const envelope = 1 << 10

func headerSize(h map[string][]string) int64 {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + 8
		}
	}
	return int64(n)
}

func requestSize(x *exchange) int64 {
	return envelope + headerSize(x.req.Header) + int64(len(x.req.Body)+len(x.req.Path)+len(x.req.RawQuery))
}

func answerSize(r result) int64 {
	if r.answer == nil {
		return envelope
	}
	return envelope + headerSize(r.answer.Header) + int64(len(r.answer.Body))
}
