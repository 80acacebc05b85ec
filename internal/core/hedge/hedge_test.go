package hedge

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cassiatray/internal/core/retry"
)

const ms = time.Millisecond

// usual are the run times of a route whose warm runs take 480 ms, at a target of 1,200 ms.
var usual = Times{Known: true, Usual: 480 * ms, High: 500 * ms, Cold: 1600 * ms}

func request() Request {
	return Request{Idempotent: true, WholeBody: true, Runs: 1, MaxRuns: 2, Target: 1200 * ms, Left: 4 * time.Second}
}

// Guards against hedges that break a rule, each changed alone from a case that is hedged.
func TestDecide(t *testing.T) {
	second := Second{Usable: true, Warm: true, Load: 1, Slots: 3}
	for name, x := range map[string]struct {
		change   func(r *Request, t *Times, s *Second)
		overload bool
		want     Cause
	}{
		"warm second server":       {func(*Request, *Times, *Second) {}, false, None},
		"may run once":             {func(r *Request, _ *Times, _ *Second) { r.Idempotent = false }, false, CauseOnce},
		"body still read":          {func(r *Request, _ *Times, _ *Second) { r.WholeBody = false }, false, CauseBody},
		"trial":                    {func(r *Request, _ *Times, _ *Second) { r.Trial = true }, false, CauseTrial},
		"no more runs":             {func(r *Request, _ *Times, _ *Second) { r.MaxRuns = 1 }, false, CauseAttempts},
		"target missed anyway":     {func(r *Request, _ *Times, _ *Second) { r.Age = 700 * ms }, false, CauseTarget},
		"deadline missed":          {func(r *Request, _ *Times, _ *Second) { r.Target, r.Left = 0, 400*ms }, false, CauseTarget},
		"no target":                {func(r *Request, _ *Times, _ *Second) { r.Target, r.Age = 0, time.Second }, false, None},
		"service overloaded":       {func(*Request, *Times, *Second) {}, true, CauseOverload},
		"no second server":         {func(_ *Request, _ *Times, s *Second) { *s = Second{} }, false, CauseNoServer},
		"server just started":      {func(_ *Request, _ *Times, s *Second) { s.Cold = true }, false, CauseServerCold},
		"server with a queue":      {func(_ *Request, _ *Times, s *Second) { s.Wait = ms }, false, CauseServerBusy},
		"server nearly full":       {func(_ *Request, _ *Times, s *Second) { s.Load = 2.5 }, false, CauseServerBusy},
		"not warm, some load":      {func(_ *Request, t *Times, s *Second) { s.Warm, s.Load, t.Cold = false, 1.1, 600*ms }, false, CauseServerBusy},
		"not warm, no load":        {func(_ *Request, t *Times, s *Second) { s.Warm, s.Load, t.Cold = false, 0.5, 600*ms }, false, None},
		"not warm, too long":       {func(_ *Request, _ *Times, s *Second) { s.Warm, s.Load = false, 0.5 }, false, CauseTarget},
		"cold runs not known":      {func(_ *Request, t *Times, s *Second) { s.Warm, s.Load, t.Cold = false, 0.5, 0 }, false, CauseUnmeasured},
		"lightly loaded with nine": {func(_ *Request, t *Times, s *Second) { s.Slots, s.Warm, s.Load, t.Cold = 9, false, 3, 600*ms }, false, None},
	} {
		r, times, s := request(), usual, second
		x.change(&r, &times, &s)
		if got := Decide(r, times, s, x.overload); got != x.want {
			t.Errorf("%s: %q, want %q", name, got, x.want)
		}
	}
}

// Guards against a timer for a request that may get no hedge, and against a delay that is no
// longer than usual runs.
func TestDelay(t *testing.T) {
	for name, x := range map[string]struct {
		target, wait, high, want time.Duration
	}{
		"as late as the target allows": {1200 * ms, 0, 500 * ms, 640 * ms},
		"above usual runs":             {1150 * ms, 0, 500 * ms, 600 * ms},
		"far target":                   {8 * time.Second, 0, 500 * ms, 1500 * ms},
		"no target":                    {0, 0, 500 * ms, 600 * ms},
		"behind a queue":               {1400 * ms, 100 * ms, 500 * ms, 830 * ms},
	} {
		r, times := request(), usual
		r.Target, times.High = x.target, x.high
		if delay, cause := Delay(r, times, true, x.wait); cause != None || delay != x.want {
			t.Errorf("%s: %v, %q, want %v", name, delay, cause, x.want)
		}
	}
	for want, change := range map[Cause]func(r *Request, t *Times, warm *bool, wait *time.Duration){
		CauseOnce:       func(r *Request, _ *Times, _ *bool, _ *time.Duration) { r.Idempotent = false },
		CauseBody:       func(r *Request, _ *Times, _ *bool, _ *time.Duration) { r.WholeBody = false },
		CauseTrial:      func(r *Request, _ *Times, _ *bool, _ *time.Duration) { r.Trial = true },
		CauseAttempts:   func(r *Request, _ *Times, _ *bool, _ *time.Duration) { r.Runs = 2 },
		CauseUnmeasured: func(_ *Request, t *Times, _ *bool, _ *time.Duration) { *t = Times{} },
		CauseFirstCold:  func(_ *Request, _ *Times, warm *bool, _ *time.Duration) { *warm = false },
		CauseTarget:     func(_ *Request, _ *Times, _ *bool, wait *time.Duration) { *wait = 300 * ms },
	} {
		r, times, warm, wait := request(), usual, true, time.Duration(0)
		change(&r, &times, &warm, &wait)
		if _, got := Delay(r, times, warm, wait); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}

// Guards against quantiles of other samples than the last ones, and against any with too few.
func TestRunTimesFollowTheLastSamples(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r RunTimes
		var all []time.Duration
		for range rapid.IntRange(0, 3*sampleCount).Draw(t, "samples") {
			d := time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * ms
			r.Add(d)
			all = append(all, d)
		}
		if len(all) < minSamples {
			if r.Usual() != 0 || r.High() != 0 {
				t.Fatalf("quantiles of %d samples", len(all))
			}
			return
		}
		// The quantiles may be as old as sortEvery samples.
		ok := false
		for end := len(all); end > max(minSamples-1, len(all)-sortEvery) && !ok; end-- {
			last := slices.Sorted(slices.Values(all[max(0, end-sampleCount):end]))
			ok = r.Usual() == last[len(last)/2] && r.High() == last[int(highQuantile*float64(len(last)))]
		}
		if !ok {
			t.Fatalf("median %v, high quantile %v of %d samples", r.Usual(), r.High(), len(all))
		}
	})
}

