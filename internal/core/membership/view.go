// Package membership decides which entry hosts of a failure domain are live
// and which of them leads. It is pure: time is an argument.
//
// A member's state is ordered by its steer incarnation, then by its version;
// older states are ignored, so that late or crossed heartbeats do no harm.
package membership

import (
	"slices"
	"strings"
	"time"

	peerv1 "cassiatray/proto/peer/v1"
)

// View is what one host knows of the members of its domain. It is not safe for
// concurrent use.
type View struct {
	timeout time.Duration
	members map[string]*observed
}

type observed struct {
	member *peerv1.Member
	heard  time.Time
}

// NewView returns an empty view. A member not heard of for timeout is not live.
func NewView(timeout time.Duration) *View {
	return &View{timeout: timeout, members: map[string]*observed{}}
}

// Observe takes in a member's state and reports whether it changed the view.
// The view keeps m, which must not be written to afterwards.
func (v *View) Observe(now time.Time, m *peerv1.Member) bool {
	old := v.members[m.Host]
	if old == nil {
		v.members[m.Host] = &observed{member: m, heard: now}
		return true
	}
	if older(m, old.member) {
		return false
	}
	wasLive := v.live(now, old)
	changed := newer(m, old.member)
	old.heard = now
	old.member = m
	return changed || !wasLive
}

func older(a, b *peerv1.Member) bool { return newer(b, a) }

func newer(a, b *peerv1.Member) bool {
	if a.SteerIncarnation != b.SteerIncarnation {
		return a.SteerIncarnation > b.SteerIncarnation
	}
	return a.Version > b.Version
}

func (v *View) live(now time.Time, o *observed) bool {
	return now.Sub(o.heard) < v.timeout
}

// Live returns the members heard of within the timeout, sorted by host.
func (v *View) Live(now time.Time) []*peerv1.Member {
	out := make([]*peerv1.Member, 0, len(v.members))
	for _, o := range v.members {
		if v.live(now, o) {
			out = append(out, o.member)
		}
	}
	slices.SortFunc(out, func(a, b *peerv1.Member) int { return strings.Compare(a.Host, b.Host) })
	return out
}

// Lead returns the live member of the lowest rank, or nil. Rank is the order
// of host names; a leaving host does not lead while another can.
func (v *View) Lead(now time.Time) *peerv1.Member {
	live := v.Live(now)
	for _, m := range live {
		if m.EntryState != peerv1.HostState_HOST_STATE_LEAVING {
			return m
		}
	}
	if len(live) > 0 {
		return live[0]
	}
	return nil
}
