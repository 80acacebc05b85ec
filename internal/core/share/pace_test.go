package share

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cassiatray/internal/core/document"
)

const testTTL = 2 * time.Second

var testCap = document.ShiftCap{Share: 10, Per: document.Duration(time.Minute)}

// drainEvent is one document of a history of shifts.
type drainEvent struct {
	after  time.Duration
	shifts []Shift
	// lag is the delay of the document at each host. It has no bound.
	lag []time.Duration
}

const paceHosts = 4

var drainHistories = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) drainEvent {
	a := drainEvent{after: time.Duration(rapid.IntRange(0, 300).Draw(t, "after")) * time.Second}
	for i := range rapid.IntRange(0, 3).Draw(t, "shifts") {
		s := Shift{ID: fmt.Sprint("region-", i), Size: rapid.Float64Range(0.1, 2).Draw(t, "size")}
		s.Start = at(time.Duration(rapid.IntRange(0, 900).Draw(t, "start")) * time.Second)
		if rapid.Bool().Draw(t, "ends") {
			s.Until = s.Start.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "until")) * time.Second)
		}
		a.shifts = append(a.shifts, s)
	}
	for range paceHosts {
		a.lag = append(a.lag, time.Duration(rapid.IntRange(0, 400).Draw(t, "lag"))*time.Second)
	}
	return a
}), 1, 4)

func at(d time.Duration) time.Time {
	return time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC).Add(d)
}

// paceVariant disables mechanisms that a naive design lacks.
type paceVariant struct {
	ignoreTTL    bool // the rate does not allow for answers that callers have cached
	separateCaps bool // every shift has a cap of its own
	unpaced      bool // a host that receives a document late jumps to the schedule
}

func (r paceVariant) schedule(shifts []Shift) *Schedule {
	ttl := testTTL
	if r.ignoreTTL {
		ttl = -2 * MaxSkew
	}
	rate := RateOf(testCap, ttl)
	if !r.separateCaps {
		return NewSchedule(shifts, rate)
	}
	out := &Schedule{rate: rate * 10, segments: map[string][]segment{}}
	for _, s := range shifts {
		maps.Copy(out.segments, NewSchedule([]Shift{s}, rate).segments)
	}
	return out
}

// paceStep is the interval at which the levels are sampled.
const paceStep = time.Second

// maxMoved replays a history and returns the most work that moved in any window of
// the cap's period, as a fraction of a region's slots. Each host answers a quarter
// of the callers, and the clocks of the hosts differ by up to MaxSkew. Work follows
// an answer immediately or up to the TTL later, so the work that moves in a window
// is at most what moves in the answers of a window that is longer by the TTL.
func maxMoved(history []drainEvent, variant paceVariant) float64 {
	const length = 20 * time.Minute
	window := int((testCap.Per.D() + testTTL) / paceStep)
	pacers := make([]*Pacer, paceHosts)
	current := make([]int, paceHosts) // number of the document in use
	schedules := make([]*Schedule, paceHosts)
	lastLevels := make([]map[string]float64, paceHosts)
	for i := range pacers {
		pacers[i], lastLevels[i] = NewPacer(), map[string]float64{}
	}
	var steps []float64
	sizes := make([]map[string]float64, paceHosts)
	for i := range sizes {
		sizes[i] = map[string]float64{}
	}
	for now := time.Duration(0); now < length; now += paceStep {
		sum := 0.0
		for i := range pacers {
			arrive, newest := time.Duration(0), 0
			for k, a := range history {
				arrive += a.after
				if now >= arrive+a.lag[i] {
					newest = k + 1
				}
			}
			var shifts []Shift
			if newest > 0 {
				shifts = history[newest-1].shifts
			}
			if schedules[i] == nil || newest != current[i] {
				current[i], schedules[i] = newest, variant.schedule(shifts)
			}
			skew := MaxSkew * time.Duration(i) / (paceHosts - 1)
			s := schedules[i]
			var levels map[string]float64
			if variant.unpaced {
				levels = NewPacer().Step(at(now+skew), shifts, s)
			} else {
				levels = maps.Clone(pacers[i].Step(at(now+skew), shifts, s))
			}
			for _, sh := range shifts {
				sizes[i][sh.ID] = sh.Size
			}
			for _, id := range []string{"region-0", "region-1", "region-2"} {
				d := levels[id] - lastLevels[i][id]
				sum += max(d, -d) * sizes[i][id] / paceHosts
			}
			lastLevels[i] = levels
		}
		steps = append(steps, sum)
	}
	most, sum := 0.0, 0.0
	for i, d := range steps {
		sum += d
		if i >= window {
			sum -= steps[i-window]
		}
		if i > 0 {
			most = max(most, sum)
		}
	}
	return most
}

const roundingError = 1e-9

func TestShiftCapHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := drainHistories.Draw(t, "history")
		history[0].lag = make([]time.Duration, paceHosts) // all hosts start with the first document
		if got, bound := maxMoved(history, paceVariant{}), testCap.Share.Fraction(); got > bound+roundingError {
			t.Fatalf("%.4f of the slots moved within %s, exceeding the cap of %.4f", got, testCap.Per, bound)
		}
	})
}

func TestNaiveDesignsExceedShiftCap(t *testing.T) {
	for name, rules := range map[string]paceVariant{
		"the rate ignores cached answers":               {ignoreTTL: true},
		"every shift has a cap of its own":              {separateCaps: true},
		"a late document takes full effect immediately": {unpaced: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range 200 {
				if got := maxMoved(drainHistories.Example(seed), rules); got > testCap.Share.Fraction()+roundingError {
					t.Logf("history %d: %.4f of the slots moved", seed, got)
					return
				}
			}
			t.Fatal("no history exceeded the cap")
		})
	}
}
