// Package pace limits the requests to a server that is starting cold, summed
// over all gateways, without coordination between them: rendezvous hashing
// gives each cold server one owner at a time, and only the owner sends to it.
// It is pure: time is an argument.
package pace

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the gateway that may send to a server while it is starting
// cold: the one with the highest rendezvous hash.
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

// window is the span over which the requests to a cold server are limited.
const window = time.Second

// ownerShare is the fraction of the tolerated rate that one owner uses. Two
// gateways with different views of the membership may both act as the owner;
// together they stay within the rate plus the burst that servers tolerate.
const ownerShare = 0.7

// Limiter limits the requests to one cold server in any window of one second.
// It is not safe for concurrent use.
type Limiter struct {
	sent      []time.Time
	heldUntil time.Time
}

// Clone returns a copy that counts the same requests.
func (l *Limiter) Clone() Limiter {
	return Limiter{sent: slices.Clone(l.sent), heldUntil: l.heldUntil}
}

// Hold allows no request within the next second: others may have sent to the server as to
// a warm one until now.
func (l *Limiter) Hold(now time.Time) { l.heldUntil = now.Add(window) }

// Take counts a request and returns true if the rate allows one more now.
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
	return len(l.sent) < int(rate*ownerShare) && !now.Before(l.heldUntil)
}
