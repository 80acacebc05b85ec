// Package pace keeps the requests to a cold server within what it tolerates,
// summed over all gateways, without any of them talking: each cold server has
// one owner at a time, chosen alike by all, and only the owner sends to it. It
// is pure: time is an argument.
package pace

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the gateway that may send to a server while it is cold: the
// highest rendezvous hash over the gateways' names.
func Owner(server string, gateways []string) string {
	best, owner := uint64(0), ""
	for _, g := range gateways {
		h := xxhash.Sum64String(server + "\x00" + g)
		if owner == "" || h > best || h == best && g < owner {
			best, owner = h, g
		}
	}
	return owner
}

// window is the span over which a cold server counts its requests.
const window = time.Second

// share is the part of the tolerated rate that one owner uses. Two gateways
// whose views of the members differ may both take themselves for the owner, and
// together stay within it and the burst that servers bear.
const share = 0.7

// Limiter bounds the requests to one cold server in every span of a second. It
// is not safe for concurrent use.
type Limiter struct{ sent []time.Time }

// Take counts a request if the rate allows one more now.
func (l *Limiter) Take(now time.Time, rate float64) bool {
	if !l.Allows(now, rate) {
		return false
	}
	l.sent = append(l.sent, now)
	return true
}

// Allows reports whether the rate allows one more request now.
func (l *Limiter) Allows(now time.Time, rate float64) bool {
	for len(l.sent) > 0 && now.Sub(l.sent[0]) > window {
		l.sent = l.sent[1:]
	}
	return len(l.sent) < int(rate*share)
}
