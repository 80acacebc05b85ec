package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/loadview"
	"cassiatray/internal/core/pace"
	"cassiatray/internal/core/ratelimit"
	"cassiatray/internal/port"
)

// preferredServerCount is how many reachable servers share an object's requests.
// A second server takes requests when the first is full; with many, every server
// would have to be warm for every object.
const preferredServerCount = 2

// candidate is a server with the estimates by which it is compared with others.
type candidate struct {
	server *server
	// view is the one under which the server was chosen; leaving is set if it had said that it
	// leaves by then.
	view    *view
	leaving bool
	// rank is the server's position in the object's rendezvous order, from 0.
	rank int
	// load is the estimated number of requests that run or wait there, wait the
	// estimated time until a slot is free, and coldFor how long it stays cold.
	load    float64
	wait    time.Duration
	coldFor time.Duration
	// limit is the rate that the server names for all gateways together.
	limit ratelimit.Limit
	// state is the estimated state by which servers that report their pace are compared;
	// paced is set if this one does.
	paced bool
	state loadview.State
	// pace and reportAge are those of the latest report; zero if there is none.
	pace      float64
	reportAge time.Duration
	// otherRoom is set if another of the preferred servers is believed to have a free slot.
	otherRoom bool
}

// rejectReason is why a request was not sent to any server. The values appear
// in the log, and tell a gateway that relays a request why its helper rejected it.
type rejectReason string

// Values of rejectReason.
const (
	reasonNone        rejectReason = ""
	reasonNoServer    rejectReason = "no server known"
	reasonAllTried    rejectReason = "all servers tried"
	reasonUnreachable rejectReason = "servers unreachable"
	reasonCold        rejectReason = "servers cold"
	reasonFull        rejectReason = "servers full"
	reasonLimited     rejectReason = "servers at their limit"
	reasonLeaving     rejectReason = "servers leaving"
	reasonPaused      rejectReason = "servers pause"
	// reasonStopping means that this gateway ends before the request would. Others may take it at once.
	reasonStopping rejectReason = "stopping"
)

// pickServer chooses a server for the request. If the server names a limit, pickServer
// also takes a permit for it; if there is none, it chooses again among the others.
func (n *Node) pickServer(v *view, req *inflightRequest) (candidate, rejectReason) {
	for {
		now := time.Now()
		best, reason := n.chooseServer(v, req, now)
		switch {
		case reason != reasonNone || !best.limit.Named:
			return best, reason
		case n.takePermit(v, req, best.server, now):
			return best, reasonNone
		}
	}
}

// chooseServer chooses between the preferred servers of the request's object: the
// first preferredServerCount usable ones in rendezvous order. A later one is chosen
// only if its wait is shorter by more than its spill cost.
func (n *Node) chooseServer(v *view, req *inflightRequest, now time.Time) (candidate, rejectReason) {
	g := v.groups[req.service]
	if g == nil {
		return candidate{}, reasonNoServer
	}
	times := n.serviceTimes.times(req.route, req.service)
	req.coldUnseen = n.coldUnseen(v, req.service, now)
	var best, reportedDown, limited, paused, leaving, unanswered candidate
	why := reasonNoServer
	var preferred [preferredServerCount]candidate
	// A server that does not answer its check is probably busy. It counts among the preferred
	// ones, so that a burst does not move objects to servers that are cold for them.
	usable, busy := 0, 0
	for rank, s := range g.rankingFor(req.route).ranked(req.objectHash, req.sticky()) {
		c, reason := n.evaluateServer(v, req, s, &times, now)
		c.rank = rank
		if reason != reasonNone {
			why = reason
			switch {
			case reason == reasonUnreachable && req.sticky() && c.server != nil && c.server.withHealth((*fleet.Health).Unanswered):
				unanswered = c
				busy++
			case reason == reasonUnreachable && c.server != nil && reportedDown.server == nil:
				reportedDown = c
			case reason == reasonLimited && (limited.server == nil || c.wait < limited.wait):
				limited = c
			case reason == reasonPaused && (paused.server == nil || c.wait < paused.wait):
				paused = c
			case reason == reasonLeaving && leaving.server == nil:
				leaving = c
			}
			if usable+busy >= preferredServerCount {
				break
			}
			continue
		}
		if c.limit.Named && usable > 0 {
			// Its permits are kept for the objects whose first usable server it is.
			continue
		}
		preferred[usable] = c
		usable++
		if usable+busy >= preferredServerCount {
			break
		}
	}
	if usable == 0 && busy > 0 {
		return unanswered, reasonFull
	}
	best = n.preferServer(req, preferred[:usable], &times, now)
	if best.server == nil {
		// The server may be unreachable only from the gateway that reported it.
		best = reportedDown
	}
	if best.server == nil && limited.server == nil && paused.server == nil {
		best = leaving
	}
	switch {
	case best.server == nil && paused.server != nil && (limited.server == nil || paused.wait < limited.wait):
		return paused, reasonPaused
	case best.server == nil && limited.server != nil:
		return limited, reasonLimited
	case best.server == nil:
		return candidate{}, why
	case !req.endsBeforeStop(best.wait, best.expectedRun(&times), now):
		return best, reasonStopping
	case best.wait > n.maxWait(v, req, &best, &times, now):
		return best, reasonFull
	case best.coldFor > 0 && !n.takeColdPermit(v, best.server, now):
		return candidate{}, reasonCold
	}
	return best, reasonNone
}