// Guards against a delay that shrinks because the runs that it cuts off no longer count: the time
// until the cut stands for them.
func TestCutRunsKeepTheQuantile(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var whole, cut RunTimes
	for range 20 * sampleCount {
		d := drawRun(random)
		whole.Add(d)
		if delay := time.Duration(lateMargin * float64(cut.High())); delay > 0 && d > delay {
			d = delay
		}
		cut.Add(d)
	}
	if ratio := float64(cut.High()) / float64(whole.High()); ratio < 0.97 || ratio > 1.03 {
		t.Errorf("high quantile %v with cut runs, %v with whole ones", cut.High(), whole.High())
	}
}

// Guards against an overloaded service that counts as one with room, and against one that counts
// as overloaded for good.
func TestPressure(t *testing.T) {
	var p Pressure
	now := time.Unix(1000, 0)
	if p.Overloaded(now) {
		t.Error("a service without load counts as overloaded")
	}
	p.Refused(now)
	if !p.Overloaded(now.Add(refusalHold/2)) || p.Overloaded(now.Add(refusalHold)) {
		t.Error("a refusal does not count, or does not end")
	}
	later := now.Add(time.Minute)
	for i := range 200 {
		p.Answered(i%4 == 0)
	}
	if p.Overloaded(later) {
		t.Error("a queue at a quarter of the servers counts as overload")
	}
	for range 200 {
		p.Answered(true)
	}
	if !p.Overloaded(later) {
		t.Error("queues at all servers do not count as overload")
	}
}

// drawRun draws a warm run of a route whose usual runs take about 480 ms: 3% take seven times as
// long, and 15% run at a server that is 2.5 times slower for half a second.
func drawRun(random *rand.Rand) time.Duration {
	d := 480 * ms * time.Duration(90+random.IntN(21)) / 100
	switch x := random.Float64(); {
	case x < 0.03:
		return 7 * d
	case x < 0.18:
		// The server is slow for what is left of half a second.
		slow := time.Duration(random.Int64N(int64(500 * ms)))
		return slow + d - time.Duration(float64(slow)/2.5)
	}
	return d
}

// Answers the pattern of runs that take seven times as long, beside servers that are 2.5 times
// slower for half a second: without hedges 3% of the responses miss a target of 1,200 ms. The
// second attempts stay within half of the retry budget, less what its window keeps back.
func TestHedgesAnswerLongRuns(t *testing.T) {
	const requests, every, ratio = 20000, 10 * ms, 0.2
	random := rand.New(rand.NewPCG(7, 7))
	budget := retry.NewWindow(time.Unix(0, 0))
	budget.Span, budget.Ratio = 10*time.Second, ratio
	var times RunTimes
	sent, late, lateWithout := 0, 0, 0
	for i := range requests {
		now := time.Unix(0, 0).Add(time.Duration(i) * every)
		budget.Request(now)
		run := drawRun(random)
		first := run
		known := Times{Known: times.High() > 0, Usual: times.Usual(), High: times.High()}
		delay, cause := Delay(request(), known, true, 0)
		if cause == None && run > delay {
			r := request()
			r.Age, r.Left = delay, r.Left-delay
			second := Second{Usable: true, Warm: true, Load: 1, Slots: 3}
			if Decide(r, known, second, false) == None && budget.SpendPart(now, BudgetShare) {
				sent++
				run = min(run, delay+drawRun(random))
				// The first attempt ends with the request, whichever wins.
				first = run
			}
		}
		times.Add(first)
		if run > 1200*ms {
			late++
		}
	}
	random = rand.New(rand.NewPCG(7, 7))
	for range requests {
		if drawRun(random) > 1200*ms {
			lateWithout++
		}
	}
	if late*2 > lateWithout {
		t.Errorf("%d of %d responses are late with hedges, %d without", late, requests, lateWithout)
	}
	if float64(sent) > 0.5*ratio*requests {
		t.Errorf("%d second attempts for %d requests", sent, requests)
	}
	t.Logf("late %d, without hedges %d, second attempts %d of %d", late, lateWithout, sent, requests)
}
