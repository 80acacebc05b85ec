package loadview

import (
	"math"
	"time"

	"cassiatray/internal/core/overload"
)

// Report is what a gateway knows of a server's load from the server's responses.
type Report struct {
	// Others is the number of requests of other gateways at the server by the latest
	// response, and Mean its moving average.
	Others, Mean float64
	// Slowdown is the pace by the latest response: how many times as long as usual work
	// takes, 0 if it was not reported.
	Slowdown float64
	// Age is the time since the latest response.
	Age time.Duration
}

const (
	// minMeanDecay and meanDecayRuns are the time within which the average of a server that
	// sends no reports decays: some runs, and at least a few seconds, since a gateway hears
	// of one server every one to three seconds. Without the decay, a server that was once
	// full would never get a request again.
	minMeanDecay  = 4 * time.Second
	meanDecayRuns = 6
	// ownWeight is the weight of the gateway's own requests in the expected number of those
	// of other gateways; the average of the reports has the rest. One gateway has only a few
	// requests at a server, so that their number alone says little.
	ownWeight = 0.4
	// maxOwnRatio is the ratio of other gateways' requests to own ones up to which these have
	// that weight. At gateways with a twelfth of the arrivals, where one own request stood for
	// four others, 2 to 5% of the requests were refused at 55 to 70% load of 3 slots.
	maxOwnRatio = 4
	// slowSpell is how much longer a server is taken to stay slow when it has just said so:
	// half of a usual spell of 600 ms. It falls to zero within paceLife.
	slowSpell = 300 * time.Millisecond
	paceLife  = time.Second
)

// State is the estimated state of a server now.
type State struct {
	// Requests is the number of requests that run or wait at the server.
	Requests float64
	Slots    int
	// Slowdown is the believed pace, at least 1, and SlowFor how much longer it lasts.
	Slowdown float64
	SlowFor  time.Duration
}

// State interprets the report. own is the number of this gateway's requests at the server,
// which it knows exactly.
//
// The reported requests end within about a run, and as many as usual have arrived since: the
// reported figure decays to the number that is usual (Mitzenmacher 2000, Dahlin 2000). What is
// usual follows from earlier reports, and from the gateway's own requests: gateways that share
// their callers send to the same servers, so that many own ones are a sign of many others.
func (r Report) State(own, slots int, t *Times) State {
	run := max(t.Typical, time.Millisecond)
	mean := r.Mean * math.Exp(-float64(r.Age)/float64(max(minMeanDecay, meanDecayRuns*run)))
	weight := ownWeight * min(1, maxOwnRatio/max(t.OthersPerOwn, 1))
	mean = (1-weight)*mean + weight*float64(own)*t.OthersPerOwn
	kept := math.Exp(-float64(r.Age) / float64(run))
	s := State{Requests: float64(own) + mean + kept*(r.Others-mean), Slots: slots, Slowdown: 1}
	if r.Slowdown > 1 && r.Age < paceLife {
		s.Slowdown = r.Slowdown
		s.SlowFor = time.Duration((1 - float64(r.Age)/float64(paceLife)) * float64(slowSpell))
	}
	return s
}

// Wait returns the expected time until a slot is free, at the usual pace.
func (s State) Wait(t *Times) time.Duration {
	return overload.Load{Requests: s.Requests, Slots: s.Slots, Service: t.Typical}.Wait()
}

// Stretch returns how long work of a length at the usual pace takes if it begins now: it is
// slow only until the slow spell is over.
func (s State) Stretch(work time.Duration) time.Duration {
	if s.Slowdown <= 1 {
		return work
	}
	if slow := time.Duration(s.Slowdown * float64(work)); slow <= s.SlowFor {
		return slow
	}
	return work + time.Duration((1-1/s.Slowdown)*float64(s.SlowFor))
}

// HasRoom reports whether the server is expected to have a free slot.
func (s State) HasRoom() bool { return s.Requests <= float64(s.Slots)-1 }

// minRoom is the room, in slots, of a server that is full by the estimate, which may be wrong.
const minRoom = 0.1

// room returns the expected number of free slots.
func (s State) room() float64 { return max(minRoom, float64(s.Slots)-s.Requests) }

// Candidate is a server that a request may be sent to.
type Candidate struct {
	State State
	// Wait is the expected time until the run begins, at the usual pace.
	Wait time.Duration
	// Warm is set if the server is believed to be warm for the object, or is the first of
	// the object's servers: gateways share the order, and others keep it warm.
	Warm bool
	// Objects is the number of objects for which this gateway sent requests to the server
	// lately. It is 0 for the first of an object's servers, which keeps the object anyway.
	Objects int
}

const (
	// spareObjects is the number of objects up to which a server is assumed to keep all of
	// them warm, and crowdedObjects the number from which one more may evict another.
	spareObjects, crowdedObjects = 6, 10
	// minMisses and maxMisses are the shares of evictions up to which caches count as large
	// enough, and from which on as too small.
	minMisses, maxMisses = 0.01, 0.02
	// spareColdCost and crowdedColdCost are the cost of a cold run at a second server, in
	// differences of a cold and a warm run. It is low while the server can keep the object:
	// later runs there are warm, and the object's load is spread over two servers. It is high
	// if the object evicts another one, whose next run is cold in turn. crowdedWarmCost is
	// the cost of keeping the object at a second, crowded server that is warm for it.
	spareColdCost, crowdedColdCost, crowdedWarmCost = 0.3, 2, 0.3
	// tolerance is the difference of costs that does not count, in warm runs: it is less
	// than the error of the estimates.
	tolerance = 0.1
)

// crowding returns to what degree, between 0 and 1, one more object at the server evicts
// another one.
func (c *Candidate) crowding(t *Times) float64 {
	crowded := (float64(c.Objects) - spareObjects) / (crowdedObjects - spareObjects)
	evicting := (t.Misses - minMisses) / (maxMisses - minMisses)
	return min(max(crowded, 0), 1) * min(max(evicting, 0), 1)
}

// cost returns the expected time to the response, with what the run costs later requests.
func (c *Candidate) cost(t *Times) time.Duration {
	share := crowdedWarmCost * c.crowding(t)
	if !c.Warm {
		share = spareColdCost + (crowdedColdCost-spareColdCost)*c.crowding(t)
	}
	return c.State.Stretch(c.Wait+t.Warm) + time.Duration(share*float64(t.Cold-t.Warm))
}

// Choose returns the index of the candidate to send to. Candidates whose cost is within the
// tolerance of the least are equally good for the request; point, in [0, 1), selects one of
// them in proportion to their room. If all gateways took the one with the least load by
// reports of the same age, they would fill it together.
func Choose(list []Candidate, t *Times, point float64) int {
	limit := time.Duration(math.MaxInt64)
	for i := range list {
		limit = min(limit, list[i].cost(t))
	}
	limit += time.Duration(tolerance * float64(t.Warm))
	total := 0.0
	for i := range list {
		if list[i].cost(t) <= limit {
			total += list[i].State.room()
		}
	}
	chosen := 0
	for i := range list {
		if list[i].cost(t) > limit {
			continue
		}
		chosen = i
		if point -= list[i].State.room() / total; point < 0 {
			break
		}
	}
	return chosen
}
