package suspect

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	crashing = of("/bad")
	harmless = of("/stock")
)

func serverIn(domain string, n int) Server {
	return Server{Service: "orders", Name: fmt.Sprint(domain, "-", n), Domain: domain}
}

func TestStateAfterCrashes(t *testing.T) {
	start := time.Unix(1e9, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	for _, c := range []struct {
		name   string
		events func(*Table)
		want   State
		now    time.Time
	}{
		{"no crash", func(*Table) {}, Clear, at(0)},
		{"one crash", func(t *Table) { t.Crash(at(0), crashing, serverIn("a", 1), at(0-0.01)) }, Probation, at(1)},
		{"one crash reported twice", func(t *Table) {
			t.Crash(at(0), crashing, serverIn("a", 1), at(0-0.01))
			t.Crash(at(0.5), crashing, serverIn("a", 1), at(-0.01))
		}, Probation, at(1)},
		{"connection broken within the attribution window", func(t *Table) {
			t.Crash(at(0), crashing, serverIn("a", 1), at(-0.01))
			t.Crash(at(0), harmless, serverIn("a", 1), at(-0.01))
			t.Crash(at(1), crashing, serverIn("a", 2), at(0.9))
			t.Crash(at(1.2), of("/other"), serverIn("a", 1), at(1.1))
		}, Refused, at(2)},
		{"two servers one after the other", func(t *Table) {
			t.Crash(at(0), crashing, serverIn("a", 1), at(0-0.01))
			t.Crash(at(0.1), crashing, serverIn("a", 2), at(0.1-0.01))
		}, Refused, at(1)},
		{"two servers with copies in flight at once", func(t *Table) {
			t.Crash(at(0), crashing, serverIn("a", 1), at(-0.02))
			t.Crash(at(0.1), crashing, serverIn("a", 2), at(-0.01))
		}, Probation, at(1)},
		{"more servers of the service than the crash limit", func(t *Table) {
			for i := range CrashLimit + 1 {
				t.Crash(at(float64(i)/10), crashing, serverIn(fmt.Sprint(i), i), at(float64(i)/10-0.01))
			}
		}, Probation, at(1)},
		{"one server that never completes a request", repeatedCrashes(false), Probation, at(60)},
		{"two servers that break all connections after a crash", func(t *Table) {
			for i := range CrashLimit {
				t.Crash(at(float64(i)), crashing, serverIn("a", i), at(float64(i)-0.01))
				for range lateBreakThreshold {
					t.Crash(at(float64(i)+0.8), harmless, serverIn("a", i), at(float64(i)+0.7))
				}
			}
		}, Probation, at(3)},
		{"one server that completes requests between crashes", repeatedCrashes(true), Refused, at(60)},
		{"cleared between two crashes", func(t *Table) {
			t.Crash(at(0), crashing, serverIn("a", 1), at(0-0.01))
			t.Clear(at(1), crashing)
			t.Crash(at(5), crashing, serverIn("a", 2), at(5-0.01))
		}, Probation, at(6)},
		{"failure of a domain", func(t *Table) {
			t.Crash(at(0), crashing, serverIn("a", 1), at(0-0.01))
			t.Crash(at(0.1), crashing, serverIn("a", 2), at(0.1-0.01))
			t.Crash(at(0.2), harmless, serverIn("a", 3), at(0.2-0.01))
		}, Probation, at(1)},
		{"crash of another service in another domain", func(t *Table) {
			t.Crash(at(0), crashing, serverIn("a", 1), at(0-0.01))
			t.Crash(at(0.1), crashing, serverIn("a", 2), at(0.1-0.01))
			t.Crash(at(0.2), harmless, Server{Service: "other", Name: "other-1", Domain: "b"}, at(0.2-0.01))
		}, Refused, at(1)},
		{"expired", func(t *Table) {
			t.Crash(at(0), crashing, serverIn("a", 1), at(0-0.01))
			t.Crash(at(1), crashing, serverIn("a", 2), at(1-0.01))
		}, Clear, at(Keep.Seconds() + 2)},
	} {
		t.Run(c.name, func(t *testing.T) {
			var table Table
			c.events(&table)
			if got := table.State(c.now, crashing, false); got != c.want {
				t.Fatalf("state %s, want %s", got, c.want)
			}
		})
	}
}

// repeatedCrashes records five crashes of one server, each with a new attempt of
// the request in flight.
func repeatedCrashes(completes bool) func(*Table) {
	return func(t *Table) {
		for i := range 5 {
			when := time.Unix(1e9, 0).Add(time.Duration(i) * 10 * time.Second)
			t.Crash(when, crashing, serverIn("a", 1), when.Add(-time.Millisecond))
			if completes {
				t.Ran(when.Add(time.Second), serverIn("a", 1))
			}
		}
	}
}

// TestRefusalBoundsServersLost runs copies of a crashing request one at a time,
// with a harmless one in flight next to each, and counts the crashed servers.
func TestRefusalBoundsServersLost(t *testing.T) {
	for name, c := range map[string]struct {
		refuse  bool
		bounded bool
	}{"refused": {true, true}, "never refused": {false, false}} {
		t.Run(name, func(t *testing.T) {
			now, lost := time.Unix(1e9, 0), 0
			var table Table
			for i := range 50 {
				now = now.Add(10 * time.Millisecond)
				if !c.refuse || table.State(now, crashing, false) != Refused {
					lost++
					table.Crash(now, crashing, serverIn("a", i), now.Add(-time.Millisecond))
					table.Crash(now, harmless, serverIn("a", i), now.Add(-time.Millisecond))
				}
				if table.State(now, harmless, false) == Refused {
					t.Fatal("the harmless request is refused")
				}
				table.Clear(now, harmless)
			}
			if (lost <= CrashLimit) != c.bounded {
				t.Fatalf("%d servers lost", lost)
			}
		})
	}
}

// Guards against a popular request that is refused although it only was in flight, twice, at the
// crashes that another one caused: its first run after a crash had not ended at the next.
func TestProvenRequestOutlivesTheCrashesOfAnother(t *testing.T) {
	now := time.Unix(1e9, 0)
	var table Table
	for i := range CrashLimit {
		at := now.Add(time.Duration(i) * 100 * time.Millisecond)
		for _, f := range []Fingerprint{crashing, harmless} {
			table.Crash(at, f, serverIn("a", i), at.Add(-time.Millisecond))
		}
	}
	now = now.Add(time.Second)
	if s := table.State(now, crashing, false); s != Refused {
		t.Errorf("the crashing request is %s", s)
	}
	if s := table.State(now, harmless, true); s != Probation {
		t.Errorf("the proven request is %s", s)
	}
	// A proven request that begins to crash servers is held after the second crash.
	now = now.Add(commonCauseWindow)
	table.Crash(now, harmless, serverIn("a", CrashLimit), now.Add(-time.Millisecond))
	if s := table.State(now, harmless, true); s != Refused {
		t.Errorf("the proven request is %s after %d crashes", s, ProvenCrashLimit)
	}
}

// TestDomainFailureRefusesNoRequest checks that no request is refused when the
// servers of a failure domain crash within commonCauseWindow, whatever was in
// flight. It needs more than CrashLimit servers: two that crash one after the
// other with only the same request in flight look like a crashing request.
func TestDomainFailureRefusesNoRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		servers := rapid.IntRange(CrashLimit+1, 20).Draw(t, "servers")
		var table Table
		for s := range servers {
			for _, r := range rapid.SliceOfNDistinct(rapid.IntRange(0, 30), 1, 9, rapid.ID).Draw(t, "in flight") {
				when := now.Add(time.Duration(rapid.IntRange(0, int(commonCauseWindow/2/time.Millisecond)).Draw(t, "ms")) * time.Millisecond)
				sentAt := when.Add(-time.Duration(rapid.IntRange(0, 1000).Draw(t, "ran")) * time.Millisecond)
				table.Crash(when, request(r), serverIn("a", s), sentAt)
			}
		}
		for r := range 31 {
			if table.State(now.Add(commonCauseWindow), request(r), false) == Refused {
				t.Fatalf("request %d is refused", r)
			}
		}
	})
}

func request(n int) Fingerprint { return of(fmt.Sprint(n)) }

func TestTableSizeIsBounded(t *testing.T) {
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
	if n := len(table.List(now, func(Fingerprint) bool { return false })); n > 2*maxCrashes+maxInFlight {
		t.Fatalf("the table lists %d entries", n)
	}
}

// of returns the fingerprint of a request for a path.
func of(path string) Fingerprint {
	id := Identity{Authority: "orders", Method: "GET", Path: path}
	return id.Fingerprint()
}
