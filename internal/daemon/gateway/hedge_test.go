package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"pgregory.net/rapid"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/hedge"
	"cassiatray/internal/core/mirror"
	"cassiatray/internal/core/placement"
	"cassiatray/internal/core/suspect"
	"cassiatray/internal/port"
)

// warmRun is the usual run time of the servers of these tests; the target of the route is 600 ms.
const warmRun = 200 * time.Millisecond

// pacedRun is what a pacedServers does with one arrival.
type pacedRun struct {
	// after is how long it runs; zero for warmRun.
	after time.Duration
	// answer and err are the result; nil for a success.
	answer *port.ForwardAnswer
	err    error
	// deaf is set for a server that works on although the exchange is cancelled, and whose answer
	// arrives all the same.
	deaf bool
}

// pacedServers are servers that report a pace and drop work that is cancelled.
type pacedServers struct {
	connects
	// slots is how many requests each runs at once; zero for any number. pace is the reported one.
	slots int
	pace  float64
	// plan returns what happens to the nth arrival of a request, from 1.
	plan func(id string, n int, address string) pacedRun

	mu      sync.Mutex
	running map[string]int
	waiting map[string]int
	free    *sync.Cond
	// arrivals are the times of arrival by request, servers where it arrived, and cancelled when
	// exchanges were cancelled.
	arrivals  map[string][]time.Time
	servers   map[string][]string
	cancelled []time.Time
	// inRow are the arrivals of all requests in their order, without attempts of which no byte was
	// sent; arrived are the requests that have one.
	inRow   []arrival
	arrived map[string]bool
}

// arrival is one arrival at a server.
type arrival struct {
	at    time.Time
	first bool
}

