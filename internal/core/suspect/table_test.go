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
		{"one crash", func(t *Table) { t.Crash(at(0), bad, serverIn("a", 1), at(0-0.01)) }, Probation, at(1)},
		{"the same crash seen twice", func(t *Table) {
			t.Crash(at(0), bad, serverIn("a", 1), at(0-0.01))
			t.Crash(at(0.5), bad, serverIn("a", 1), at(-0.01))
		}, Probation, at(1)},
		{"a broken connection soon after", func(t *Table) {
			t.Crash(at(0), bad, serverIn("a", 1), at(-0.01))
			t.Crash(at(0), innocent, serverIn("a", 1), at(-0.01))
			t.Crash(at(1), bad, serverIn("a", 2), at(0.9))
			t.Crash(at(1.2), Of("orders", "GET", "/other", "", nil), serverIn("a", 1), at(1.1))
		}, Refused, at(2)},
		{"two servers", func(t *Table) {
			t.Crash(at(0), bad, serverIn("a", 1), at(0-0.01))
			t.Crash(at(0.1), bad, serverIn("a", 2), at(0.1-0.01))
		}, Refused, at(1)},
		{"two servers at once", func(t *Table) {
			t.Crash(at(0), bad, serverIn("a", 1), at(-0.02))
			t.Crash(at(0.1), bad, serverIn("a", 2), at(-0.01))
		}, Probation, at(1)},
		{"many servers of the service", func(t *Table) {
			for i := range CrashLimit + 1 {
				t.Crash(at(float64(i)/10), bad, serverIn(fmt.Sprint(i), i), at(float64(i)/10-0.01))
			}
		}, Probation, at(1)},
		{"one server that only breaks", repeat(false), Probation, at(60)},
		{"two servers that break all connections", func(t *Table) {
			for i := range CrashLimit {
				t.Crash(at(float64(i)), bad, serverIn("a", i), at(float64(i)-0.01))
				for range lateLimit {
					t.Crash(at(float64(i)+0.8), innocent, serverIn("a", i), at(float64(i)+0.7))
				}
			}
		}, Probation, at(3)},
		{"one server that works", repeat(true), Refused, at(60)},
		{"cleared between", func(t *Table) {
			t.Crash(at(0), bad, serverIn("a", 1), at(0-0.01))
			t.Clear(at(1), bad)
			t.Crash(at(5), bad, serverIn("a", 2), at(5-0.01))
		}, Probation, at(6)},
		{"a domain that dies", func(t *Table) {
			t.Crash(at(0), bad, serverIn("a", 1), at(0-0.01))
			t.Crash(at(0.1), bad, serverIn("a", 2), at(0.1-0.01))
			t.Crash(at(0.2), innocent, serverIn("a", 3), at(0.2-0.01))
		}, Probation, at(1)},
		{"a crash of another service elsewhere", func(t *Table) {
			t.Crash(at(0), bad, serverIn("a", 1), at(0-0.01))
			t.Crash(at(0.1), bad, serverIn("a", 2), at(0.1-0.01))
			t.Crash(at(0.2), innocent, Server{Service: "other", Name: "other-1", Domain: "b"}, at(0.2-0.01))
		}, Refused, at(1)},
		{"expired", func(t *Table) {
			t.Crash(at(0), bad, serverIn("a", 1), at(0-0.01))
			t.Crash(at(1), bad, serverIn("a", 2), at(1-0.01))
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

// repeat crashes one server again and again, each time by a run of its own.
func repeat(works bool) func(*Table) {
	return func(t *Table) {
		for i := range 5 {
			when := time.Unix(1e9, 0).Add(time.Duration(i) * 10 * time.Second)
			t.Crash(when, bad, serverIn("a", 1), when.Add(-time.Millisecond))
			if works {
				t.Ran(when.Add(time.Second), serverIn("a", 1))
			}
		}
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
					table.Crash(now, bad, serverIn("a", i), now.Add(-time.Millisecond))
					table.Crash(now, innocent, serverIn("a", i), now.Add(-time.Millisecond))
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

// TestDomainDies checks that no request is refused when the servers of a
// failure domain break within the time of one cause, whatever was in flight.
// Two servers that break one after the other with the same request alone are
// what a crashing request looks like.
func TestDomainDies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		servers := rapid.IntRange(CrashLimit+1, 20).Draw(t, "servers")
		var table Table
		for s := range servers {
			for _, r := range rapid.SliceOfNDistinct(rapid.IntRange(0, 30), 1, 9, rapid.ID).Draw(t, "in flight") {
				when := now.Add(time.Duration(rapid.IntRange(0, int(sameCause/2/time.Millisecond)).Draw(t, "ms")) * time.Millisecond)
				began := when.Add(-time.Duration(rapid.IntRange(0, 1000).Draw(t, "ran")) * time.Millisecond)
				table.Crash(when, request(r), serverIn("a", s), began)
			}
		}
		for r := range 31 {
			if table.State(now.Add(sameCause), request(r)) == Refused {
				t.Fatalf("request %d is refused", r)
			}
		}
	})
}

func request(n int) Fingerprint { return Of("orders", "GET", fmt.Sprint(n), "", nil) }

func TestBounds(t *testing.T) {
	now := time.Unix(1e9, 0)
	var table Table
	for i := range 2 * maxCrashes {
		for j := range 2 {
			table.Crash(now, request(2*i+j), serverIn("a", i), now)
		}
	}
	for j := range 2 * maxInFlight {
		table.Crash(now, request(j), serverIn("b", 0), now)
	}
	if n := len(table.List(now)); n > 2*maxCrashes+maxInFlight {
		t.Fatalf("%d entries kept", n)
	}
}
