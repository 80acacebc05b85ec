package relay

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// tickAll counts one interval at every living lead, each of which then reports
// to its next partner.
func tickAll(leads []*Beats, dead map[int]bool, turn []int) {
	index := map[string]int{}
	for i, a := range leads {
		index[a.own] = i
	}
	for i, a := range leads {
		if dead[i] {
			continue
		}
		a.Tick()
		partners := Partners(a.names, a.own)
		j := index[partners[turn[i]%len(partners)]]
		turn[i]++
		if dead[j] {
			continue
		}
		leads[j].Merge(a.Export())
		a.Merge(leads[j].Export())
	}
}

// TestBeats lets some of a few domains die: they and no others must be silent
// everywhere once SilentAfter and the spread have passed.
func TestBeats(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { playBeats(rt, rapid.IntRange(2, 20).Draw(rt, "domains")) })
}

// TestBeatsAtTargetSize does the same with 112 domains.
func TestBeatsAtTargetSize(t *testing.T) {
	rounds := 0
	rapid.Check(t, func(rt *rapid.T) {
		if rounds++; rounds <= 3 {
			playBeats(rt, 112)
		}
	})
}

func playBeats(rt *rapid.T, count int) {
	domains := names(count)
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "turns"), 0))
	var leads []*Beats
	turn := make([]int, len(domains))
	for i, d := range domains {
		leads = append(leads, NewBeats(d, domains, nil))
		turn[i] = random.IntN(64)
	}
	dead := map[int]bool{}
	for range 2 * SilentAfter {
		tickAll(leads, dead, turn)
		checkSilent(rt, leads, dead, 0)
	}
	for range rapid.IntRange(1, max(1, len(domains)/8)).Draw(rt, "deaths") {
		dead[rapid.IntRange(0, len(domains)-1).Draw(rt, "dead")] = true
	}
	for range 2 * SilentAfter {
		tickAll(leads, dead, turn)
	}
	checkSilent(rt, leads, dead, len(dead))
}

func checkSilent(rt *rapid.T, leads []*Beats, dead map[int]bool, count int) {
	for i, a := range leads {
		if !dead[i] && len(a.Silent()) != count {
			rt.Fatalf("%s takes %v for silent, %d are dead", a.own, a.Silent(), len(dead))
		}
	}
}