// Forward implements port.Forwarder.
func (s *pacedServers) Forward(ctx context.Context, address string, req *port.ForwardRequest) (*port.ForwardAnswer, error) {
	s.mu.Lock()
	s.arrivals[req.ID] = append(s.arrivals[req.ID], time.Now())
	s.servers[req.ID] = append(s.servers[req.ID], address)
	run := s.plan(req.ID, len(s.arrivals[req.ID]), address)
	var be *port.BackendError
	if !errors.As(run.err, &be) || be.Sent {
		s.inRow = append(s.inRow, arrival{time.Now(), !s.arrived[req.ID]})
		s.arrived[req.ID] = true
	}
	for s.slots > 0 && s.running[address] >= s.slots && ctx.Err() == nil {
		if s.waiting[address] >= 3*s.slots {
			s.mu.Unlock()
			return notRunAnswer(), nil
		}
		s.waiting[address]++
		stop := context.AfterFunc(ctx, s.free.Broadcast)
		s.free.Wait()
		stop()
		s.waiting[address]--
	}
	s.running[address]++
	s.mu.Unlock()
	if run.after == 0 {
		run.after = warmRun
	}
	timer := time.NewTimer(run.after)
	defer timer.Stop()
	done := ctx.Done()
	if run.deaf {
		done = nil
	}
	err := run.err
	select {
	case <-timer.C:
	case <-done:
		code := port.BackendCanceled
		if ctx.Err() == context.DeadlineExceeded {
			code = port.BackendTimeout
		}
		err = &port.BackendError{Code: code, Sent: true, Err: ctx.Err()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	load := &port.ServerLoad{Running: s.running[address], Waiting: s.waiting[address], Slots: max(4, s.slots), Slowdown: s.pace}
	s.running[address]--
	s.free.Broadcast()
	if err != nil {
		s.cancelled = append(s.cancelled, time.Now())
		return nil, err
	}
	a := run.answer
	if a == nil {
		a = okAnswer()
	}
	if a.Meta.Load == nil {
		a.Meta.Load = load
	}
	return a, nil
}

// Probe implements port.Prober.
func (*pacedServers) Probe(context.Context, string, string) (port.ServerMeta, int, error) {
	return port.ServerMeta{}, 200, nil
}

// count returns the arrivals of a request.
func (s *pacedServers) count(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.arrivals[id])
}

// newHedgeFixture returns a gateway that knows the run times of its routes, and whose first two
// servers of object "o" are warm for it.
func newHedgeFixture(pace float64) (*fixture, *pacedServers) {
	s := &pacedServers{
		pace: pace, running: map[string]int{}, waiting: map[string]int{}, arrivals: map[string][]time.Time{}, servers: map[string][]string{}, arrived: map[string]bool{},
		plan: func(string, int, string) pacedRun { return pacedRun{} },
	}
	s.free = sync.NewCond(&s.mu)
	f := newFixture(nil)
	f.node.forwarder, f.node.prober = s, s
	for _, path := range []string{"/get/", "/post/"} {
		f.warm(path, "o")
		var wg sync.WaitGroup
		for i := range 40 {
			time.Sleep(warmRun / 2)
			wg.Go(func() { f.do(http.MethodGet, path, "Id", fmt.Sprint("prime", path, i)) })
		}
		wg.Wait()
		f.warm(path, "o")
	}
	f.keeper.Apply(nil, 0, "store", time.Now())
	return f, s
}

// warm has the first two servers of objects count as warm for them.
func (f *fixture) warm(path string, objects ...string) {
	route := strings.Trim(path, "/")
	g := f.keeper.View().groups["s"]
	for _, object := range objects {
		hash := placement.Object(route, object)
		for _, i := range g.ring.Rank(hash, preferredServerCount) {
			g.servers[i].markWarm(hash, time.Now())
		}
	}
}

// counted returns the value of a counter.
func counted(c prometheus.Counter) int {
	var m dto.Metric
	if err := c.Write(&m); err != nil {
		return -1
	}
	return int(m.GetCounter().GetValue())
}

func (f *fixture) hedges(result string) int {
	return counted(f.node.metrics.hedges.WithLabelValues(result))
}

// Answers the pattern of a run that takes seven times as long: a request that may run again is
// answered in time by the object's second server, and the first stops working on it at once.
// Guards against a cancelled attempt that counts as a crash, as a slow server or as a run time.
func TestHedgeAnswersALongRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, s := newHedgeFixture(1)
		defer f.stop()
		hook := logtest.NewLocal(f.node.log.Logger)
		s.plan = func(_ string, n int, _ string) pacedRun {
			if n == 1 {
				return pacedRun{after: 7 * warmRun}
			}
			return pacedRun{}
		}
		estimate := f.node.serviceTimes.times(&testRoutes()[0], "s").Mean
		start := time.Now()
		w := f.do(http.MethodGet, "/get/", "Id", "long")
		took := time.Since(start)
		synctest.Wait()
		if w.Code != 200 || took > 600*time.Millisecond || s.count("long") != 2 {
			t.Fatalf("status %d after %v and %d arrivals", w.Code, took, s.count("long"))
		}
		if len(s.cancelled) != 1 || s.cancelled[0].Sub(start) > took {
			t.Errorf("cancelled at %v, answered after %v", s.cancelled, took)
		}
		if servers := s.servers["long"]; servers[0] == servers[1] {
			t.Errorf("both attempts went to %s", servers[0])
		}
		for _, x := range f.keeper.Servers() {
			if x.inFlight() > 0 || x.isDown() || x.mayRun(time.Now()) {
				t.Errorf("server %s: %d in flight, down %t, may run something %t", x.rec().ID, x.inFlight(), x.isDown(), x.mayRun(time.Now()))
			}
		}
		if after := f.node.serviceTimes.times(&testRoutes()[0], "s").Mean; after > estimate+warmRun/20 {
			t.Errorf("run time estimated as %v, before as %v", after, estimate)
		}
		got := lastAttempts(t, hook)
		if len(got) != 2 || got[0]["lost"] == got[1]["lost"] || got[0]["hedge"] == got[1]["hedge"] || got[0]["won"] == got[1]["won"] {
			t.Errorf("logged %v", got)
		}
		if f.hedges("sent") != 1 || f.hedges("won") != 1 || f.hedges("lost")+f.hedges("failed") != 0 {
			t.Errorf("sent %d, won %d, lost %d, failed %d", f.hedges("sent"), f.hedges("won"), f.hedges("lost"), f.hedges("failed"))
		}
	})
}

