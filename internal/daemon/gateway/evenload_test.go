//go:build !race

package gateway

import (
	"container/heap"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"cassiatray/internal/adapter/peer"
	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/loadview"
	"cassiatray/internal/core/mirror"
	"cassiatray/internal/core/placement"
	"cassiatray/internal/core/routing"
	"cassiatray/internal/port"
)

// evenCase is a load of the gateways of one region on its servers.
type evenCase struct {
	name                   string
	gateways, servers      int
	slots, objects, cached int
	// load is the share of the slots that warm runs at the usual pace occupy.
	load float64
	// steady is set if servers always work at their usual pace.
	steady bool
	// silent is set if servers report no pace.
	silent bool
	// plain is set if the route is not sticky.
	plain bool
	gain  float64
}

// evenResult is what came of the requests of an evenCase.
type evenResult struct {
	all, inTime, late, refused int
	// arrivals are those at servers, full those that met a server without a free slot, and
	// avoidable those of them while another of the object's first two servers had one.
	arrivals, full, avoidable int
	rejected, coldRuns        int
	// peak is the most requests at one server in requests per slot, and spread the mean
	// over time of the standard deviation between servers, in requests per slot.
	peak, spread float64
}

func share(part, of int) float64 { return 100 * float64(part) / float64(max(1, of)) }

func (r evenResult) String() string {
	return fmt.Sprintf("in time %.2f%%, late %.2f%%, refused %.2f%%, met full %.2f%%, avoidable %.2f%%, rejected %.2f%%, cold %.2f%%, peak %.2f, spread %.3f",
		share(r.inTime, r.all), share(r.late, r.all), share(r.refused, r.all), share(r.full, r.arrivals), share(r.avoidable, r.arrivals), share(r.rejected, r.arrivals), share(r.coldRuns, r.arrivals), r.peak, r.spread)
}

func (r *evenResult) add(o evenResult) {
	r.all += o.all
	r.inTime += o.inTime
	r.late += o.late
	r.refused += o.refused
	r.arrivals += o.arrivals
	r.full += o.full
	r.avoidable += o.avoidable
	r.rejected += o.rejected
	r.coldRuns += o.coldRuns
	r.peak = max(r.peak, o.peak)
	r.spread += o.spread
}

const (
	evenColdRun  = 1600 * time.Millisecond
	evenWarmRun  = 480 * time.Millisecond
	evenTarget   = 1200 * time.Millisecond
	evenTimeout  = 3600 * time.Millisecond
	evenSpell    = 600 * time.Millisecond
	evenSlow     = 2.5
	evenSlowPart = 0.15
	evenLongPart = 0.03
	evenLong     = 7
)

// evenServer is a simulated server with slots, a queue and a cache of objects.
type evenServer struct {
	id      string
	running int
	waiting []*evenRun
	cached  []uint64
}

func (s *evenServer) requests() int { return s.running + len(s.waiting) }

// evenRun is a request at a simulated server.
type evenRun struct {
	gateway int
	req     *inflightRequest
	server  *server
	at      *evenServer
	started runningRequest
	own     int
	sent    time.Time
	chosen  candidate
	factor  float64
}

type evenEvent struct {
	at  time.Duration
	seq int
	fn  func()
}

type evenEvents []evenEvent

func (h evenEvents) Len() int { return len(h) }
func (h evenEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h evenEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *evenEvents) Push(x any)   { *h = append(*h, x.(evenEvent)) }
func (h *evenEvents) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// evenWorld plays an evenCase on virtual time, without goroutines: the same seed gives the
// same arrivals, run times and slow spells whatever the gateways choose.
type evenWorld struct {
	evenCase
	start    time.Time
	now      time.Duration
	seq      int
	events   evenEvents
	random   *rand.Rand
	seed     uint64
	nodes    []*Node
	byID     map[string]*evenServer
	order    []*evenServer
	settled  time.Duration
	result   evenResult
	weighted float64
}

func (w *evenWorld) at(after time.Duration, fn func()) {
	w.seq++
	heap.Push(&w.events, evenEvent{w.now + after, w.seq, fn})
}

// slowdown returns the pace of a server at a time.
func (w *evenWorld) slowdown(s *evenServer, at time.Duration) float64 {
	if w.steady {
		return 1
	}
	h := placement.Object(s.id, fmt.Sprint(w.seed, at/evenSpell))
	if placement.Point(h) < evenSlowPart {
		return evenSlow
	}
	return 1
}

