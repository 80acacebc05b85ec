// Package hedge decides whether and when a second attempt of a request is sent beside one that
// takes unusually long ("hedged requests": Dean and Barroso, The Tail at Scale, Communications of
// the ACM 56(2), 2013). It is pure.
package hedge

import "time"

// Cause is why no second attempt is sent. The values are labels of a metric.
type Cause string

// Values of Cause.
const (
	// None means that a second attempt may be sent.
	None Cause = ""
	// CauseOnce means that the request may run only once.
	CauseOnce Cause = "once"
	// CauseBody means that the request's body is not held whole.
	CauseBody Cause = "body"
	// CauseTrial means that the request runs alone, since servers crashed under it.
	CauseTrial Cause = "trial"
	// CauseAttempts means that no further server may run the request.
	CauseAttempts Cause = "attempts"
	// CauseUnmeasured means that too few run times of the route are known.
	CauseUnmeasured Cause = "unmeasured"
	// CauseFirstCold means that the first attempt was not expected to be a warm run, so that its
	// length says nothing.
	CauseFirstCold Cause = "first-cold"
	// CauseTarget means that a usual run would end after the target or the deadline.
	CauseTarget Cause = "target"
	// CauseOverload means that the service is overloaded.
	CauseOverload Cause = "overload"
	// CauseNoServer means that no second server of the object can be used.
	CauseNoServer Cause = "no-server"
	// CauseServerCold means that the second server has just started.
	CauseServerCold Cause = "server-cold"
	// CauseServerBusy means that the second server has too little room.
	CauseServerBusy Cause = "server-busy"
	// CauseBudget means that what is left of the retry budget is kept for retries.
	CauseBudget Cause = "budget"
	// CauseUnadmitted means that the configuration in force no longer admits the request.
	CauseUnadmitted Cause = "unadmitted"
	// CauseSuspect means that servers crashed under the request, and two copies could crash two more.
	CauseSuspect Cause = "suspect"
)

const (
	// lateMargin is the least ratio of the delay to the high quantile of run times. It keeps the
	// usual spread of warm runs from causing hedges: with a standard deviation of 15%, 3% of the
	// runs exceed it.
	lateMargin = 1.2
	// maxLateMargin is the largest such ratio. Runs at a server that is 2.5 times slower for a
	// moment have ended by then, so that an earlier hedge would serve long runs no better.
	maxLateMargin = 3
	// targetShare is the part of the target by which the second attempt is expected to end. The
	// rest covers the way of the response and the spread of run times.
	targetShare = 0.95
	// warmLoadShare is the ratio of requests to slots up to which a server that is warm for the
	// object takes a second attempt, and lightLoadShare that for one that is not.
	warmLoadShare  = 0.75
	lightLoadShare = 0.35
	// BudgetShare is the part of the retry budget that hedges may use. The rest is left for
	// retries of failed attempts.
	BudgetShare = 0.5
)

// Request is a request with an attempt in flight or about to be sent.
type Request struct {
	Idempotent bool
	// WholeBody is set if the whole body is held, so that it can be sent again.
	WholeBody bool
	Trial     bool
	// Runs is how many servers may have run the request, that of the attempt included; MaxRuns is
	// how many may.
	Runs, MaxRuns int
	// Target is the target latency, or zero. Age is the time since the request arrived, and Left
	// that until its deadline.
	Target, Age, Left time.Duration
}

// allowed reports whether the request may run at two servers at once.
func (r Request) allowed() Cause {
	switch {
	case !r.Idempotent:
		return CauseOnce
	case !r.WholeBody:
		return CauseBody
	case r.Trial:
		return CauseTrial
	case r.Runs >= r.MaxRuns:
		return CauseAttempts
	}
	return None
}

// onTime returns how long an attempt may take from now to meet the target.
func (r Request) onTime() time.Duration {
	return time.Duration(targetShare*float64(r.Target)) - r.Age
}

// inTime reports whether an attempt that is sent after a time and takes another one ends in time.
func (r Request) inTime(after, run time.Duration) bool {
	return after+run <= r.Left && (r.Target <= 0 || after+run <= r.onTime())
}

// Times are the run times of a route as the gateway sees them, the way to the server included.
type Times struct {
	// Known is set if there are enough samples of warm runs.
	Known bool
	// Usual is the median of warm runs, and High a high quantile of them. Cold is the median of
	// runs at servers that were not known to be warm; zero if not known.
	Usual, High, Cold time.Duration
}

// Delay returns how long after the sending of the first attempt a second one is due. Warm is set
// if the first server is warm for the request's object, and wait is how long the request was
// expected to wait there for a slot.
func Delay(r Request, t Times, warm bool, wait time.Duration) (time.Duration, Cause) {
	if cause := r.allowed(); cause != None {
		return 0, cause
	}
	switch {
	case !t.Known:
		return 0, CauseUnmeasured
	case !warm:
		return 0, CauseFirstCold
	}
	delay := time.Duration(lateMargin * float64(t.High))
	if r.Target > 0 {
		// The later a hedge is sent, the more attempts have ended without one.
		latest := r.onTime() - t.High - wait
		delay = max(delay, min(latest, time.Duration(maxLateMargin*float64(t.High))))
	}
	if delay += wait; !r.inTime(delay, t.Usual) {
		return 0, CauseTarget
	}
	return delay, None
}

// Second is the server that a second attempt would be sent to.
type Second struct {
	// Usable is set if there is such a server.
	Usable bool
	// Warm is set if it is warm for the request's object, and Cold if its process has just
	// started.
	Warm, Cold bool
	// Load is the estimated number of requests there, and Wait the estimated time until a slot is
	// free.
	Load  float64
	Slots int
	Wait  time.Duration
}

// Decide reports whether a second attempt is sent now. The retry budget is left to the caller, who
// spends BudgetShare of it at most.
func Decide(r Request, t Times, s Second, overloaded bool) Cause {
	if cause := r.allowed(); cause != None {
		return cause
	}
	run := t.Usual
	if !s.Warm {
		run = t.Cold
	}
	switch {
	case overloaded:
		return CauseOverload
	case !s.Usable:
		return CauseNoServer
	case s.Cold:
		return CauseServerCold
	case s.Wait > 0, !s.Warm && s.Load > lightLoadShare*float64(s.Slots), s.Load > warmLoadShare*float64(s.Slots):
		return CauseServerBusy
	case run <= 0:
		return CauseUnmeasured
	case !r.inTime(0, run):
		return CauseTarget
	}
	return None
}
