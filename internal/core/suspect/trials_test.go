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
		v := Judge(c.sightings, c.proven)
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
	ran := Key([]byte("body"), "s", "GET", "/a", "")
	c.Add(ran)
	for name, key := range map[string]uint64{
		"another body": Key([]byte("other"), "s", "GET", "/a", ""), "parts shifted": Key([]byte("body"), "s", "GET", "/", "a"),
		"same slot": ran + completedSlots,
	} {
		if c.Has(key) {
			t.Errorf("%s: counts as run", name)
		}
	}
	if !c.Has(ran) {
		t.Error("a request that ran is not known")
	}
}