// duration returns how long work takes at a server from now on.
func (w *evenWorld) duration(s *evenServer, work time.Duration) time.Duration {
	at := w.now
	for work > 0 {
		pace := w.slowdown(s, at)
		left := evenSpell - at%evenSpell
		if need := time.Duration(float64(work) * pace); need <= left {
			return at + need - w.now
		}
		work -= time.Duration(float64(left) / pace)
		at += left
	}
	return at - w.now
}

func newEvenWorld(t *testing.T, c evenCase, seed uint64) *evenWorld {
	w := &evenWorld{evenCase: c, start: time.Now(), seed: seed, random: rand.New(rand.NewPCG(seed, 7)), byID: map[string]*evenServer{}, settled: 20 * time.Second}
	var records []mirror.Record
	add := func(key string, value []byte) {
		records = append(records, mirror.Record{Key: key, Revision: uint64(len(records) + 1), Read: w.start, Value: value})
	}
	add("config", encode(plainConfig{
		Version: 1, Services: []routing.Service{{Name: "s"}},
		Routes: []routing.Route{{Name: "r", Host: "h", Prefix: "/", Idempotent: true, MaxAttempts: 2, Sticky: !c.plain, Target: evenTarget, Timeout: evenTimeout, Parts: []routing.Part{{Service: "s", Weight: 1}}}},
	}))
	for i := range c.servers {
		id := fmt.Sprintf("i-%d", i)
		add("server/"+id, encode(fleet.Record{ID: id, Service: "s", Address: id, Domain: testDomains[i%2].Domain, Slots: c.slots}))
		s := &evenServer{id: id}
		w.byID[id], w.order = s, append(w.order, s)
	}
	for i := range c.gateways {
		cfg := testSettings(fmt.Sprint("g", i), "a1", i)
		k := NewKeeper(cfg, plainSchema{}, discardLog())
		k.Apply(records, uint64(len(records)), "store", w.start)
		m := NewMetrics(prometheus.NewRegistry())
		n := NewNode(cfg, k, plainDialect{}, nil, nil, nil, nil, discardLog(), m)
		n.syncer = NewSyncer(cfg, peer.Identity{Host: cfg.Host, Incarnation: 1}, k, nil, plainSchema{}, nil, discardLog(), m)
		n.random = rand.New(rand.NewPCG(seed, uint64(100+i))).Float64
		if c.silent {
			n.random = func() float64 {
				t.Error("a random choice between servers that report no pace")
				return 0
			}
		}
		w.nodes = append(w.nodes, n)
	}
	return w
}

func (w *evenWorld) play(span time.Duration) evenResult {
	rates := make([]float64, w.objects)
	total := 0.0
	for i := range rates {
		rates[i] = 1 + 3*w.random.Float64()
		total += rates[i]
	}
	perSecond := w.load * float64(w.servers*w.slots) / evenWarmRun.Seconds()
	var arrive func()
	arrive = func() {
		point, object := w.random.Float64()*total, 0
		for point -= rates[object]; point > 0; object++ {
			point -= rates[object+1]
		}
		w.request(w.random.IntN(w.gateways), fmt.Sprint(object))
		if next := time.Duration(w.random.ExpFloat64() / perSecond * float64(time.Second)); w.now+next < span {
			w.at(next, arrive)
		}
	}
	w.at(0, arrive)
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(evenEvent)
		w.observe(e.at)
		w.now = e.at
		e.fn()
	}
	w.result.spread = w.weighted / (span - w.settled).Seconds()
	return w.result
}

// observe accounts for the time until the next event.
func (w *evenWorld) observe(until time.Duration) {
	if w.now < w.settled {
		return
	}
	sum, squares := 0.0, 0.0
	for _, s := range w.order {
		x := float64(s.requests()) / float64(w.slots)
		sum += x
		squares += x * x
		w.result.peak = max(w.result.peak, x)
	}
	n := float64(len(w.order))
	w.weighted += math.Sqrt(max(0, squares/n-sum*sum/n/n)) * (until - w.now).Seconds()
}

func (w *evenWorld) clock() time.Time { return w.start.Add(w.now) }

func (w *evenWorld) request(gateway int, object string) {
	n := w.nodes[gateway]
	req := &inflightRequest{start: w.clock(), caller: port.CallerMeta{Object: object, Left: evenTimeout}, view: n.keeper.View(), excluded: map[*server]bool{}, secondChance: map[*server]bool{}}
	req.route = req.view.config.Match("h", "/")
	n.prepare(req)
	if w.plain {
		req.objectHash = w.random.Uint64()
	}
	// Drawn here, so that they do not depend on the choices.
	long, jitter := 1.0, 0.8+0.4*w.random.Float64()
	if w.random.Float64() < evenLongPart {
		long = evenLong
	}
	w.attempt(gateway, req, long*jitter)
}