// spillCost returns by how much c's wait must be shorter before a request spills
// to c from a server of better rank. It is low if c is warm for the object, and
// otherwise one service time, or, if c is lightly loaded, only what still lets the
// request meet its target. It is high if c has no free slot: the cold run would delay
// its other requests.
func spillCost(req *inflightRequest, c candidate, serviceTime time.Duration, now time.Time) time.Duration {
	switch {
	case !req.route.Sticky:
		return 0
	case c.server.isWarm(req.objectHash, now):
		return time.Duration(warmSpillShare * float64(serviceTime))
	case req.route.Target > 0 && c.load <= lightLoadShare*float64(c.server.rec().Slots):
		inTime := time.Duration(plannedTargetShare*float64(req.route.Target)) - serviceTime
		return min(serviceTime, max(inTime, time.Duration(minSpillShare*float64(serviceTime))))
	}
	if c.wait > 0 {
		return fullColdSpillFactor * serviceTime
	}
	return serviceTime
}

const (
	// fullColdSpillFactor is the spill cost to a server without a free slot that is cold
	// for the object, in service times: the cold run takes the slots of three warm ones
	// and the place of another object, whose next run is cold in turn.
	fullColdSpillFactor = 4
	// lightLoadShare is the ratio of requests to slots up to which a server
	// counts as lightly loaded.
	lightLoadShare = 0.35
	// plannedTargetShare is the part of a route's target by which a response
	// is planned, so that it is in time even if the wait was underestimated.
	plannedTargetShare = 0.9
	// minSpillShare is the least spill cost to a server that is cold for the
	// object, in service times: a cold run takes three times as long as a warm one.
	minSpillShare = 0.5
)

// warmSpillShare is the spill cost to a server that is warm for the object, in
// service times. It covers the error of the load estimates.
const warmSpillShare = 0.25

// evaluateServer returns the server as a candidate, or the reason why it cannot
// be used. It returns both for a server that is unreachable only by other
// gateways' reports, for one that is at its limit or paused, with the time until it
// may be asked, and for one that leaves and that nothing else speaks against.
func (n *Node) evaluateServer(v *view, req *inflightRequest, s *server, times *loadview.Times, now time.Time) (candidate, rejectReason) {
	switch {
	case !req.allowsRegion(s.region):
		return candidate{}, reasonNoServer
	case req.excluded[s]:
		return candidate{}, reasonAllTried
	case !s.isLeaving():
		return n.evaluateStaying(v, req, s, times, now)
	case s.leftFor(now) < n.lastUse():
		if c, reason := n.evaluateStaying(v, req, s, times, now); reason == reasonNone {
			c.leaving = true
			return c, reasonLeaving
		}
	}
	return candidate{}, reasonLeaving
}

// evaluateStaying evaluates a server as one that does not leave.
func (n *Node) evaluateStaying(v *view, req *inflightRequest, s *server, times *loadview.Times, now time.Time) (candidate, rejectReason) {
	if left, oneAtATime := s.pauseLeft(now); left > 0 || oneAtATime && s.inFlight() > 0 {
		return candidate{server: s, wait: left}, reasonPaused
	}
	limit := s.limit()
	if limit.Named {
		if pause := s.permitPause(now); pause > 0 || len(req.permitAsks) >= maxPermitAsks {
			return candidate{server: s, wait: pause}, reasonLimited
		}
	}
	down := s.withHealth(func(h *fleet.Health) bool { h.EndDoubt(now); return h.Down() })
	if down {
		n.checkIfDue(v, s, now)
		if !s.withHealth((*fleet.Health).Doubted) {
			return candidate{}, reasonUnreachable
		}
	}
	c := candidate{server: s, view: v, load: s.estimatedRequests(now, times.Mean), coldFor: s.coldFor(now), limit: limit}
	if c.coldFor > 0 && !(n.ownsColdServer(v, s) && n.hasColdPermit(v, s, now)) {
		return candidate{}, reasonCold
	}
	if down {
		return c, reasonUnreachable
	}
	shedding := s.withHealth(func(h *fleet.Health) bool { return h.Shedding(now) })
	if shedding {
		if req.coldUnseen {
			// Its slots may be full of cold runs, and a rejected request counts as well.
			return candidate{}, reasonFull
		}
		// The server rejected a request recently because its queue was full.
		c.load = max(c.load, float64(assumedRequestsPerSlot*s.rec().Slots))
	}
	n.estimateLoad(&c, shedding, times, now)
	return c, reasonNone
}

// assumedRequestsPerSlot is the least load, in requests per slot, that is assumed
// for a server that sheds load.
const assumedRequestsPerSlot = 3