// Guards against a pair of attempts whose first failure, late result or streamed answer ends the
// request wrongly: what the caller gets, how many servers the request reaches, and that the answer
// of an attempt that lost is delivered to nobody.
func TestPairsOfAttempts(t *testing.T) {
	const long = 500 * time.Millisecond // a hedge is sent after about 370 ms
	named := func(body string) *port.ForwardAnswer {
		a := okAnswer()
		a.Body = []byte(body)
		return a
	}
	for name, c := range map[string]struct {
		// plan is what the arrivals of the request meet, in order.
		plan     []pacedRun
		status   int
		body     string
		arrivals int
		within   time.Duration
	}{
		"hedge wins":                    {[]pacedRun{{after: time.Second}, {answer: named("2")}}, 200, "2", 2, 590 * time.Millisecond},
		"first wins":                    {[]pacedRun{{after: long, answer: named("1")}, {}}, 200, "1", 2, long},
		"hedge breaks":                  {[]pacedRun{{after: long, answer: named("1")}, {after: 1, err: brokenError(true)}}, 200, "1", 2, long},
		"hedge is not sent":             {[]pacedRun{{after: long, answer: named("1")}, {after: 1, err: brokenError(false)}}, 200, "1", 2, long},
		"hedge is refused":              {[]pacedRun{{after: long, answer: named("1")}, {after: 1, answer: notRunAnswer()}}, 200, "1", 2, long},
		"hedge gets an error":           {[]pacedRun{{after: long, answer: named("1")}, {after: 1, answer: statusAnswer(500)}}, 200, "1", 2, long},
		"first breaks":                  {[]pacedRun{{after: long, err: brokenError(true)}, {answer: named("2")}}, 200, "2", 2, 590 * time.Millisecond},
		"first is refused":              {[]pacedRun{{after: long, answer: notRunAnswer()}, {answer: named("2")}}, 200, "2", 2, 590 * time.Millisecond},
		"first gets an error":           {[]pacedRun{{after: long, answer: statusAnswer(500)}, {answer: named("2")}}, 200, "2", 2, 590 * time.Millisecond},
		"both break":                    {[]pacedRun{{after: long, err: brokenError(true)}, {err: brokenError(true)}, {answer: named("3")}}, 502, "", 2, time.Second},
		"error, then broken":            {[]pacedRun{{after: long, answer: statusAnswer(500)}, {err: brokenError(true)}, {answer: named("3")}}, 500, "failed", 2, time.Second},
		"broken, then error":            {[]pacedRun{{after: long, err: brokenError(true)}, {answer: statusAnswer(500)}, {answer: named("3")}}, 500, "failed", 2, time.Second},
		"broken, then refused":          {[]pacedRun{{after: long, err: brokenError(true)}, {answer: notRunAnswer()}, {answer: named("3")}}, 200, "3", 3, time.Second},
		"both refused":                  {[]pacedRun{{after: long, answer: notRunAnswer()}, {answer: notRunAnswer()}, {answer: named("3")}}, 200, "3", 3, time.Second},
		"first breaks before the hedge": {[]pacedRun{{after: warmRun, err: brokenError(true)}, {answer: named("2")}}, 200, "2", 2, 590 * time.Millisecond},
		"no hedge of a retry":           {[]pacedRun{{after: 1, err: brokenError(true)}, {after: long, answer: named("2")}, {answer: named("3")}}, 200, "2", 2, 590 * time.Millisecond},
		"loser answers late":            {[]pacedRun{{after: time.Second, answer: named("1"), deaf: true}, {answer: named("2")}}, 200, "2", 2, 590 * time.Millisecond},
		"both answer at once":           {[]pacedRun{{after: 570 * time.Millisecond}, {}}, 200, "body", 2, 590 * time.Millisecond},
		"neither answers":               {[]pacedRun{{after: time.Minute}, {after: time.Minute}}, 504, "", 2, 1500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, s := newHedgeFixture(1)
				defer f.stop()
				s.plan = func(_ string, n int, _ string) pacedRun { return c.plan[min(n, len(c.plan))-1] }
				start := time.Now()
				w := f.do(http.MethodGet, "/get/", "Id", "x")
				took := time.Since(start)
				body := w.Body.String()
				time.Sleep(5 * time.Second)
				synctest.Wait()
				if w.Code != c.status || body != c.body || w.Body.String() != body || s.count("x") != c.arrivals || took > c.within {
					t.Errorf("status %d %q after %v and %d arrivals, want %d %q within %v after %d", w.Code, body, took, s.count("x"), c.status, c.body, c.within, c.arrivals)
				}
				if done := f.hedges("won") + f.hedges("lost") + f.hedges("failed"); f.hedges("sent") != done {
					t.Errorf("%d hedges sent, %d ended", f.hedges("sent"), done)
				}
				for _, x := range f.keeper.Servers() {
					if x.inFlight() > 0 {
						t.Errorf("%d requests count as in flight at %s", x.inFlight(), x.rec().ID)
					}
				}
			})
		})
	}
}