func (w *evenWorld) attempt(gateway int, req *inflightRequest, factor float64) {
	counts := req.start.Sub(w.start) >= w.settled
	n := w.nodes[gateway]
	c, reason := n.chooseServer(req.view, req, w.clock())
	if reason != reasonNone || req.tries >= req.maxTries {
		if counts {
			w.result.all++
			w.result.refused++
		}
		return
	}
	req.tries++
	run := &evenRun{gateway: gateway, req: req, server: c.server, at: w.byID[c.server.rec().ID], sent: w.clock(), chosen: c}
	run.started, run.own = c.server.startRequest(req.objectHash, w.clock())
	if counts {
		w.result.arrivals++
		if run.at.requests() >= w.slots {
			w.result.full++
			usable := 0
			for _, s := range req.view.groups["s"].ranked(req.objectHash, false) {
				if other := w.byID[s.rec().ID]; other.requests() < w.slots {
					w.result.avoidable++
					break
				}
				if usable++; usable == preferredServerCount {
					break
				}
			}
		}
	}
	if run.at.running >= w.slots && len(run.at.waiting) >= 3*w.slots {
		if counts {
			w.result.rejected++
		}
		c.server.endRequest(run.started)
		a := notRunAnswer()
		a.Meta.Load = w.report(run.at)
		c.server.recordAnswer(a.Meta, run.own, run.sent, false, w.clock())
		req.excludeServer(c.server, a, nil)
		w.attempt(gateway, req, factor)
		return
	}
	if run.at.running >= w.slots {
		run.at.waiting = append(run.at.waiting, run)
		run.factor = factor
		return
	}
	w.startRun(run, factor)
}

// report returns the load that a server reports with a response.
func (w *evenWorld) report(s *evenServer) *port.ServerLoad {
	l := &port.ServerLoad{Running: s.running, Waiting: len(s.waiting), Slots: w.slots}
	if !w.silent {
		l.Slowdown = w.slowdown(s, w.now)
	}
	return l
}

func (w *evenWorld) startRun(run *evenRun, factor float64) {
	s := run.at
	s.running++
	work := evenColdRun
	if i := slices.Index(s.cached, run.req.objectHash); i >= 0 {
		s.cached = slices.Delete(s.cached, i, i+1)
		work = evenWarmRun
	} else if w.plain {
		work = evenWarmRun
	} else if run.sent.Sub(w.start) >= w.settled {
		w.result.coldRuns++
	}
	s.cached = append(s.cached, run.req.objectHash)
	if len(s.cached) > w.cached {
		s.cached = s.cached[1:]
	}
	w.at(w.duration(s, time.Duration(factor*float64(work))), func() { w.finish(run) })
}

func (w *evenWorld) finish(run *evenRun) {
	n, s, now := w.nodes[run.gateway], run.server, w.clock()
	a := okAnswer()
	a.Meta.Load = w.report(run.at)
	run.at.running--
	s.endRequest(run.started)
	s.recordAnswer(a.Meta, run.own, run.sent, false, now)
	if run.req.sticky() {
		s.markWarm(run.req.objectHash, now)
	}
	n.serviceTimes.record(run.req.route, "s", a, loadview.Run{Took: now.Sub(run.sent), Warm: run.started.warm, Known: run.started.known}, !run.chosen.expectsSlot())
	n.serviceTimes.recordShare("s", a.Meta.Load, s.inFlight())
	if run.req.start.Sub(w.start) >= w.settled {
		w.result.all++
		if now.Sub(run.req.start) <= evenTarget {
			w.result.inTime++
		} else {
			w.result.late++
		}
	}
	if len(run.at.waiting) > 0 {
		next := run.at.waiting[0]
		run.at.waiting = run.at.waiting[1:]
		w.startRun(next, next.factor)
	}
}

