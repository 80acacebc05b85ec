// Package retry decides whether and when a failed request is sent again. It is
// pure: time and randomness are arguments.
package retry

import "time"

// Budget bounds retries to a share of the requests of a class, so that servers
// that all fail are not sent a multiple of their load. It is a token bucket
// that requests fill and retries empty. It is not safe for concurrent use.
type Budget struct{ tokens float64 }

// Burst is the most retries that a quiet time can save up.
const Burst = 10

// Earn counts one first attempt; share is the part of requests, from 0 to 1,
// that may be retried.
func (b *Budget) Earn(share float64) { b.tokens = min(Burst, b.tokens+share) }

// Spend takes one retry from the budget and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// MaxAttempts bounds how often one request is sent in all.
const MaxAttempts = 3

// Backoff limits of the pause before a retry.
const (
	baseBackoff = 5 * time.Millisecond
	maxBackoff  = 250 * time.Millisecond
)

// Backoff returns the pause after a failed attempt, numbered from 1. Random is
// in [0, 1): the pause is spread over the upper half of a span that doubles
// with each attempt.
func Backoff(attempt uint32, random float64) time.Duration {
	span := min(maxBackoff, baseBackoff<<min(attempt-1, 8))
	return span/2 + time.Duration(random*float64(span/2))
}
