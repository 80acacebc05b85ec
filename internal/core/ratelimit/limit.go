// Package ratelimit keeps the request rate that an overloaded backend server names
// for all gateways together. For each such server one gateway, its issuer, issues
// permits at that rate, and a gateway sends a request to the server only with a
// permit. It is pure: time is an argument.
package ratelimit

import "time"

// Limit is what a response of a server said about its limit. The zero value is that
// of a server without a response.
type Limit struct {
	// Named is set if the server named a limit.
	Named bool
	// Rate is how many requests per second the server takes from all gateways
	// together.
	Rate float64
	// At is when the response was received.
	At time.Time
}

// SameAs reports whether l and o say the same, whenever they were received.
func (l Limit) SameAs(o Limit) bool { return l.Named == o.Named && l.Rate == o.Rate }

// Later returns the later of two limits.
func (l Limit) Later(o Limit) Limit {
	if o.At.After(l.At) {
		return o
	}
	return l
}
