package gateway

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/pace"
	"cassiatray/internal/core/ratelimit"
	"cassiatray/internal/core/warmth"
	"cassiatray/internal/port"
)

// server is the gateway's state of one incarnation of a backend server.
type server struct {
	// record is the latest record of this incarnation; only the state and the
	// number of slots change.
	record atomic.Pointer[fleet.Record]
	region string
	load   atomic.Pointer[loadReport]

	// No other lock is acquired while mu is held.
	mu     sync.Mutex
	health fleet.Health
	// unfinished are the requests that the process may still be running although this gateway
	// no longer waits for them; watched is set while its end is watched for (watchProcess).
	unfinished fleet.Unfinished
	watched    bool
	// runningRequests are the requests of this gateway that are in flight at the server.
	runningRequests []runningRequest
	coldLimiter     pace.Limiter
	warmObjects     warmth.Set
	// sentObjects are the objects for which this gateway sent requests here lately. They
	// tell how many objects the server has to keep.
	sentObjects warmth.Set
	namedLimit  ratelimit.Limit
	// permits are issued from here while this gateway is the issuer or the deputy.
	permits ratelimit.Bucket
	// nextPermitAsk is when this gateway may ask for a permit again.
	nextPermitAsk time.Time
	// leavingSince is when the server was heard to leave; zero for not at all.
	leavingSince time.Time
	// pausedUntil is until when the server wants no requests, resuming whether it has served
	// none since.
	pausedUntil time.Time
	resuming    bool
	// distrustedUntil is until when the server is taken for cold although it does not say so.
	distrustedUntil time.Time
	// coldChecks are the checks for coldness under way, the latest of which was sent at
	// coldCheckedAt.
	coldChecks    int
	coldCheckedAt time.Time
	// capacityShare is the fraction of the work of its slots that the server takes under
	// its limit, as the placement of objects takes it; zero for all.
	capacityShare float64
}

// maxSentObjects is above the number of objects that servers keep warm. sentObjectsTTL is
// longer than a gateway's requests for an object are usually apart.
const (
	maxSentObjects = 32
	sentObjectsTTL = 30 * time.Second
)

func newServer(rec fleet.Record, region string) *server {
	s := &server{region: region, sentObjects: warmth.Set{Size: maxSentObjects, TTL: sentObjectsTTL}}
	s.record.Store(&rec)
	return s
}

// successor returns the state of a later incarnation of the server. Requests that were
// sent to it as a cold server before its new record was known still count.
func (s *server) successor(rec fleet.Record, region string) *server {
	next := newServer(rec, region)
	s.mu.Lock()
	defer s.mu.Unlock()
	next.coldLimiter = s.coldLimiter.Clone()
	return next
}

func (s *server) rec() *fleet.Record { return s.record.Load() }

// loadReport is the load that a server reported with a response.
type loadReport struct {
	// otherRequests is the number of requests from other gateways, and average
	// its moving average over the reports.
	otherRequests, average float64
	// slowdown is the server's pace, 0 if it was not reported.
	slowdown float64
	at       time.Time
}

// averageWeight is the weight of a new report in the moving average.
const averageWeight = 0.2

// How long the moving average of a server that sends no reports takes to decay: some
// service times, since the load changes no faster than requests start and end, and at
// least a second. Without the decay, a server that was once full would never receive
// a request again.
const (
	minAverageDecay          = time.Second
	averageDecayServiceTimes = 3
)

// recordLoad records a server's own count of its requests, of which ownRequests
// were sent by this gateway.
func (s *server) recordLoad(l *port.ServerLoad, ownRequests int, now time.Time) {
	if l == nil {
		return
	}
	r := &loadReport{otherRequests: float64(max(0, l.Running+l.Waiting-ownRequests)), slowdown: l.Slowdown, at: now}
	r.average = r.otherRequests
	if old := s.load.Load(); old != nil {
		r.average = old.average + averageWeight*(r.otherRequests-old.average)
	}
	s.load.Store(r)
}

