// Package membership decides which entry hosts of a failure domain are live
// and which of them leads. It is pure.
//
// Time is counted in ticks of the process that observes, one for each interval
// of heartbeats. A process that was paused does not tick, so it does not take
// everyone for dead when it wakes.
//
// A member's state is ordered by its steer incarnation, then by its version;
// older states are ignored, so that late or crossed heartbeats do no harm.
package membership

import (
	"cmp"
	"slices"
	"strings"

	peerv1 "cassiatray/proto/peer/v1"
)

// View is what one host knows of the members of its domain. It is not safe for
// concurrent use.
type View struct {
	misses  uint64
	tick    uint64
	members map[string]*observed
}

type observed struct {
	member *peerv1.Member
	heard  uint64 // tick
}

// NewView returns an empty view. A member not heard of for misses ticks is not
// live.
func NewView(misses int) *View {
	return &View{misses: uint64(misses), members: map[string]*observed{}}
}

// Tick counts one interval. Members that have been gone for long are
// forgotten.
func (v *View) Tick() {
	v.tick++
	for host, o := range v.members {
		if v.tick-o.heard > forgetFactor*v.misses {
			delete(v.members, host)
		}
	}
}

// forgetFactor is after how many times misses a member is forgotten.
const forgetFactor = 1000

// Joined reports whether the view has been kept long enough to know every live
// member. A process that has not joined neither leads nor reports its domain.
func (v *View) Joined() bool { return v.tick >= v.misses }

// Observe takes in a member's state and reports whether it changed the view.
// The view keeps m, which must not be written to afterwards.
func (v *View) Observe(m *peerv1.Member) bool {
	old := v.members[m.GetHost()]
	if old == nil {
		v.members[m.GetHost()] = &observed{member: m, heard: v.tick}
		return true
	}
	switch compare(m, old.member) {
	case -1:
		return false
	case 0:
		return v.touch(old)
	}
	v.touch(old)
	old.member = m
	return true
}

// Refresh marks a member live that shows the incarnation and version of its
// state only. It reports whether the view knew that very state, and whether
// the view changed.
func (v *View) Refresh(host string, incarnation, version uint64) (known, changed bool) {
	old := v.members[host]
	if old == nil || old.member.SteerIncarnation != incarnation || old.member.Version != version {
		return false, false
	}
	return true, v.touch(old)
}

func (v *View) touch(o *observed) bool {
	wasLive := v.live(o)
	o.heard = v.tick
	return !wasLive
}

func compare(a, b *peerv1.Member) int {
	if c := cmp.Compare(a.GetSteerIncarnation(), b.GetSteerIncarnation()); c != 0 {
		return c
	}
	return cmp.Compare(a.GetVersion(), b.GetVersion())
}

func (v *View) live(o *observed) bool { return v.tick-o.heard < v.misses }

// Member returns the newest state of a host, live or not, or nil.
func (v *View) Member(host string) *peerv1.Member {
	if o := v.members[host]; o != nil {
		return o.member
	}
	return nil
}

// Live returns the members heard of lately, sorted by host.
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

// Choice says how a lead was chosen.
type Choice string

// Values of Choice.
const (
	ChoiceNone  Choice = "none"
	ChoiceLease Choice = "lease"
	ChoiceRank  Choice = "rank"
)

// Lead returns the live member that leads, or nil, and how it was chosen: the
// holder of the domain's lease, or else the member of the lowest rank. Rank is
// the order of host names. A leaving host does not lead while another can.
func (v *View) Lead() (*peerv1.Member, Choice) {
	var best *peerv1.Member
	for _, m := range v.Live() {
		if m.Joined && (best == nil || order(m) < order(best)) {
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

// order is lower for members that should rather lead.
func order(m *peerv1.Member) int {
	n := 0
	if m.EntryState == peerv1.HostState_HOST_STATE_LEAVING {
		n += 2
	}
	if !m.HoldsLease {
		n++
	}
	return n
}
