package loadview

import (
	"testing"
	"time"
)

// testTimes are the run times of a route in the tests.
func testTimes() *Times {
	return &Times{Mean: 500 * ms, Warm: 480 * ms, Cold: 1600 * ms, Typical: 500 * ms, OthersPerOwn: 3}
}

// TestReportDecaysToUsualLoad guards against old reports taken for the present load: a peak
// counts right after the report, and a run or two later the load is what it usually is.
func TestReportDecaysToUsualLoad(t *testing.T) {
	for _, x := range []struct {
		name     string
		report   Report
		own      int
		from, to float64
	}{
		{"just reported", Report{Others: 8, Mean: 2}, 1, 8.9, 9.1},
		{"reported two runs ago", Report{Others: 8, Mean: 2, Age: time.Second}, 1, 3, 4},
		{"idle when reported", Report{Others: 0, Mean: 6, Age: time.Second}, 1, 3.5, 6},
		{"never busy, many own requests", Report{Age: 2 * time.Second}, 5, 9, 12},
		{"not heard of for long", Report{Others: 9, Mean: 9, Age: 40 * time.Second}, 0, 0, 0.01},
	} {
		if got := x.report.State(x.own, 9, testTimes()).Requests; got < x.from || got > x.to {
			t.Errorf("%s: estimated %.2f requests, want %v to %v", x.name, got, x.from, x.to)
		}
	}
}

// TestOwnRequestsOfSmallGatewaySayLittle guards against servers that are taken for full because
// a gateway with a small share of the arrivals has a request there.
func TestOwnRequestsOfSmallGatewaySayLittle(t *testing.T) {
	times := testTimes()
	times.OthersPerOwn = 11
	if got := (Report{Mean: 1, Age: 2 * time.Second}).State(1, 3, times); got.Requests > 4 {
		t.Errorf("estimated %.2f requests at a server with three slots and a usual load of one", got.Requests)
	}
}

// TestPaceIsForgotten guards against a pace that is believed after it has passed: it changes
// within a few hundred milliseconds, and a server may stop to report it.
func TestPaceIsForgotten(t *testing.T) {
	stretch := func(age, work time.Duration) time.Duration {
		return Report{Slowdown: 2.5, Age: age}.State(0, 3, testTimes()).Stretch(work)
	}
	if got := stretch(0, 100*ms); got != 250*ms {
		t.Errorf("work of 100ms at a server that is slow takes %v", got)
	}
	if got := stretch(0, time.Second); got != time.Second+180*ms {
		t.Errorf("work of 1s that begins in a slow spell takes %v", got)
	}
	if early, late := stretch(300*ms, time.Second), stretch(700*ms, time.Second); early <= late || late <= time.Second {
		t.Errorf("work of 1s takes %v 300 ms after the report, %v after 700 ms", early, late)
	}
	for _, age := range []time.Duration{time.Second, 3 * time.Second} {
		if got := stretch(age, time.Second); got != time.Second {
			t.Errorf("work of 1s takes %v when the report is %v old", got, age)
		}
	}
	if got := (Report{}).State(0, 3, testTimes()).Stretch(time.Second); got != time.Second {
		t.Errorf("work of 1s takes %v without a report", got)
	}
}

func state(requests float64) State { return State{Requests: requests, Slots: 9, Slowdown: 1} }

// TestChoose checks which of an object's servers is chosen.
func TestChoose(t *testing.T) {
	first := Candidate{State: state(4), Warm: true}
	waiting := func(wait time.Duration) Candidate { return Candidate{State: state(12), Wait: wait, Warm: true} }
	slow := first
	slow.State.Slowdown, slow.State.SlowFor = 2.5, slowSpell
	for _, x := range []struct {
		name          string
		first, second Candidate
		misses        float64
		want          int
	}{
		{"cold second server", first, Candidate{State: state(0)}, 0, 0},
		{"short wait at the first, cold second with spare room", waiting(400 * ms), Candidate{State: state(0)}, 0.05, 1},
		{"short wait at the first, second would evict", waiting(400 * ms), Candidate{State: state(0), Objects: 20}, 0.05, 0},
		{"the same, but nothing is evicted", waiting(400 * ms), Candidate{State: state(0), Objects: 20}, 0, 1},
		{"long wait at the first, second would evict", waiting(3 * time.Second), Candidate{State: state(0), Objects: 20}, 0.05, 1},
		{"slow first server, warm second", slow, first, 0, 1},
	} {
		times := testTimes()
		times.Misses = x.misses
		for _, point := range []float64{0, 0.5, 0.999} {
			if got := Choose([]Candidate{x.first, x.second}, times, point); got != x.want {
				t.Errorf("%s: chose %d, want %d", x.name, got, x.want)
			}
		}
	}
}

// TestChoiceIsInProportionToRoom guards against gateways with the same old report that all
// choose the same server.
func TestChoiceIsInProportionToRoom(t *testing.T) {
	list := []Candidate{{State: state(3), Warm: true}, {State: state(7), Warm: true}}
	n := 0
	for i := range 1000 {
		n += Choose(list, testTimes(), float64(i)/1000)
	}
	if n != 250 {
		t.Errorf("%d of 1000 requests go to a server with a quarter of the room", n)
	}
}

// TestShare checks the ratio of other gateways' requests to own ones, and that a gateway
// without own requests expects nothing from it.
func TestShare(t *testing.T) {
	var s, idle Share
	for i := range 2000 {
		s.Add(i%2, 2)
		idle.Add(0, 2)
	}
	if got := s.OthersPerOwn(); got < 3.8 || got > 4.2 {
		t.Errorf("%.2f requests of others for each own one, want 4", got)
	}
	if got := idle.OthersPerOwn(); got != 0 {
		t.Errorf("%.2f requests of others for each own one at an idle gateway", got)
	}
}
