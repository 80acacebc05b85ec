package admission

import "time"

// driftDivisor shortens a holder's own view of a lease by 1/driftDivisor, so
// that clocks that run at slightly different rates do no harm.
const driftDivisor = 10

// Claims is what one host holds of the grants of its domain's voters. Its
// writer is one goroutine; View is safe for all.
type Claims struct {
	self  Holder
	lease time.Duration
	round uint64
	held  map[Key]*claim
	// asked is the last round in which each voter was asked; only the answer
	// to that counts.
	asked map[string]uint64
}

type claim struct {
	hold   time.Duration
	wanted bool
	// busy says that requests were on the server in this round; releases counts
	// the rounds that gave the server back.
	busy     bool
	releases int
	grants   map[string]grant
	// released is the round in which the grants were last given back; answers
	// to that round or earlier ones no longer count.
	released uint64
}

// grant is one voter's grant, usable in [from, until) on this host's clock.
type grant struct {
	from, until time.Time
	// voter is the incarnation of the voter.
	voter uint64
}

// after returns the grant that renews old: a voter that has started anew does
// not know what its predecessor made this host wait for.
func (g grant) after(old grant, now time.Time) grant {
	if old.voter != g.voter && now.Before(old.until) && old.from.After(g.from) {
		g.from = old.from
	}
	return g
}

// NewClaims returns the claims of a process that holds nothing.
func NewClaims(self Holder, lease time.Duration) *Claims {
	return &Claims{self: self, lease: lease, held: map[Key]*claim{}, asked: map[string]uint64{}}
}

// Want sets the servers that this host should hold. The others stop taking
// work at the next View, and are given back in the next round that finds them
// idle.
func (c *Claims) Want(wants []Want) {
	for _, h := range c.held {
		h.wanted = false
	}
	for _, w := range wants {
		h := c.held[w.Key]
		if h == nil {
			h = &claim{grants: map[string]grant{}, released: c.round}
			c.held[w.Key] = h
		}
		h.hold, h.wanted = w.Hold, true
	}
}

// releaseRounds is in how many rounds a server is given back before it is
// forgotten: a voter that hears none of them waits for the lease and the hold.
const releaseRounds = 10

// Round starts the next round of messages. Idle reports whether this host has
// no request on a server; a View that does not offer the unwanted servers must
// be in force before.
func (c *Claims) Round(idle func(Key) bool) uint64 {
	c.round++
	for key, h := range c.held {
		h.busy = !idle(key)
		if h.wanted || h.busy {
			h.releases = 0
			continue
		}
		h.released = c.round
		clear(h.grants)
		if h.releases++; h.releases > releaseRounds {
			delete(c.held, key)
		}
	}
	return c.round
}

// Ask makes this round's message to one voter.
func (c *Claims) Ask(now time.Time, voter string) *Ask {
	c.asked[voter] = c.round
	a := &Ask{From: c.self, Round: c.round}
	for key, h := range c.held {
		w := Want{Key: key, Hold: h.hold}
		g, has := h.grants[voter]
		switch {
		case has:
			a.Claims = append(a.Claims, Claim{Want: w, After: max(0, g.from.Sub(now))})
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

// Take counts the answers of one incarnation of a voter to the Ask of a round,
// sent and received at the given times of this host's clock.
func (c *Claims) Take(voter Holder, round uint64, sent, received time.Time, answers []Answer) {
	if c.asked[voter.Host] != round {
		return
	}
	until := sent.Add(c.lease - c.lease/driftDivisor)
	for _, a := range answers {
		h := c.held[a.Key]
		if h == nil || round <= h.released {
			continue
		}
		if !a.Granted {
			delete(h.grants, voter.Host)
			continue
		}
		next := grant{from: received.Add(a.After), until: until, voter: voter.Incarnation}
		h.grants[voter.Host] = next.after(h.grants[voter.Host], received)
	}
}

// View returns an immutable copy for readers, with the grants of the given
// voters.
func (c *Claims) View(voters []string) *ClaimView {
	v := &ClaimView{voters: len(voters), grants: make(map[Key][]grant, len(c.held))}
	for key, h := range c.held {
		if h.wanted {
			v.grants[key] = h.of(voters)
		}
	}
	return v
}

func (h *claim) of(voters []string) []grant {
	var out []grant
	for _, voter := range voters {
		if g, ok := h.grants[voter]; ok {
			out = append(out, g)
		}
	}
	return out
}

// ClaimView is an immutable state of Claims. The zero value holds nothing.
type ClaimView struct {
	voters int
	grants map[Key][]grant
}

// Votes returns how many grants of a server may be used at a time.
func (v *ClaimView) Votes(now time.Time, key Key) int {
	n := 0
	for _, g := range v.grants[key] {
		if !now.Before(g.from) && now.Before(g.until) {
			n++
		}
	}
	return n
}

// Short reports whether this host lacks a majority of the grants of a server
// that it should hold.
func (v *ClaimView) Short(now time.Time) bool {
	for key := range v.grants {
		if 2*v.Votes(now, key) <= v.voters {
			return true
		}
	}
	return false
}

// Holds reports whether this host should take work for a server.
func (v *ClaimView) Holds(key Key) bool {
	_, ok := v.grants[key]
	return ok
}

// Limit returns how many requests this host may have on a server at a time.
func (v *ClaimView) Limit(now time.Time, key Key, slots int) int {
	return Share(v.Votes(now, key), v.voters, slots)
}
