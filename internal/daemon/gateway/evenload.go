package gateway

import (
	"time"

	"cassiatray/internal/core/loadview"
	"cassiatray/internal/core/overload"
)

// pacedStallFactor is the factor by which runs at servers that report their pace may take
// longer before they count as stalled: a slow spell makes them 2.5 times as long.
const pacedStallFactor = 2

// estimateLoad sets the candidate's wait and state, and its load if the server reports its
// pace. With shedding, the load is what is assumed of a server that sheds load.
func (n *Node) estimateLoad(c *candidate, shedding bool, times *loadview.Times, now time.Time) {
	s := c.server
	slots := s.rec().Slots
	r := s.load.Load()
	if r != nil {
		c.pace, c.reportAge = r.slowdown, now.Sub(r.at)
	}
	if c.pace <= 0 {
		c.wait = overload.Load{Requests: c.load, Slots: slots, Service: times.Mean}.Wait()
		c.wait = max(c.wait, s.stallTime(now, times.Mean))
		c.state = loadview.State{Requests: c.load, Slots: slots, Slowdown: 1}
		return
	}
	c.paced = true
	report := loadview.Report{Others: r.otherRequests, Mean: r.average, Slowdown: r.slowdown, Age: c.reportAge}
	c.state = report.State(s.inFlight(), slots, times)
	if shedding {
		c.state.Requests = max(c.state.Requests, c.load)
	}
	c.load = c.state.Requests
	c.wait = max(c.state.Wait(times), s.stallTime(now, pacedStallFactor*times.Typical))
}

// expectsSlot reports whether the candidate is expected to have a free slot, so that the time
// of an attempt there is that of the run. Of servers that report their pace, those with a
// third of their slots free count: the estimate is of an old report.
func (c *candidate) expectsSlot() bool {
	if !c.paced {
		return c.wait == 0
	}
	return c.state.Requests <= lightShare*float64(c.state.Slots)
}

// lightShare is the ratio of requests to slots up to which a server that reports its pace is
// expected to have a free slot.
const lightShare = 2.0 / 3

// preferServer chooses between the usable ones of an object's preferred servers, in rendezvous
// order. If none of them reports its pace, a later one is chosen only if its wait is shorter by
// more than its spill cost.
func (n *Node) preferServer(req *inflightRequest, list []candidate, times *loadview.Times, now time.Time) candidate {
	if len(list) == 0 {
		return candidate{}
	}
	paced := false
	for i := range list {
		paced = paced || list[i].paced
	}
	best := 0
	switch {
	case len(list) == 1:
	case paced:
		var options [preferredServerCount]loadview.Candidate
		for i := range list {
			c := &list[i]
			options[i] = loadview.Candidate{State: c.state, Wait: c.wait, Warm: true}
			if i > 0 && req.sticky() {
				options[i].Warm, options[i].Objects = c.server.warmthOf(req.objectHash, now)
			}
		}
		best = loadview.Choose(options[:len(list)], times, n.random())
	default:
		for i := range list[1:] {
			if list[i+1].wait+spillCost(req, list[i+1], times.Mean, now) < list[best].wait {
				best = i + 1
			}
		}
	}
	for i := range list {
		list[best].otherRoom = list[best].otherRoom || i != best && list[i].state.HasRoom()
	}
	return list[best]
}

// expectedRun returns how long the request is expected to run at the chosen server.
func (c *candidate) expectedRun(times *loadview.Times) time.Duration {
	if c.paced {
		return times.Typical
	}
	return times.Mean
}

// maxWait returns the longest time that the request may wait at the chosen server. One that
// reports its pace and is expected to have a free slot is never too full.
func (n *Node) maxWait(v *view, req *inflightRequest, c *candidate, times *loadview.Times, now time.Time) time.Duration {
	if c.paced && c.state.HasRoom() {
		return c.wait
	}
	return overload.MaxWait(req.route.Target, req.callerWaits(now), c.expectedRun(times), v.priorities.Level(req.route, req.priority()))
}