// estimatedRequests estimates how many requests run or wait at the server. To this
// gateway's own it adds those of the others: the latest report decays to the moving
// average within about serviceTime, after which the reported requests have ended,
// and the average decays more slowly.
func (s *server) estimatedRequests(now time.Time, serviceTime time.Duration) float64 {
	n := float64(s.inFlight())
	if r := s.load.Load(); r != nil {
		age := float64(now.Sub(r.at))
		fresh := math.Exp(-age / float64(max(serviceTime, time.Millisecond)))
		decay := max(minAverageDecay, averageDecayServiceTimes*serviceTime)
		average := r.average * math.Exp(-age/float64(decay))
		n += average + fresh*(r.otherRequests-average)
	}
	return n
}

// warmthOf reports whether the server is warm for an object, and for how many objects this
// gateway sent requests there lately.
func (s *server) warmthOf(object uint64, now time.Time) (warm bool, objects int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.warmObjects.Has(object, now), s.sentObjects.Len(now)
}

// runningRequest is a request of this gateway that is in flight at a server.
type runningRequest struct {
	at time.Time
	// warm is set when the server was believed to be warm for the request's object, known
	// when this gateway had sent requests for the object there lately.
	warm, known bool
}

// startRequest records that a request for an object is sent to the server. It returns
// the request and the number of this gateway's requests in flight there. endRequest
// records that the request has ended.
func (s *server) startRequest(object uint64, now time.Time) (runningRequest, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	started := runningRequest{at: now, warm: s.warmObjects.Has(object, now), known: s.sentObjects.Has(object, now)}
	s.runningRequests = append(s.runningRequests, started)
	return started, len(s.runningRequests)
}

func (s *server) endRequest(started runningRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.runningRequests, started); i >= 0 {
		s.runningRequests = slices.Delete(s.runningRequests, i, i+1)
	}
}

// Expected run time of a request, in service times, if the server is warm or cold for
// its object. A request that takes longer is a sign of a queue.
const (
	warmStallFactor = 1.25
	coldStallFactor = 4
)

// stallTime returns by how much the longest-running of this gateway's requests at the
// server exceeds its expected run time: it has waited in a queue at least that long, or
// the server is slow. This shows an overload before a response reports the load.
func (s *server) stallTime(now time.Time, serviceTime time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	longest := time.Duration(0)
	for _, started := range s.runningRequests {
		allowed := coldStallFactor * serviceTime
		if started.warm {
			allowed = time.Duration(warmStallFactor * float64(serviceTime))
		}
		longest = max(longest, now.Sub(started.at)-allowed)
	}
	return longest
}

func (s *server) inFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runningRequests)
}

// markWarm records that the server is warm for an object; isWarm reports whether it is.
func (s *server) markWarm(object uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.warmObjects.Note(object, now)
	s.sentObjects.Note(object, now)
}

func (s *server) isWarm(object uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.warmObjects.Has(object, now)
}

// withHealth calls fn with the server's health, under the lock, and returns its result.
func (s *server) withHealth(fn func(*fleet.Health) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fn(&s.health)
}

// isDown reports whether the server is considered unreachable.
func (s *server) isDown() bool { return s.withHealth((*fleet.Health).Down) }

// holdColdPermits keeps this gateway from sending for a second to a server that has turned
// cold unnoticed: until now all gateways sent to it as to a warm one.
func (s *server) holdColdPermits(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.health.ColdUntil().After(now) && !s.distrustedUntil.After(now) {
		s.coldLimiter.Hold(now)
	}
}

// remainingCold returns how much longer the server is cold.
func (s *server) remainingCold(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, s.health.ColdUntil().Sub(now))
}

// distrustUntil has the server taken for cold until a time, whatever it says.
func (s *server) distrustUntil(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.distrustedUntil = until
}

// coldFor returns how much longer the server is to be taken for cold.
func (s *server) coldFor(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, s.health.ColdUntil().Sub(now), s.distrustedUntil.Sub(now))
}

// hasColdPermit reports whether the rate limit of the cold server allows a request.
func (s *server) hasColdPermit(now time.Time, rate float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.coldLimiter.Allows(now, rate)
}

// takeColdPermit counts a request against the cold server's rate limit, and reports
// whether the limit allows it.
func (s *server) takeColdPermit(now time.Time, rate float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.coldLimiter.Take(now, rate)
}
