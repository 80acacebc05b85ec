package admission

import "time"

// driftDivisor shortens a lease by 1/driftDivisor on the holder's side, to allow
// for clocks that run at slightly different rates.
const driftDivisor = 10

// Claims holds the grants that one host has from the voters of its failure domain.
// It is not safe for concurrent use; other goroutines read a ClaimView.
type Claims struct {
	self   Holder
	lease  time.Duration
	round  uint64
	claims map[Key]*claim
	// lastAsked is the round of the last message to each voter. Only the answers to
	// that message are accepted.
	lastAsked map[string]uint64
}

type claim struct {
	hold   time.Duration
	wanted bool
	// busy is set if requests were in flight on the server at the start of this
	// round. releaseCount is the number of rounds that released the server.
	busy         bool
	releaseCount int
	grants       map[string]grant
	// releasedRound is the last round that released the server. Answers to that
	// round and to earlier ones are ignored.
	releasedRound uint64
}

// grant is one voter's grant, usable in [usableFrom, expiresAt) on this host's
// clock.
type grant struct {
	usableFrom, expiresAt time.Time
	// voterIncarnation identifies the process of the voter.
	voterIncarnation uint64
}

// mergeRenewal returns the grant that replaces old. If the voter has restarted and
// old has not expired, the later start of both applies, because the new process
// has no record of the wait that its predecessor imposed on this host.
func (g grant) mergeRenewal(old grant, now time.Time) grant {
	if old.voterIncarnation != g.voterIncarnation && now.Before(old.expiresAt) && old.usableFrom.After(g.usableFrom) {
		g.usableFrom = old.usableFrom
	}
	return g
}

// NewClaims returns the claims of a process that has no grants.
func NewClaims(self Holder, lease time.Duration) *Claims {
	return &Claims{self: self, lease: lease, claims: map[Key]*claim{}, lastAsked: map[string]uint64{}}
}

// Want sets the servers that this host should hold. The next View excludes all
// others, and the first round that finds them idle releases them.
func (c *Claims) Want(wants []Want) {
	for _, h := range c.claims {
		h.wanted = false
	}
	for _, w := range wants {
		h := c.claims[w.Key]
		if h == nil {
			h = &claim{grants: map[string]grant{}, releasedRound: c.round}
			c.claims[w.Key] = h
		}
		h.hold, h.wanted = w.Hold, true
	}
}

// maxReleases is the number of rounds that release a server before its claim is
// removed. A voter that receives none of them waits for the lease and the hold.
const maxReleases = 10

// Round starts the next round of messages and returns its number. Idle reports
// whether this host has no request on a server. The View in use must already
// exclude the servers that are no longer wanted, so that no request starts on them.
func (c *Claims) Round(idle func(Key) bool) uint64 {
	c.round++
	for key, h := range c.claims {
		h.busy = !idle(key)
		if h.wanted || h.busy {
			h.releaseCount = 0
			continue
		}
		h.releasedRound = c.round
		clear(h.grants)
		if h.releaseCount++; h.releaseCount > maxReleases {
			delete(c.claims, key)
		}
	}
	return c.round
}

// Ask returns this round's message to one voter.
func (c *Claims) Ask(now time.Time, voter string) *Ask {
	c.lastAsked[voter] = c.round
	a := &Ask{From: c.self, Round: c.round}
	for key, h := range c.claims {
		w := Want{Key: key, Hold: h.hold}
		g, has := h.grants[voter]
		switch {
		case has:
			a.Claims = append(a.Claims, Claim{Want: w, After: max(0, g.usableFrom.Sub(now))})
		case h.busy:
			a.Claims = append(a.Claims, Claim{Want: w})
		case !h.wanted:
			a.Release = append(a.Release, key)
		}
		if h.wanted {
			a.Wants = append(a.Wants, w)
		}
	}
	return a
}

// Take records the answers of one incarnation of a voter to the Ask of a round.
// The Ask was sent and the answers were received at the given times of this host's
// clock.
func (c *Claims) Take(voter Holder, round uint64, sent, received time.Time, answers []Answer) {
	if c.lastAsked[voter.Host] != round {
		return
	}
	expiresAt := sent.Add(c.lease - c.lease/driftDivisor)
	for _, a := range answers {
		h := c.claims[a.Key]
		if h == nil || round <= h.releasedRound {
			continue
		}
		if !a.Granted {
			delete(h.grants, voter.Host)
			continue
		}
		next := grant{usableFrom: received.Add(a.After), expiresAt: expiresAt, voterIncarnation: voter.Incarnation}
		h.grants[voter.Host] = next.mergeRenewal(h.grants[voter.Host], received)
	}
}

// View returns an immutable copy of the wanted claims, with the grants of the
// given voters.
func (c *Claims) View(voters []string) *ClaimView {
	v := &ClaimView{voters: len(voters), grants: make(map[Key][]grant, len(c.claims))}
	for key, h := range c.claims {
		if h.wanted {
			v.grants[key] = h.grantsOf(voters)
		}
	}
	return v
}

func (c *claim) grantsOf(voters []string) []grant {
	var out []grant
	for _, voter := range voters {
		if g, ok := c.grants[voter]; ok {
			out = append(out, g)
		}
	}
	return out
}

// ClaimView is an immutable copy of Claims. The zero value has no grants. It is
// safe for concurrent use.
type ClaimView struct {
	voters int
	grants map[Key][]grant
}

// Votes returns the number of grants of a server that are usable at a time.
func (v *ClaimView) Votes(now time.Time, key Key) int {
	n := 0
	for _, g := range v.grants[key] {
		if !now.Before(g.usableFrom) && now.Before(g.expiresAt) {
			n++
		}
	}
	return n
}

// Short reports whether this host lacks a majority of the grants of any server
// that it should hold.
func (v *ClaimView) Short(now time.Time) bool {
	for key := range v.grants {
		if 2*v.Votes(now, key) <= v.voters {
			return true
		}
	}
	return false
}

// Holds reports whether this host should hold a server.
func (v *ClaimView) Holds(key Key) bool {
	_, ok := v.grants[key]
	return ok
}

// Limit returns the number of requests that this host may have on a server at a
// time.
func (v *ClaimView) Limit(now time.Time, key Key, slots int) int {
	return SlotShare(v.Votes(now, key), v.voters, slots)
}