// closedBody is a body that notes its close.
type closedBody struct {
	io.Reader
	closed bool
}

func (b *closedBody) Close() error { b.closed = true; return nil }

// Guards against a streamed answer that is cut by the end of the other attempt, and against one
// that comes too late and holds its connection.
func TestStreamedAnswersOfPairs(t *testing.T) {
	for name, hedgeWins := range map[string]bool{"winner": true, "loser": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, s := newHedgeFixture(1)
				defer f.stop()
				rest := &closedBody{Reader: strings.NewReader("rest")}
				streamed := &port.ForwardAnswer{Status: 200, Header: http.Header{}, Body: []byte("begin "), Rest: rest}
				s.plan = func(_ string, n int, _ string) pacedRun {
					switch {
					case n == 1:
						return pacedRun{after: 7 * warmRun}
					case hedgeWins:
						return pacedRun{answer: streamed}
					}
					return pacedRun{after: warmRun + 1, answer: streamed, deaf: true}
				}
				if !hedgeWins {
					s.plan = func(_ string, n int, _ string) pacedRun {
						if n == 1 {
							return pacedRun{after: 500 * time.Millisecond}
						}
						return pacedRun{answer: streamed, deaf: true}
					}
				}
				w := f.do(http.MethodGet, "/get/", "Id", "x")
				want := "body"
				if hedgeWins {
					want = "begin rest"
				}
				time.Sleep(time.Second)
				synctest.Wait()
				if w.Code != 200 || w.Body.String() != want || !rest.closed || s.count("x") != 2 {
					t.Errorf("status %d %q after %d arrivals, closed %t", w.Code, w.Body, s.count("x"), rest.closed)
				}
			})
		})
	}
}

// crashUnder has a number of servers crash under a request for object "o".
func (f *fixture) crashUnder(path string, servers int) {
	id := suspect.Identity{Authority: "h", Method: http.MethodPost, Path: path, Caller: "o"}
	print, now := id.Fingerprint(), time.Now()
	f.keeper.ServersReached(now.Add(time.Second))
	for i := range servers {
		f.keeper.ReportCrash(fmt.Sprint("gone-", i), "s", fleet.InFlight{Request: string(print[:]), Sent: now, Lost: now}, endRefused, now)
	}
}

