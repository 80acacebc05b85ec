// Package retry decides whether and when a failed request is sent again. It is
// pure: time and randomness are arguments.
package retry

import "time"

// Budget bounds retries to a share of the requests of a class, so that servers
// that fail every request do not get a multiple of their load. It is a token
// bucket that requests fill and retries empty. It is not safe for concurrent
// use.
type Budget struct{ tokens float64 }

// Burst is the capacity of the bucket: the most retries that requests without
// retries can accumulate.
const Burst = 10

// Earn adds the tokens of one first attempt; share is the fraction of requests,
// from 0 to 1, that may be retried.
func (b *Budget) Earn(share float64) { b.tokens = min(Burst, b.tokens+share) }

// Spend takes one token and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// MaxAttempts bounds the attempts of one request, including the first.
const MaxAttempts = 3

// Limits of the backoff before a retry.
const (
	baseBackoff = 5 * time.Millisecond
	maxBackoff  = 250 * time.Millisecond
)

// Backoff returns the delay after a failed attempt, numbered from 1. Random is
// in [0, 1): the delay is spread over the upper half of a span that doubles
// with each attempt.
func Backoff(attempt uint32, random float64) time.Duration {
	span := min(maxBackoff, baseBackoff<<min(attempt-1, 8))
	return span/2 + time.Duration(random*float64(span/2))
}