// evenCases have in load what a third to a half of all slots would need if all runs were warm
// and at the usual pace; slow spells and long runs add two fifths. gain is by how many percent
// points of all requests more must be in time than without the pace.
var evenCases = []evenCase{
	{name: "3 slots, 55%", gateways: 4, servers: 16, slots: 3, objects: 60, cached: 20, load: 0.40, gain: 2},
	{name: "3 slots, 70%", gateways: 4, servers: 16, slots: 3, objects: 60, cached: 20, load: 0.52, gain: 4},
	{name: "3 slots, 85%", gateways: 4, servers: 16, slots: 3, objects: 60, cached: 20, load: 0.63, gain: 3},
	{name: "9 slots, 70%", gateways: 4, servers: 16, slots: 9, objects: 160, cached: 27, load: 0.52, gain: 1},
	{name: "9 slots, 85%", gateways: 4, servers: 16, slots: 9, objects: 160, cached: 27, load: 0.63, gain: 1},
	{name: "many servers, 70%", gateways: 4, servers: 80, slots: 3, objects: 335, cached: 15, load: 0.52, gain: 4},
	{name: "few objects, 70%", gateways: 4, servers: 16, slots: 3, objects: 40, cached: 11, load: 0.52, gain: 2},
	{name: "tight caches, 60%", gateways: 4, servers: 16, slots: 3, objects: 120, cached: 14, load: 0.4, gain: -1},
	{name: "small caches, 60%", gateways: 4, servers: 16, slots: 3, objects: 200, cached: 15, load: 0.4, gain: -1},
	{name: "usual pace, 70%", gateways: 4, servers: 16, slots: 3, objects: 60, cached: 20, load: 0.55, steady: true, gain: 2},
	{name: "no objects, 70%", gateways: 4, servers: 16, slots: 3, objects: 60, cached: 20, load: 0.52, plain: true, gain: -0.5},
}

func playEven(t *testing.T, c evenCase, seeds uint64, span time.Duration) (sum evenResult) {
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) { sum.add(newEvenWorld(t, c, seed).play(span)) })
	}
	sum.spread /= float64(seeds)
	return sum
}

// TestLoadIsEvenWithStaleReports guards against servers that are full in turn while others are
// idle. Several gateways choose by reports that are a second or more old; with the pace, more
// requests are in time, fewer meet a full server while another of their object's first two has
// a free slot, and the load is more even than by the rules for servers that report none, with
// the same arrivals, run times and slow spells.
func TestLoadIsEvenWithStaleReports(t *testing.T) {
	const seeds, span = 3, 80 * time.Second
	for _, c := range evenCases {
		c.silent = true
		before := playEven(t, c, seeds, span)
		c.silent = false
		after := playEven(t, c, seeds, span)
		t.Logf("%s\n  without pace: %v\n  with pace:    %v", c.name, before, after)
		if gain := share(after.inTime, after.all) - share(before.inTime, before.all); gain < c.gain {
			t.Errorf("%s: the share of requests in time rises by %.2f points, want %.2f", c.name, gain, c.gain)
		}
		if got, old := share(after.avoidable, after.arrivals), share(before.avoidable, before.arrivals); got > 1.1*old {
			t.Errorf("%s: %.2f%% meet a full server while another has room, %.2f%% without the pace", c.name, got, old)
		}
		if after.spread > 1.05*before.spread {
			t.Errorf("%s: the load of servers differs by %.3f, %.3f without the pace", c.name, after.spread, before.spread)
		}
	}
}

// TestFullServerIsCountedAndLogged guards against overload that cannot be told from a lack of
// servers: a rejection by a full server is counted, with whether another of the object's
// servers was believed to have room, and the log has the report that the choice was based on.
func TestFullServerIsCountedAndLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(func(_ context.Context, n int, _ string) (*port.ForwardAnswer, error) {
			time.Sleep(100 * time.Millisecond)
			a := okAnswer()
			a.Meta.Load = &port.ServerLoad{Running: 1, Slots: 4, Slowdown: 1.2}
			if n == 2 {
				a = notRunAnswer()
				a.Meta.Load = &port.ServerLoad{Running: 4, Waiting: 12, Slots: 4, Slowdown: 1}
			}
			return a, nil
		})
		defer f.stop()
		hook := logtest.NewLocal(f.node.log.Logger)
		f.do(http.MethodGet, "/get/")
		time.Sleep(400 * time.Millisecond)
		f.node.random = func() float64 { return 0 }
		f.do(http.MethodGet, "/get/")
		var m dto.Metric
		if err := f.node.metrics.full.WithLabelValues("s", "true").Write(&m); err != nil {
			t.Fatal(err)
		}
		if n := m.GetCounter().GetValue(); n != 1 {
			t.Errorf("%v arrivals at a full server counted", n)
		}
		got := lastAttempts(t, hook)
		if len(got) != 2 || got[0]["pace"] != 1.2 || got[0]["report_age_ms"] != 400.0 || got[0]["other_room"] != true {
			t.Errorf("logged %v", got)
		}
	})
}