// Guards against hedges where none may be sent: a request that may run only once, one whose body is
// not held, a route with one attempt, servers that report no pace, a second server that has no
// room or is not warm, and a request that the next crash holds back. Without a pace nothing of a hedge may be prepared either.
func TestRequestsThatAreNotHedged(t *testing.T) {
	for name, c := range map[string]struct {
		pace   float64
		path   string
		body   int
		change func(f *fixture)
		cause  hedge.Cause
		status int
	}{
		"may run once":      {1, "/post/", 0, nil, "", 200},
		"body not held":     {1, "/get/", maxBufferedBody + 1, nil, "", 200},
		"no pace":           {0, "/get/", 0, nil, "", 200},
		"pace long ago":     {1, "/get/", 0, func(f *fixture) { time.Sleep(pacedFor + time.Second); f.warm("/get/", "o") }, "", 200},
		"servers overload":  {1, "/get/", 0, func(f *fixture) { f.node.hedges.refused("s", time.Now()) }, hedge.CauseOverload, 200},
		"second not warm":   {1, "/get/", 0, func(f *fixture) { f.forget() }, "", 200},
		"no retries left":   {1, "/get/", 0, func(f *fixture) { f.setRetries(0, 0) }, hedge.CauseBudget, 200},
		"second out of way": {1, "/get/", 0, func(f *fixture) { f.fill() }, hedge.CauseServerBusy, 200},
		"one crash decides": {1, "/get/", 0, func(f *fixture) { f.crashUnder("/get/", suspect.TrialThreshold-1) }, hedge.CauseSuspect, 200},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, s := newHedgeFixture(c.pace)
				defer f.stop()
				if c.change != nil {
					c.change(f)
				}
				f.keeper.Apply(nil, 0, "store", time.Now())
				s.plan = func(string, int, string) pacedRun { return pacedRun{after: time.Second} }
				r := httptest.NewRequest(http.MethodPost, c.path, strings.NewReader(strings.Repeat("x", c.body)))
				r.Host = "h"
				for k, v := range map[string]string{"Id": "x", "Left": "4s", "Object": "o"} {
					r.Header.Set(k, v)
				}
				w := httptest.NewRecorder()
				f.node.ServeHTTP(w, r)
				if w.Code != c.status || s.count("x") != 1 || f.hedges("sent") != 0 {
					t.Errorf("status %d after %d arrivals, %d hedges", w.Code, s.count("x"), f.hedges("sent"))
				}
				if c.cause != "" && counted(f.node.metrics.unhedged.WithLabelValues(string(c.cause))) != 1 {
					t.Errorf("cause %q is not counted", c.cause)
				}
				if c.pace == 0 && (f.node.hedges.active.Load() || f.node.hedges.routes != nil) {
					t.Error("run times are kept for servers that report no pace")
				}
			})
		})
	}
}

// setRetries sets the bound on retries.
func (f *fixture) setRetries(ratio, extra float64) {
	b := *f.node.bounds.Load()
	b.RetryRatio, b.RetryExtra = ratio, extra
	f.node.bounds.Store(&b)
}

// forget has no server count as warm for any object.
func (f *fixture) forget() {
	time.Sleep(time.Minute / 2)
	f.node.hedges.services["s"].pacedAt = time.Now()
}

// fill has all servers but the first of object "o" count as full.
func (f *fixture) fill() {
	g := f.keeper.View().groups["s"]
	first := g.ring.Rank(placement.Object("get", "o"), 1)[0]
	for i, s := range g.servers {
		for range 4 {
			if i != first {
				s.startRequest(1, time.Now())
			}
		}
	}
}

// Guards against an attempt that goes on after its caller has left: both are cancelled at once.
func TestCallerLeavesAPair(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, s := newHedgeFixture(1)
		defer f.stop()
		s.plan = func(string, int, string) pacedRun { return pacedRun{after: time.Minute} }
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 450*time.Millisecond)
		defer cancel()
		f.doContext(ctx, http.MethodGet, "/get/", "Id", "x")
		synctest.Wait()
		if s.count("x") != 2 || len(s.cancelled) != 2 || time.Since(start) > 900*time.Millisecond {
			t.Errorf("%d arrivals, cancelled %d, after %v", s.count("x"), len(s.cancelled), time.Since(start))
		}
	})
}

// Guards against a planned stop that cuts a pair in flight.
func TestStopDoesNotCutAPair(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, s := newHedgeFixture(1)
		defer f.stop()
		s.plan = func(_ string, n int, _ string) pacedRun { return pacedRun{after: time.Second / time.Duration(n)} }
		time.AfterFunc(100*time.Millisecond, func() { f.node.refusing.Store(true) })
		if w := f.do(http.MethodGet, "/get/", "Id", "x"); w.Code != 200 || s.count("x") != 2 {
			t.Errorf("status %d after %d arrivals", w.Code, s.count("x"))
		}
	})
}

