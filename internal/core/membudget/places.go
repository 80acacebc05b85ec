package membudget

import "sync"

// openShare is the part of the places that are given to whoever asks. The rest is for groups below
// an equal share.
const openShare = 3.0 / 4

// Places bounds the requests that wait for a server at once. Those of one group, such as a route or
// a customer, cannot take the places of all others. It is safe for concurrent use.
type Places struct {
	most int

	mu     sync.Mutex
	total  int
	groups map[string]int
}

// NewPlaces returns places for this many requests; 0 for any number.
func NewPlaces(most int) *Places { return &Places{most: most, groups: map[string]int{}} }

// Free reports whether Enter would give the group a place.
func (p *Places) Free(group string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.free(group)
}

// Enter takes a place for a request of a group. It reports false if there is none.
func (p *Places) Enter(group string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.free(group) {
		return false
	}
	p.total++
	p.groups[group]++
	return true
}

// Leave gives back a place that Enter took.
func (p *Places) Leave(group string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.total--
	if p.groups[group]--; p.groups[group] == 0 {
		delete(p.groups, group)
	}
}

// Taken returns how many places are taken, and Most how many there are; 0 for any number.
func (p *Places) Taken() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total
}

// Most is described at Taken.
func (p *Places) Most() int { return p.most }

// free reports whether there is a place for the group: in the open part for any, beyond it if the
// group has less than the share of one more group than wait now. The caller holds p.mu.
func (p *Places) free(group string) bool {
	switch {
	case p.most <= 0 || float64(p.total) < openShare*float64(p.most):
		return true
	case p.total >= p.most:
		return false
	}
	return p.groups[group] < p.most/(len(p.groups)+1)
}
