// Package quota bounds the requests of a customer over all gateways. One gateway, the issuer,
// keeps a token bucket per customer and grants tokens to the gateways that ask it; a gateway
// admits a request with a token, or on a small credit that it reports with its next ask. It is
// pure: time is an argument. docs/design/quotas.md has the reasons for its parts.
package quota

import "time"

// Limit is a customer's limit over all gateways.
type Limit struct {
	// Rate is in requests per second, Burst the requests beyond it at once.
	Rate, Burst float64
}

const (
	// AskEvery is the least time between two asks in the steady state, four a second, and
	// AskEveryUrgent that while a customer is short of tokens.
	AskEvery       = 250 * time.Millisecond
	AskEveryUrgent = 100 * time.Millisecond
	// RefreshEvery is the longest time between two asks of a gateway that serves callers: an
	// issuer counts it for countedFor, so that one lost ask does not matter.
	RefreshEvery = 500 * time.Millisecond
	// tokenLife is how long after the ask a token may be used: AskEvery and the longest round
	// trip of an ask, with a margin.
	tokenLife = 500 * time.Millisecond
	// holdTime is for how much of its demand a gateway holds tokens: AskEvery and a round trip
	// between regions, with a margin.
	holdTime = 400 * time.Millisecond
	// spread is how many standard deviations of the demand in holdTime are held beyond its mean.
	spread = 1.5
	// minHeldRate is the demand at one gateway, in requests per second, below which no tokens
	// are held: nearly all would expire unused.
	minHeldRate = 0.5
	// creditTime is for how much of the recently admitted rate a gateway gives credit: requests
	// that come while an ask is under way.
	creditTime = 100 * time.Millisecond
	// maxExtraCredit is the largest credit beyond that and the one that each gateway has. Chance
	// multiplies the demand of small customers within one ask.
	maxExtraCredit = 2
	// meanTime is the time constant of a gateway's mean rates.
	meanTime = 2 * time.Second
	// fastMeanTime is that of the demand for which tokens are wanted, so that they follow it.
	fastMeanTime = 400 * time.Millisecond
)

// boundSlack is how many requests beyond the limit the bound on a window allows for every
// customer: what gateways admit on credit at once, and how far a bucket may be overdrawn.
const boundSlack = 20

// countedFor is how long an issuer counts a gateway after its ask, and a gateway the issuers it
// has asked. Two issuers that a gateway asked within this time divide its part.
const countedFor = 1200 * time.Millisecond

// Use is what a gateway reports and wants for one customer.
type Use struct {
	// OnCredit is what it has admitted without a token, Wanted how many tokens it wants, and
	// Returned how many of the issuer's tokens have expired unused.
	OnCredit, Wanted, Returned uint32
}

// Grant answers a Use.
type Grant struct {
	Tokens uint32
	// Denied is set when no more requests are to be admitted on credit for RetryAfter.
	Denied     bool
	RetryAfter time.Duration
}

// mean is an exponentially weighted mean rate of events, in events per second.
type mean struct {
	rate float64
	at   time.Time
}