// Guards against a crash under a pair that nobody hears of: the request crashes both servers, and
// each crash is reported; and against a crash that is charged to a request that has lost there and
// has run to its end elsewhere.
func TestCrashesUnderPairs(t *testing.T) {
	for name, c := range map[string]struct {
		hedgeWins bool
		reported  int
	}{"both crash": {false, 2}, "hedge wins, then its twin's server ends": {true, 0}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, s := newHedgeFixture(1)
				defer f.stop()
				s.plan = func(_ string, n int, _ string) pacedRun {
					if n == 1 {
						return pacedRun{after: 600 * time.Millisecond, err: brokenError(true)}
					}
					if c.hedgeWins {
						return pacedRun{}
					}
					return pacedRun{err: brokenError(true)}
				}
				f.do(http.MethodGet, "/get/", "Id", "x")
				synctest.Wait()
				reported := 0
				for _, id := range s.servers["x"] {
					x := f.keeper.server(id, 0)
					x.mu.Lock()
					reported += len(x.unfinished.Ended(time.Now(), false))
					x.mu.Unlock()
				}
				if reported != c.reported {
					t.Errorf("%d crashes charged to the request, want %d", reported, c.reported)
				}
			})
		})
	}
}

// hedgeLoadResult counts requests by how they ended. Starts are when they were sent.
type hedgeLoadResult struct {
	requests, late, hedges int
	starts                 []time.Time
}

// addServers adds servers that count as warm for what hedgeLoad asks for.
func (f *fixture) addServers(n int) {
	var records []mirror.Record
	for i := range n {
		records = append(records, f.serverRecord(fleet.Record{ID: fmt.Sprintf("j-%02d", i), Domain: testDomains[i%len(testDomains)].Domain}, uint64(100+i)))
	}
	f.keeper.Apply(records, uint64(100+n), "store", time.Now())
}

// hedgeLoad sends requests for some objects for a time.
func hedgeLoad(f *fixture, perSecond int, span time.Duration, random *rand.Rand) (out hedgeLoadResult) {
	objects := strings.Split("abcdefghijklmnop", "")
	before := f.hedges("sent")
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range int(span.Seconds() * float64(perSecond)) {
		time.Sleep(time.Second / time.Duration(perSecond))
		if i%perSecond == 0 {
			f.keeper.Apply(nil, 0, "store", time.Now())
			f.warm("/get/", objects...)
		}
		object := objects[random.IntN(len(objects))]
		start := time.Now()
		out.starts = append(out.starts, start)
		wg.Go(func() {
			w := f.do(http.MethodGet, "/get/", "Id", fmt.Sprint("load", start.UnixNano()), "Object", object)
			mu.Lock()
			defer mu.Unlock()
			out.requests++
			if w.Code != 200 || time.Since(start) > 600*time.Millisecond {
				out.late++
			}
		})
	}
	wg.Wait()
	out.hedges = f.hedges("sent") - before
	return out
}

// unevenRuns returns what runs meet at servers where 3% of all runs take seven times as long and,
// with spells, each is 2.5 times slower for half a second, 15% of the time.
func unevenRuns(random *rand.Rand, spells bool) func(string, int, string) pacedRun {
	until, next := map[string]time.Time{}, map[string]time.Time{}
	return func(_ string, _ int, address string) pacedRun {
		now := time.Now()
		if now.After(next[address]) {
			if !next[address].IsZero() {
				until[address] = now.Add(500 * time.Millisecond)
			}
			next[address] = now.Add(time.Duration(random.Int64N(int64(6600 * time.Millisecond))))
		}
		run := warmRun
		if random.Float64() < 0.03 {
			run *= 7
		}
		if left := until[address].Sub(now); spells && left > 0 {
			run += min(left, time.Duration(2.5*float64(run))) * 3 / 5
		}
		return pacedRun{after: run}
	}
}

