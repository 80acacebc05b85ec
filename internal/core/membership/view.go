// Package membership decides which entry hosts of a failure domain are live and
// which of them is the lead. It is pure.
//
// Time is counted in ticks of the observing process, one for each heartbeat
// interval. A paused process does not tick, so it does not consider all other
// members dead when it resumes.
//
// The states of a member are ordered by steer incarnation, then by version.
// Older states are ignored, so heartbeats may arrive late or out of order.
package membership

import (
	"cmp"
	"slices"
	"strings"

	peerv1 "cassiatray/proto/peer/v1"
)

// View is one host's view of the members of its failure domain. It is not safe
// for concurrent use.
type View struct {
	misses  uint64
	tick    uint64
	members map[string]*observed
}

// observed is a member's newest state with the tick of its last heartbeat.
type observed struct {
	member    *peerv1.Member
	lastHeard uint64 // tick
}

// NewView returns an empty view. A member without a heartbeat for misses ticks
// is not live.
func NewView(misses int) *View {
	return &View{misses: uint64(misses), members: map[string]*observed{}}
}

// Tick counts one interval. It removes members that have not been live for a
// long time.
func (v *View) Tick() {
	v.tick++
	for host, o := range v.members {
		if v.tick-o.lastHeard > forgetFactor*v.misses {
			delete(v.members, host)
		}
	}
}

// forgetFactor times misses is the number of ticks without a heartbeat after
// which a member is removed.
const forgetFactor = 1000

// Joined reports whether the view has observed heartbeats long enough to
// include every live member. A process that has not joined neither leads nor
// reports on its failure domain.
func (v *View) Joined() bool { return v.tick >= v.misses }

// Observe applies a member's state and reports whether it changed the view. The
// view keeps m, which must not be modified afterwards.
func (v *View) Observe(m *peerv1.Member) bool {
	old := v.members[m.GetHost()]
	if old == nil {
		v.members[m.GetHost()] = &observed{member: m, lastHeard: v.tick}
		return true
	}
	switch compare(m, old.member) {
	case -1:
		return false
	case 0:
		return v.markHeard(old)
	}
	v.markHeard(old)
	old.member = m
	return true
}

// Refresh marks a member as live whose heartbeat has only the incarnation and
// version of its state. It reports whether the view holds that exact state, and
// whether the view changed.
func (v *View) Refresh(host string, incarnation, version uint64) (known, changed bool) {
	old := v.members[host]
	if old == nil || old.member.SteerIncarnation != incarnation || old.member.Version != version {
		return false, false
	}
	return true, v.markHeard(old)
}

// markHeard records a heartbeat in the current tick and reports whether the
// member was not live before.
func (v *View) markHeard(o *observed) bool {
	wasLive := v.live(o)
	o.lastHeard = v.tick
	return !wasLive
}

// compare orders states by incarnation, then by version.
func compare(a, b *peerv1.Member) int {
	if c := cmp.Compare(a.GetSteerIncarnation(), b.GetSteerIncarnation()); c != 0 {
		return c
	}
	return cmp.Compare(a.GetVersion(), b.GetVersion())
}

func (v *View) live(o *observed) bool { return v.tick-o.lastHeard < v.misses }

// Member returns the newest state of a host, live or not, or nil.
func (v *View) Member(host string) *peerv1.Member {
	if o := v.members[host]; o != nil {
		return o.member
	}
	return nil
}

// Live returns the live members, sorted by host.
func (v *View) Live() []*peerv1.Member {
	out := make([]*peerv1.Member, 0, len(v.members))
	for _, o := range v.members {
		if v.live(o) {
			out = append(out, o.member)
		}
	}
	slices.SortFunc(out, func(a, b *peerv1.Member) int { return strings.Compare(a.Host, b.Host) })
	return out
}

// Choice is how a lead was chosen.
type Choice string

// Values of Choice.
const (
	ChoiceNone  Choice = "none"
	ChoiceLease Choice = "lease"
	ChoiceRank  Choice = "rank"
)

// Lead returns the live member that is the lead, or nil, and how it was chosen:
// the holder of the domain's lease, or else the member of the lowest rank. Rank
// is the order of host names. A leaving host is not the lead while another can
// be.
func (v *View) Lead() (*peerv1.Member, Choice) {
	var best *peerv1.Member
	for _, m := range v.Live() {
		if m.Joined && (best == nil || leadPenalty(m) < leadPenalty(best)) {
			best = m
		}
	}
	switch {
	case best == nil:
		return nil, ChoiceNone
	case best.HoldsLease:
		return best, ChoiceLease
	}
	return best, ChoiceRank
}

// leadPenalty returns a lower number for members that are preferred as the
// lead.
func leadPenalty(m *peerv1.Member) int {
	n := 0
	if m.EntryState == peerv1.HostState_HOST_STATE_LEAVING {
		n += 2
	}
	if !m.HoldsLease {
		n++
	}
	return n
}
