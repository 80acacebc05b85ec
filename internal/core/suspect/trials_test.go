package suspect

import (
	"testing"
	"time"
)

// Guards against requests that are refused for crashes alone, and against ones that are tried
// again and again.
func TestJudge(t *testing.T) {
	start := time.Unix(1e9, 0)
	at := func(server string, s float64) Sighting {
		return Sighting{Server: server, At: start.Add(time.Duration(s * float64(time.Second)))}
	}
	proven := func(s Sighting) Sighting { s.Proven = true; return s }
	trial := func(s Sighting) Sighting { s.Trial = true; return s }
	domain := []Sighting{proven(at("a", 0)), at("b", 0.1), at("c", 0.1), at("d", 0.2)}
	for _, c := range []struct {
		name      string
		sightings []Sighting
		proven    bool
		state     State
		until     time.Duration
	}{
		{"no crash", nil, false, Clear, 0},
		{"two servers", domain[:2], false, Clear, 0},
		{"one crash, reported by many", []Sighting{at("a", 0), at("a", 0.2), at("a", 0.9), at("b", 0), at("b", 0.3)}, false, Clear, 0},
		{"one server, three times", []Sighting{at("a", 0), at("a", 2), at("a", 4)}, true, Probation, 6 * time.Second},
		{"a domain", domain, false, Probation, 2200 * time.Millisecond},
		{"a domain, reports in another order", []Sighting{domain[3], domain[1], domain[0], domain[2]}, false, Probation, 2200 * time.Millisecond},
		{"a domain, never run before", domain[1:], false, Probation, 200*time.Millisecond + time.Minute},
		{"a domain, known here to have run", domain[1:], true, Probation, 2200 * time.Millisecond},
		{"a trial failed", append(domain[:4:4], trial(at("e", 3))), false, Probation, 7 * time.Second},
		{"a trial failed beside another crash", append(domain[:4:4], at("e", 3), trial(at("e", 3.1))), false, Probation, 7100 * time.Millisecond},
		{"two trials failed", append(domain[:4:4], trial(at("e", 3)), trial(at("a", 8))), false, Refused, 8*time.Second + Keep},
		{"never run before, a trial failed", append(domain[1:4:4], trial(at("e", 61))), false, Refused, 61*time.Second + Keep},
	} {
		v := Judge(c.sightings, "", c.proven)
		if v.State != c.state || v.State != Clear && v.Until.Sub(start) != c.until {
			t.Errorf("%s: %s until %v, want %s until %v", c.name, v.State, v.Until.Sub(start), c.state, c.until)
		}
	}
}

// Guards against a request that begins anew at each service, and against one that is held back at services
// because others of a failure domain were lost, or crashed under it alone.
func TestJudgeOverServices(t *testing.T) {
	start := time.Unix(1e9, 0)
	at := func(service, server string, sent, at float64) Sighting {
		s := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
		return Sighting{Service: service, Server: server, Sent: s(sent), At: s(at)}
	}
	proven := func(s Sighting) Sighting { s.Proven = true; return s }
	trial := func(s Sighting) Sighting { s.Trial = true; return s }
	inTurn := []Sighting{at("s", "a", 0, 0.2), at("t", "b", 5, 5.2), at("u", "c", 10, 10.2)}
	for _, c := range []struct {
		name      string
		sightings []Sighting
		service   string
		proven    bool
		state     State
		until     time.Duration
	}{
		{"one after the other, at one of the services", inTurn, "s", false, Probation, 10200*time.Millisecond + time.Minute},
		{"one after the other, at a further service", inTurn, "v", false, Probation, 10200*time.Millisecond + time.Minute},
		{"two of them", inTurn[:2], "v", false, Clear, 0},
		{"sent again at once", []Sighting{at("s", "a", 0, 0.2), at("s", "b", 0.2, 0.4), at("t", "c", 0.4, 0.6)}, "u", true, Probation, 2600 * time.Millisecond},
		{"in flight at once", []Sighting{at("s", "a", 0, 1), at("t", "b", 0.1, 1.1), at("u", "c", 0.9, 1.2)}, "s", false, Clear, 0},
		{"in flight at once, and copies sent in between", []Sighting{at("s", "a", 0, 1), at("t", "b", 0.1, 1.1), at("t", "b", 1.05, 1.1), at("u", "c", 0.9, 1.2)}, "v", false, Clear, 0},
		{"in flight at once, three of one service", []Sighting{at("s", "a", 0, 1), at("s", "b", 0.1, 1.1), at("s", "c", 0.9, 1.2)}, "t", false, Clear, 0},
		{"the same, at that service", []Sighting{at("s", "a", 0, 1), at("s", "b", 0.1, 1.1), at("s", "c", 0.9, 1.2)}, "s", true, Probation, 3200 * time.Millisecond},
		{"run to completion elsewhere", []Sighting{proven(inTurn[0]), inTurn[1], inTurn[2]}, "t", false, Probation, 10200*time.Millisecond + time.Minute},
		{"run to completion there", []Sighting{proven(inTurn[0]), inTurn[1], inTurn[2]}, "s", false, Probation, 12200 * time.Millisecond},
		{"a trial failed where servers crashed", append(inTurn[:3:3], trial(at("s", "d", 71, 71.2))), "t", false, Refused, 71200*time.Millisecond + Keep},
		{"a trial failed, nothing crashed there", append(inTurn[:3:3], trial(at("s", "d", 71, 71.2))), "v", false, Probation, 71200*time.Millisecond + 2*time.Minute},
		{"two trials failed, nothing crashed there", append(inTurn[:3:3], trial(at("s", "d", 71, 71.2)), trial(at("v", "e", 200, 200.2))), "w", true, Refused, 200200*time.Millisecond + Keep},
	} {
		v := Judge(c.sightings, c.service, c.proven)
		if v.State != c.state || v.State != Clear && v.Until.Sub(start) != c.until {
			t.Errorf("%s: %s until %v, want %s until %v", c.name, v.State, v.Until.Sub(start), c.state, c.until)
		}
	}
}

// Guards against requests that count as run to completion though they are others.
func TestCompletedRequests(t *testing.T) {
	var c Completed
	if c.Has(0) {
		t.Error("an empty set has the key 0")
	}
	ran := key([]byte("body"), "s", "GET", "/a", "")
	c.Add(ran)
	for name, k := range map[string]uint64{
		"another body": key([]byte("other"), "s", "GET", "/a", ""), "parts shifted": key([]byte("body"), "s", "GET", "/", "a"),
		"same slot": ran + completedSlots,
	} {
		if c.Has(k) {
			t.Errorf("%s: counts as run", name)
		}
	}
	if !c.Has(ran) {
		t.Error("a request that ran is not known")
	}
}
