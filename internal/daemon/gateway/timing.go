package gateway

import (
	"time"

	"cassiatray/internal/adapter/peer"
)

// timing holds the times of the exchange with the store and with peers that
// follow from the operators' bounds on how soon a change must count everywhere.
type timing struct {
	// watchWait is how long the store may keep a watch waiting; it bounds the
	// age of what a quiet watch confirms.
	watchWait time.Duration
	// staleSource is the age from which on a source counts as failed. A hub's
	// watch confirms its mirror every watchWait.
	staleSource time.Duration
	// staleAfter is the age of the mirror from which on a gateway that is no
	// hub turns to the store itself: the oldest page of a fresh source, and a
	// pull. What is left of the bound is for listing the store.
	staleAfter time.Duration
	// pullWait is how long the first source may keep a pull waiting, and
	// spareEvery how often the second is asked.
	pullWait, spareEvery time.Duration
	// pullSlack is added to a pull's wait before its source counts as failed, unless its page has
	// begun to come. From then on it is how long nothing of the page may come.
	pullSlack time.Duration
	// seekSlowly is the pause between sources when the store seems to be away
	// for all of them.
	seekSlowly time.Duration
}

const (
	// longestBound is the bound for which the times below are laid out; a longer
	// one lengthens none of them, since callers gain from early news.
	longestBound = 2500 * time.Millisecond
	// shortestBound is the least bound that can be kept: two round trips between
	// regions, and the least time between two watches.
	shortestBound = 600 * time.Millisecond
	// pullMost is added to a pull's wait before a page that still comes is given up: the time of
	// a page of peer.MaxFrame from each of the two sources at once.
	pullMost = peer.ReplyMost
)

// newTiming lays out the times for the shortest bound.
func newTiming(b *Bounds) *timing {
	bound := longestBound
	for _, d := range []time.Duration{time.Duration(b.Drain), time.Duration(b.ConfigApply)} {
		if d > 0 {
			bound = min(bound, max(d, shortestBound))
		}
	}
	part := func(share float64) time.Duration { return time.Duration(share * float64(bound)) }
	return &timing{
		watchWait: part(0.4), staleSource: part(0.68), staleAfter: part(0.84),
		pullWait: part(0.32), spareEvery: part(0.4), pullSlack: part(0.28), seekSlowly: part(0.4),
	}
}
