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

// drainAct is one document of a history of shifts.
type drainAct struct {
	after  time.Duration
	shifts []Shift
	// lag is the delay of the document at each host; it may be long.
	lag []time.Duration
}

const paceHosts = 4

var drainHistories = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) drainAct {
	a := drainAct{after: time.Duration(rapid.IntRange(0, 300).Draw(t, "after")) * time.Second}
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

// paceRules switch off what a naive design leaves out.
type paceRules struct {
	forgetCache bool // the answers that callers still use
	apart       bool // every shift has a cap of its own
	unpaced     bool // a host that learns late jumps to the schedule
}

func (r paceRules) schedule(shifts []Shift) *Schedule {
	ttl := testTTL
	if r.forgetCache {
		ttl = -2 * MaxSkew
	}
	rate := RateOf(testCap, ttl)
	if !r.apart {
		return NewSchedule(shifts, rate)
	}
	out := &Schedule{rate: rate * 10, spans: map[string][]span{}}
	for _, s := range shifts {
		maps.Copy(out.spans, NewSchedule([]Shift{s}, rate).spans)
	}
	return out
}

// paceStep is how often the levels are looked at.
const paceStep = time.Second

// moved plays a history and returns the most work that moved in any window of
// the cap's period, as a part of a region's slots. The hosts answer a quarter
// of the callers each; their clocks differ by up to MaxSkew. Work follows
// answers as late as callers may cache them, and as early as at once: what
// moves in a window of work is at most what moved in the answers of the window
// that is longer by the time to live.
func moved(history []drainAct, rules paceRules) float64 {
	const length = 20 * time.Minute
	window := int((testCap.Per.D() + testTTL) / paceStep)
	pacers := make([]*Pacer, paceHosts)
	have := make([]int, paceHosts) // documents taken
	plans := make([]*Schedule, paceHosts)
	last := make([]map[string]float64, paceHosts)
	for i := range pacers {
		pacers[i], last[i] = NewPacer(), map[string]float64{}
	}
	var steps []float64
	sizes := make([]map[string]float64, paceHosts)
	for i := range sizes {
		sizes[i] = map[string]float64{}
	}
	for now := time.Duration(0); now < length; now += paceStep {
		sum := 0.0
		for i := range pacers {
			arrive, taken := time.Duration(0), 0
			for k, a := range history {
				arrive += a.after
				if now >= arrive+a.lag[i] {
					taken = k + 1
				}
			}
			var shifts []Shift
			if taken > 0 {
				shifts = history[taken-1].shifts
			}
			if plans[i] == nil || taken != have[i] {
				have[i], plans[i] = taken, rules.schedule(shifts)
			}
			skew := MaxSkew * time.Duration(i) / (paceHosts - 1)
			s := plans[i]
			var levels map[string]float64
			if rules.unpaced {
				levels = NewPacer().Step(at(now+skew), shifts, s)
			} else {
				levels = maps.Clone(pacers[i].Step(at(now+skew), shifts, s))
			}
			for _, sh := range shifts {
				sizes[i][sh.ID] = sh.Size
			}
			for _, id := range []string{"region-0", "region-1", "region-2"} {
				d := levels[id] - last[i][id]
				sum += max(d, -d) * sizes[i][id] / paceHosts
			}
			last[i] = levels
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

const rounding = 1e-9

func TestNoHistoryPassesAShiftsCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := drainHistories.Draw(t, "history")
		history[0].lag = make([]time.Duration, paceHosts) // every host starts with it
		if got, bound := moved(history, paceRules{}), testCap.Share.Fraction(); got > bound+rounding {
			t.Fatalf("%.4f of the slots moved within %s, cap %.4f", got, testCap.Per, bound)
		}
	})
}

func TestNaiveDesignsPassAShiftsCap(t *testing.T) {
	for name, rules := range map[string]paceRules{
		"cached answers are forgotten":           {forgetCache: true},
		"every shift has a cap of its own":       {apart: true},
		"a late document counts at once in full": {unpaced: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range 200 {
				if got := moved(drainHistories.Example(seed), rules); got > testCap.Share.Fraction()+rounding {
					t.Logf("history %d: %.4f moved", seed, got)
					return
				}
			}
			t.Fatal("no fault found")
		})
	}
}
