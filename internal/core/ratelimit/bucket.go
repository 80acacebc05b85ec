package ratelimit

import "time"

const (
	// minRate is the least rate at which permits are issued, in permits per second,
	// whatever the limit: only a response shows that the limit has ended.
	minRate = 0.2
	// burstTime is for how long unused permits accumulate, since requests come at random.
	burstTime = 500 * time.Millisecond
	// deputyShare is the fraction of the limit at which the deputy issues permits. The
	// issuer may still issue to gateways that can reach it, at the whole limit; together
	// they stay below one and a half times the limit, bursts included.
	deputyShare = 0.25
)

// Role is what a gateway is for a server.
type Role int

// Values of Role.
const (
	// RoleNone is that of a gateway that issues no permits for the server.
	RoleNone Role = iota
	RoleIssuer
	// RoleDeputy is that of the gateway that issues permits to gateways that cannot
	// reach the issuer.
	RoleDeputy
)

// Bucket is the token bucket from which a server's permits are issued. The zero value
// is empty: a gateway that becomes the issuer does not know what was issued before. It
// is not safe for concurrent use.
type Bucket struct {
	permits float64
	at      time.Time
}

// Take takes one permit at a server's limit, in permits per second. If there is none,
// it returns false and the time until there is one.
func (b *Bucket) Take(now time.Time, limit float64, role Role) (bool, time.Duration) {
	rate := max(minRate, limit)
	if role == RoleDeputy {
		rate *= deputyShare
	}
	if !b.at.IsZero() {
		most := max(1, rate*burstTime.Seconds())
		b.permits = min(most, b.permits+rate*max(0, now.Sub(b.at).Seconds()))
	}
	b.at = now
	if b.permits < 1 {
		return false, time.Duration((1 - b.permits) / rate * float64(time.Second))
	}
	b.permits--
	return true, 0
}
