// Package slots measures policies for choosing a backend server on virtual
// time: entry hosts of one failure domain share a few servers, every message
// between hosts takes a fixed delay, and the servers queue what is over their
// slots. It has no model of a network beyond that delay.
package slots

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cassiatray/internal/experiment/event"
)

// Fixed shape of the domain and its traffic.
const (
	hosts = 4
	// hop is the one-way delay between two hosts of a domain.
	hop = 400 * time.Microsecond
	// work is the mean time of a request on a warm server; times are
	// exponential, up to workMax.
	work    = 10 * time.Millisecond
	workMax = 10 * work
	// urgentShare of the requests are urgent.
	urgentShare = 0.8
	// runTime is the simulated time of one run, after settle.
	runTime = 20 * time.Second
	settle  = 2 * time.Second
	// surgeFactor is the load of a surge over that of the run.
	surgeFactor = 3
	// coldFactor is how much longer the first request of a cold server takes;
	// it falls in a line to one over coldTime.
	coldFactor = 4.0
	coldTime   = 5 * time.Second
	// faultAt is when a run's fault begins.
	faultAt = settle + 5*time.Second
)

// class is a kind of request.
type class struct {
	name     string
	priority int
	deadline time.Duration
}

var classes = [2]class{{"urgent", 0, 2 * time.Second}, {"patient", 7, 20 * time.Second}}

// Scenario is a fault of a run.
type Scenario string

// Values of Scenario.
const (
	Steady   Scenario = "steady"
	Frozen   Scenario = "one host frozen"
	Replaced Scenario = "one host replaced"
	Surge    Scenario = "surge x3"
	Cold     Scenario = "all servers cold"
	Lying    Scenario = "lying load"
	Leaving  Scenario = "server leaving"
)

// Setup is one run.
type Setup struct {
	Policy   string
	Scenario Scenario
	Servers  int
	Slots    int
	// Load is the share of all slots that requests would fill.
	Load float64
	Seed uint64
}

// Row is what a run gave.
type Row struct {
	Setup
	// Wait is the time from arrival to the start on a slot, Latency to the end,
	// by class.
	Wait, Latency [2]*hdrhistogram.Histogram
	Sent          [2]int
	Met           [2]int
	Refused       [2]int
	// High is the most requests at one server at once.
	High int
	// Busy is the slot time used; Free the mean share of slots left.
	busy time.Duration
	// LastWork is the last start on the leaving server after its sign.
	LastWork time.Duration
}

type request struct {
	class    int
	host     int
	arrived  time.Duration
	deadline time.Duration
	server   int
	done     func(took time.Duration)
}

// server is a stand-in: slots, and a queue in order of arrival.
type server struct {
	running int
	queue   []*request
	started time.Duration
	// held counts running and queued requests.
	held int
}

// policy decides where requests run.
type policy interface {
	// arrive takes a request at its host and calls sim.dispatch or sim.refuse.
	arrive(s *sim, r *request)
	// freeze says that a host does nothing any more, and thaw that it does.
	freeze(s *sim, host int, replaced bool)
	thaw(s *sim, host int)
	// leaving says that a host has seen a sign that a server leaves.
	leaving(s *sim, host, server int)
}

type sim struct {
	Setup
	row     *Row
	now     time.Duration
	events  event.Queue
	rng     *rand.Rand
	servers []*server
	frozen  [hosts]bool
	policy  policy
	gone    int
	goneAt  time.Duration
}

// Run simulates one setup.
func Run(setup Setup) *Row {
	row := &Row{Setup: setup}
	for i := range classes {
		row.Wait[i], row.Latency[i] = newHistogram(), newHistogram()
	}
	s := &sim{Setup: setup, row: row, rng: rand.New(rand.NewPCG(setup.Seed, 1)), gone: -1}
	for range setup.Servers {
		s.servers = append(s.servers, &server{started: -time.Hour})
	}
	s.policy = newPolicy(s)
	s.faults()
	s.after(settle, s.next)
	for s.events.Len() > 0 {
		e := s.events.Pop()
		s.now = e.At
		if s.now > settle+runTime+classes[1].deadline {
			break
		}
		e.Do()
	}
	return row
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}

func (s *sim) after(d time.Duration, do func()) {
	s.events.Add(s.now+d, do)
}

func (s *sim) faults() {
	switch s.Scenario {
	case Frozen, Replaced:
		s.after(faultAt, func() { s.frozen[0] = true; s.policy.freeze(s, 0, s.Scenario == Replaced) })
		s.after(faultAt+10*time.Second, func() { s.frozen[0] = false; s.policy.thaw(s, 0) })
	case Cold:
		s.after(settle, func() {
			for _, srv := range s.servers {
				srv.started = s.now
			}
		})
	case Leaving:
		s.after(faultAt, func() { s.gone, s.goneAt = 0, s.now })
	}
}

// next makes the next arrival.
func (s *sim) next() {
	if s.now > settle+runTime {
		return
	}
	rate := s.Load * float64(s.Servers*s.Slots) / work.Seconds()
	if s.Scenario == Surge && s.now > faultAt && s.now < faultAt+5*time.Second {
		rate *= surgeFactor
	}
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), s.next)
	c := 0
	if s.rng.Float64() >= urgentShare {
		c = 1
	}
	r := &request{class: c, host: s.rng.IntN(hosts), arrived: s.now, deadline: s.now + classes[c].deadline}
	// Callers of a frozen host go to another.
	for s.frozen[r.host] {
		r.host = s.rng.IntN(hosts)
	}
	s.row.Sent[c]++
	s.policy.arrive(s, r)
}

func (s *sim) refuse(r *request) { s.row.Refused[r.class]++ }

// dispatch sends a request to a server.
func (s *sim) dispatch(r *request, to int, done func(took time.Duration)) {
	srv := s.servers[to]
	r.server, r.done = to, done
	srv.held++
	s.row.High = max(s.row.High, srv.held)
	if to == s.gone {
		s.row.LastWork = s.now - s.goneAt
		s.after(0, func() { s.policy.leaving(s, r.host, to) })
	}
	srv.queue = append(srv.queue, r)
	s.begin(srv)
}

func (s *sim) begin(srv *server) {
	for srv.running < s.Slots && len(srv.queue) > 0 {
		r := srv.queue[0]
		srv.queue = srv.queue[1:]
		if s.now > r.deadline {
			srv.held--
			r.done(0)
			continue
		}
		srv.running++
		s.row.Wait[r.class].RecordValue(max(1, (s.now - r.arrived).Microseconds()))
		took := s.took(srv)
		s.row.busy += took
		s.after(took, func() { s.end(srv, r, took) })
	}
}

func (s *sim) took(srv *server) time.Duration {
	d := math.Min(s.rng.ExpFloat64()*float64(work), float64(workMax))
	if age := s.now - srv.started; age < coldTime {
		d *= 1 + (coldFactor-1)*(1-float64(age)/float64(coldTime))
	}
	return time.Duration(d)
}

func (s *sim) end(srv *server, r *request, took time.Duration) {
	srv.running--
	srv.held--
	if s.now <= r.deadline {
		s.row.Met[r.class]++
	}
	s.row.Latency[r.class].RecordValue(max(1, (s.now - r.arrived).Microseconds()))
	r.done(took)
	s.begin(srv)
}