// Answers the pattern of runs that take seven times as long, alone and beside servers that are 2.5
// times slower for half a second: hedges save half of the late responses, and a part of them where
// runs at slow servers, most of which end in time, use up much of the budget. Second arrivals stay within
// half of the retry budget. Guards against hedges on a full system as well: there are none.
func TestHedgesUnderLoad(t *testing.T) {
	const ratio = 0.2
	run := func(pace float64, spells bool, perSecond, slots int, span time.Duration) (out hedgeLoadResult) {
		synctest.Test(t, func(t *testing.T) {
			f, s := newHedgeFixture(pace)
			defer f.stop()
			f.addServers(24)
			f.setRetries(ratio, 0)
			s.slots = slots
			s.plan = unevenRuns(rand.New(rand.NewPCG(3, 3)), spells)
			// The budget fills, and a service that gets too much gets full.
			hedgeLoad(f, perSecond, 10*time.Second, rand.New(rand.NewPCG(7, 7)))
			out = hedgeLoad(f, perSecond, span, rand.New(rand.NewPCG(7, 7)))
		})
		return out
	}
	for spells, part := range map[bool]float64{false: 0.5, true: 0.85} {
		with, without := run(1, spells, 40, 0, 30*time.Second), run(0, spells, 40, 0, 30*time.Second)
		t.Logf("slow servers %t: late %d of %d with hedges and %d without; %d hedges", spells, with.late, with.requests, without.late, with.hedges)
		if float64(with.late) > part*float64(without.late) || without.hedges != 0 {
			t.Errorf("slow servers %t: late %d of %d with hedges, %d without; %d hedges without a pace", spells, with.late, with.requests, without.late, without.hedges)
		}
		// Half of the retry budget.
		if limit := 0.5 * ratio * float64(with.requests); with.hedges == 0 || float64(with.hedges) > limit {
			t.Errorf("%d hedges for %d requests, %.0f are allowed", with.hedges, with.requests, limit)
		}
	}
	// 30 servers of two slots run 300 requests a second at most.
	if full := run(1, true, 500, 2, 5*time.Second); full.hedges != 0 {
		t.Errorf("%d hedges for %d requests of a full system, %d of them late or refused", full.hedges, full.requests, full.late)
	}
}

// Guards against more runs of a request than its route allows, and against more arrivals than the
// retry budget allows, whatever the servers do.
func TestHedgesKeepAttemptsAndBudget(t *testing.T) {
	const ratio, extra = 0.2, 4.0
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		failing := rapid.Float64Range(0, 0.8).Draw(rt, "failing")
		perSecond := rapid.IntRange(5, 60).Draw(rt, "perSecond")
		var fault string
		synctest.Test(t, func(t *testing.T) {
			f, s := newHedgeFixture(1)
			defer f.stop()
			f.setRetries(ratio, extra)
			time.Sleep(10 * time.Second)
			s.inRow = nil
			random := rand.New(rand.NewPCG(seed, 1))
			mayHaveRun := map[string]int{}
			s.plan = func(id string, _ int, _ string) pacedRun {
				run := pacedRun{after: time.Duration(random.Int64N(int64(4 * warmRun)))}
				if random.Float64() < failing {
					switch random.IntN(4) {
					case 0:
						run.answer = notRunAnswer()
						return run
					case 1:
						run.err = brokenError(false)
						return run
					case 2:
						run.err = brokenError(true)
					default:
						run.answer = statusAnswer(500)
					}
				}
				mayHaveRun[id]++
				return run
			}
			load := hedgeLoad(f, perSecond, 12*time.Second, rand.New(rand.NewPCG(seed, 2)))
			for id, n := range mayHaveRun {
				if n > 2 {
					fault = fmt.Sprintf("request %s may have run at %d servers", id, n)
				}
			}
			fault = cmp.Or(fault, overBudget(s.inRow, load.starts, ratio, extra))
		})
		if fault != "" {
			rt.Fatal(fault)
		}
	})
}

// overBudget describes the first window of ten seconds with more arrivals beyond the first of each
// request than are allowed for the requests that came in it.
func overBudget(arrivals []arrival, requests []time.Time, ratio, extra float64) string {
	const window = 10 * time.Second
	for i, end := range arrivals {
		all, more := 0, 0
		for _, a := range arrivals[:i+1] {
			if end.at.Sub(a.at) < window && !a.first {
				more++
			}
		}
		for _, at := range requests {
			if !at.After(end.at) && end.at.Sub(at) < window {
				all++
			}
		}
		if float64(more) > ratio*float64(all)+extra {
			return fmt.Sprintf("%d arrivals beyond the first ones of %d requests", more, all)
		}
	}
	return ""
}