// takeColdPermit counts a request to a server against the service's rate limit
// for cold servers, and reports whether the limit allows it.
func (n *Node) takeColdPermit(v *view, s *server, now time.Time) bool {
	rate := v.config.Services[s.rec().Service].ColdRate
	return rate <= 0 || s.takeColdPermit(now, rate)
}

// hasColdPermit reports whether the rate limit of a cold server allows another
// request now. If not, the next server in rendezvous order is considered.
func (n *Node) hasColdPermit(v *view, s *server, now time.Time) bool {
	rate := v.config.Services[s.rec().Service].ColdRate
	return rate <= 0 || s.hasColdPermit(now, rate)
}

// ownsColdServer reports whether this gateway may send requests to a cold server:
// if the service limits their rate, only one gateway per server may.
func (n *Node) ownsColdServer(v *view, s *server) bool {
	if !n.limitsColdServers(v, s.rec().Service) {
		return true
	}
	return pace.Owner(s.rec().ID, v.hosts) == n.cfg.Host && n.keeper.introduced(time.Now())
}

// lastUse returns how long a server that says that it leaves still gets requests that no
// other server can take.
func (n *Node) lastUse() time.Duration {
	return time.Duration(lastUseShare * float64(n.bounds.Load().Drain))
}

// checkTimeout is the timeout of a health check.
const checkTimeout = time.Second

// checkIfDue starts a health check of an unreachable server if one is due.
func (n *Node) checkIfDue(v *view, s *server, now time.Time) {
	if left, _ := s.pauseLeft(now); left > 0 || s.isLeaving() {
		return
	}
	if !s.withHealth(func(h *fleet.Health) bool { return h.WantsCheck(now) }) {
		return
	}
	path := v.config.Services[s.rec().Service].HealthPath
	n.background.Go(func() {
		ctx, cancel := context.WithTimeout(n.ctx, checkTimeout)
		defer cancel()
		n.probeServer(ctx, s, path)
	})
}

func (n *Node) probeServer(ctx context.Context, s *server, path string) {
	rec := s.rec()
	n.metrics.checks.Inc()
	sent := time.Now()
	meta, status, err := n.prober.Probe(ctx, rec.Address, path)
	now := time.Now()
	if err == nil {
		n.noteResponse(true, now)
	} else {
		n.noteFailure(rec.ID, err, now.Sub(sent), now)
	}
	var be *port.BackendError
	switch {
	case errors.As(err, &be) && be.Code == port.BackendRefused:
		n.processEnded(s, endRefused, now)
	case err == nil && meta.Instance != "" && meta.Instance != rec.ID:
		n.processEnded(s, endOtherInstance, now)
	}
	if err == nil && (meta.Instance == "" || meta.Instance == rec.ID) {
		n.recordSignals(s, meta, now)
	}
	log := n.log.WithFields(logrus.Fields{"server": rec.ID, "address": rec.Address, "status": status})
	// A server without a free slot also rejects health checks, but it is alive.
	alive := err == nil && (status == 200 || meta.NotRun) && (meta.Instance == "" || meta.Instance == rec.ID)
	if alive && meta.NotRun && n.coldUnseen(n.keeper.View(), rec.Service, now) && s.withHealth((*fleet.Health).Doubted) {
		// It may be full because it is cold.
		s.withHealth(func(h *fleet.Health) bool { h.CheckRejected(now); return false })
		return
	}
	if alive && meta.Cold > 0 {
		if s.withHealth((*fleet.Health).Doubted) {
			s.holdColdPermits(now)
		}
		n.learnCold(s, meta.Cold, now)
	}
	s.withHealth(func(h *fleet.Health) bool {
		if !alive {
			return h.Unreachable(now)
		}
		return h.CheckPassed(now)
	})
	if alive {
		log.WithField("cold_ms", meta.Cold.Milliseconds()).Info("Server reached again.")
		return
	}
	log.WithError(err).Debug("Server still unreachable.")
}

// recordAnswer updates the server's load and health from the response to a request that was
// sent at a time. With coldUnseen nothing but checks tells that the server has turned cold: a
// rejection, and a response to a request that is older than a doubt, do not end the doubt. It
// returns the requests that are now known to have run to completion.
func (s *server) recordAnswer(meta port.ServerMeta, ownRequests int, sent time.Time, coldUnseen bool, now time.Time) (completed []fleet.InFlight) {
	s.recordLoad(meta.Load, ownRequests, now)
	s.withHealth(func(h *fleet.Health) bool {
		if !meta.OtherInstance {
			completed = s.unfinished.Answered(sent)
		}
		if !meta.NotRun {
			h.Ran(sent)
		}
		if meta.Cold > 0 {
			h.Cold(now.Add(meta.Cold))
		}
		if meta.NotRun && !meta.OtherInstance && !meta.Load.HasRoom() {
			h.Shed(now)
		}
		if meta.OtherInstance {
			return h.Unreachable(now)
		}
		if coldUnseen && meta.Cold == 0 && (meta.NotRun || h.DoubtedSince(sent)) {
			h.Alive()
			return false
		}
		return h.Reached(now)
	})
	return completed
}
