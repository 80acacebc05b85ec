package suspect

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	bad      = Of("orders", "GET", "/bad", "", nil)
	innocent = Of("orders", "GET", "/stock", "", nil)
)

func serverIn(domain string, n int) Server {
	return Server{Service: "orders", Name: fmt.Sprint(domain, "-", n), Domain: domain}
}

func TestState(t *testing.T) {
	start := time.Unix(1e9, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	for _, c := range []struct {
		name   string
		events func(*Table)
		want   State
		now    time.Time
	}{
		{"nothing", func(*Table) {}, Clear, at(0)},
		{"one crash", func(t *Table) { t.Crash(at(0), bad, serverIn("a", 1)) }, Probation, at(1)},
		{"the same crash seen twice", func(t *Table) {
			t.Crash(at(0), bad, serverIn("a", 1))
			t.Crash(at(0.5), bad, serverIn("a", 1))
		}, Probation, at(1)},
		{"two servers", func(t *Table) {
			t.Crash(at(0), bad, serverIn("a", 1))
			t.Crash(at(0.1), bad, serverIn("a", 2))
		}, Refused, at(1)},
		{"one server twice", func(t *Table) {
			t.Crash(at(0), bad, serverIn("a", 1))
			t.Crash(at(5), bad, serverIn("a", 1))
		}, Refused, at(6)},
		{"cleared between", func(t *Table) {
			t.Crash(at(0), bad, serverIn("a", 1))
			t.Clear(at(1), bad)
			t.Crash(at(5), bad, serverIn("a", 2))
		}, Probation, at(6)},
		{"a domain that dies", func(t *Table) {
			t.Crash(at(0), bad, serverIn("a", 1))
			t.Crash(at(0.1), bad, serverIn("a", 2))
			t.Crash(at(0.2), innocent, serverIn("a", 3))
		}, Probation, at(1)},
		{"a crash elsewhere at the time", func(t *Table) {
			t.Crash(at(0), bad, serverIn("a", 1))
			t.Crash(at(0.1), bad, serverIn("a", 2))
			t.Crash(at(0.2), innocent, serverIn("b", 3))
		}, Refused, at(1)},
		{"expired", func(t *Table) {
			t.Crash(at(0), bad, serverIn("a", 1))
			t.Crash(at(1), bad, serverIn("a", 2))
		}, Clear, at(Keep.Seconds() + 2)},
	} {
		t.Run(c.name, func(t *testing.T) {
			var table Table
			c.events(&table)
			if got := table.State(c.now, bad); got != c.want {
				t.Fatalf("state %s, want %s", got, c.want)
			}
		})
	}
}

// TestServersLost runs one crashing request among innocent ones, one at a
// time, and counts the servers that it takes down.
func TestServersLost(t *testing.T) {
	for name, c := range map[string]struct {
		refuse bool
		bounds bool
	}{"refused": {true, true}, "never refused": {false, false}} {
		t.Run(name, func(t *testing.T) {
			now, lost := time.Unix(1e9, 0), 0
			var table Table
			for i := range 50 {
				now = now.Add(10 * time.Millisecond)
				if !c.refuse || table.State(now, bad) != Refused {
					lost++
					table.Crash(now, bad, serverIn("a", i))
					table.Crash(now, innocent, serverIn("a", i))
				}
				if table.State(now, innocent) == Refused {
					t.Fatal("an innocent request is refused")
				}
				table.Clear(now, innocent)
			}
			if (lost <= CrashLimit) != c.bounds {
				t.Fatalf("%d servers lost", lost)
			}
		})
	}
}

// TestDomainDies checks that no request is refused when all servers of a
// failure domain break within the time of one cause, whatever was in flight,
// unless one request was in flight on every server.
func TestDomainDies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		servers := rapid.IntRange(2, 20).Draw(t, "servers")
		var table Table
		everywhere := map[int]int{}
		for s := range servers {
			for _, r := range rapid.SliceOfNDistinct(rapid.IntRange(0, 30), 1, 9, rapid.ID).Draw(t, "in flight") {
				when := now.Add(time.Duration(rapid.IntRange(0, int(sameCause/2/time.Millisecond)).Draw(t, "ms")) * time.Millisecond)
				table.Crash(when, Of("orders", "GET", fmt.Sprint(r), "", nil), serverIn("a", s))
				everywhere[r]++
			}
		}
		for r, n := range everywhere {
			state := table.State(now.Add(sameCause), Of("orders", "GET", fmt.Sprint(r), "", nil))
			if n < servers && state == Refused {
				t.Fatalf("request %d, in flight on %d of %d servers, is refused", r, n, servers)
			}
		}
	})
}

func TestBounds(t *testing.T) {
	now := time.Unix(1e9, 0)
	var table Table
	for i := range 2 * maxCrashes {
		for j := range 2 {
			table.Crash(now, Of("orders", "GET", fmt.Sprint(i, j), "", nil), serverIn("a", i))
		}
	}
	for j := range 2 * maxInFlight {
		table.Crash(now, Of("orders", "GET", fmt.Sprint(j), "", nil), serverIn("b", 0))
	}
	if n := len(table.List(now)); n > 2*maxCrashes+maxInFlight {
		t.Fatalf("%d entries kept", n)
	}
}
