package membudget

import (
	"cmp"
	"slices"
	"time"
)

// Candidate is a holder as the choice of those to end sees it.
type Candidate struct {
	Bytes int64
	// Stalled is how long its peer has made no progress.
	Stalled time.Duration
}

// cost is what a holder costs others: its bytes, for as long as its peer has made no progress.
func (c Candidate) cost() float64 {
	return float64(c.Bytes) * float64(max(0, c.Stalled)+leastStall)
}

// Choose returns which holders are ended for the one that asks, the costliest first, and the
// bytes that this frees: want if possible. It ends none unless need can be freed by holders that
// cost more than the one that asks.
func Choose(holders []Candidate, asker Candidate, need, want int64) (chosen []int, freed int64) {
	order := make([]int, 0, len(holders))
	for i, h := range holders {
		if h.cost() > asker.cost() {
			order = append(order, i)
			freed += h.Bytes
		}
	}
	if freed < need {
		return nil, 0
	}
	slices.SortFunc(order, func(i, j int) int { return cmp.Compare(holders[j].cost(), holders[i].cost()) })
	freed = 0
	for _, i := range order {
		if freed >= want {
			break
		}
		chosen = append(chosen, i)
		freed += holders[i].Bytes
	}
	return chosen, freed
}
