package steering

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Scenario is a load with a fault in the middle third of a run.
type Scenario struct {
	Name string
	// Load is the part of all slots that callers of each region need.
	Load       float64
	LoseRegion bool // the first region with its hosts and servers
	Surge      bool // callers of the first region come three times as often
	CutDomain  bool // the first domain reaches no other
	Replace    bool // half of the hosts are replaced
	Lie        bool // the first domain reports no load
	Freeze     bool // loads stop arriving
	Cold       bool // all servers take three times as long
	TwoShifts  bool // the first region and another domain are drained at once
}

// Scenarios are all faults at their loads.
var Scenarios = []Scenario{
	{Name: "none, 80% load", Load: 0.8},
	{Name: "region loss", Load: 0.5, LoseRegion: true},
	{Name: "surge x3", Load: 0.5, Surge: true},
	{Name: "domain cut", Load: 0.5, CutDomain: true},
	{Name: "half of hosts replaced in surge", Load: 0.5, Surge: true, Replace: true},
	{Name: "lying loads", Load: 0.8, Lie: true},
	{Name: "frozen loads", Load: 0.8, Freeze: true},
	{Name: "all cold", Load: 0.3, Cold: true},
	{Name: "two shifts", Load: 0.5, TwoShifts: true},
}

// Result is what one policy did in one scenario.
type Result struct {
	// CapUse is the highest part of a region's cap in use, and SlotUse of a
	// server's slots, with what waits at the server.
	CapUse, SlotUse float64
	// Headroom is the part of the fullest domain's slots that was free, in the
	// mean over the run.
	Headroom float64
	took     [2][]time.Duration
	sent     [2]int
	met      [2]int
}

func (r *Result) add(class int, took time.Duration, inTime bool) {
	r.took[class] = append(r.took[class], took)
	if inTime {
		r.met[class]++
	}
}

// Quantile returns a quantile of a class's latency over answered requests.
func (r *Result) Quantile(class int, q float64) time.Duration {
	list := slices.Sorted(slices.Values(r.took[class]))
	if len(list) == 0 {
		return 0
	}
	return list[int(q*float64(len(list)-1))]
}

// Met returns the part of a class's requests that were answered in time.
func (r *Result) Met(class int) float64 {
	if r.sent[class] == 0 {
		return 1
	}
	return float64(r.met[class]) / float64(r.sent[class])
}

// Run plays a scenario for a while under a policy with a seed.
func Run(s Scenario, policyName string, length time.Duration, seed uint64) Result {
	w := &world{scenario: s, length: length, rng: rand.New(rand.NewPCG(seed, 1))}
	for d := range domains {
		for range serversIn[d] {
			w.servers = append(w.servers, &server{domain: d})
		}
	}
	w.policy = policies[policyName](w)
	for region := range regionNames {
		w.arrive(region)
	}
	var free [domains]float64
	samples := 0.0
	var sample func()
	sample = func() {
		samples++
		for d := range domains {
			busy := 0
			for _, sv := range w.servers {
				if sv.domain == d {
					busy += sv.running
				}
			}
			free[d] += 1 - float64(busy)/float64(serversIn[d]*serverSlots)
		}
		w.after(50*time.Millisecond, sample)
	}
	sample()
	for w.queue.Len() > 0 && w.queue.Next() < w.length {
		e := w.queue.Pop()
		w.now = e.At
		e.Do()
	}
	w.result.Headroom = slices.Min(free[:]) / samples
	return w.result
}
