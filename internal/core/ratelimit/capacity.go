package ratelimit

import "time"

const (
	// plannedShare is the ratio of the requests for the objects that are placed on a server
	// to its limit: above 1, since requests come at random, and what is over the limit goes
	// to other servers.
	plannedShare = 1.3
	// minCapacityShare is the least share of a server's capacity that objects are placed
	// for. The requests for them show that a limit has ended.
	minCapacityShare = 0.02
	// moveRatio is the ratio of two shares from which on objects are placed anew: each
	// object that moves costs a run on a server that is cold for it.
	moveRatio = 1.4
)

// CapacityShare returns which part of the work of its slots a server can take under a
// limit, in requests per second, if a request takes serviceTime.
func CapacityShare(limit float64, slots int, serviceTime time.Duration) float64 {
	return min(1, max(minCapacityShare, plannedShare*limit*serviceTime.Seconds()/float64(max(1, slots))))
}

// Moves reports whether two shares differ enough for objects to be placed anew.
func Moves(before, after float64) bool {
	return after > moveRatio*before || before > moveRatio*after || before < 1 && after == 1
}
