package share

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// exchange sends bytes at unknown instants between its two ends.
type exchange struct {
	begin, end time.Duration
	bytes      int64
}

// mostInWindow returns the most bytes that may have crossed in any window that
// ends with the begin of an exchange.
func mostInWindow(list []exchange) int64 {
	var most int64
	for _, last := range list {
		var sum int64
		for _, e := range list {
			if e.begin <= last.begin && e.end > last.begin-LinkWindow {
				sum += e.bytes
			}
		}
		most = max(most, sum)
	}
	return most
}

// linkRules switch off what a naive design leaves out.
type linkRules struct {
	undivided bool // every host takes the whole cap
	late      bool // bytes count when they have been sent, not before
	forgetful bool // a new process sends at once
}

const linkCap = 40_000

type linkAct struct {
	host    int
	after   time.Duration
	most    int64
	part    int64 // of most, in percent
	keep    time.Duration
	restart bool
}

var linkHistories = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) linkAct {
	return linkAct{
		host:    rapid.IntRange(0, 3).Draw(t, "host"),
		after:   time.Duration(rapid.IntRange(0, 30).Draw(t, "after")) * time.Millisecond,
		most:    rapid.Int64Range(1, 5_000).Draw(t, "most"),
		part:    rapid.Int64Range(50, 100).Draw(t, "part"),
		keep:    time.Duration(rapid.IntRange(0, 1000).Draw(t, "keep")) * time.Millisecond,
		restart: rapid.IntRange(0, 19).Draw(t, "restart") == 0,
	}
}), 20, 120)

type linkHost struct {
	links *Links
	open  []linkLease
}

type linkLease struct {
	id           int
	end          time.Duration
	most, actual int64
}

// sendAll plays a history and returns what crossed the link.
func sendAll(history []linkAct, rules linkRules) []exchange {
	start := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	const hosts = 4
	limits := &Limits{Routes: map[Route]int64{{To: "gulf"}: linkCap / hosts}}
	if rules.undivided {
		limits.Routes[Route{To: "gulf"}] = linkCap
	}
	all := make([]*linkHost, hosts)
	boot := func(now time.Duration) *linkHost {
		begin := start.Add(now)
		if rules.forgetful {
			begin = begin.Add(-time.Hour)
		}
		return &linkHost{links: NewLinks(begin)}
	}
	for i := range all {
		all[i] = boot(0)
	}
	var out []exchange
	now := 2 * LinkWindow
	for _, a := range history {
		now += a.after
		for _, h := range all {
			for i := 0; i < len(h.open); i++ {
				if l := h.open[i]; l.end <= now {
					h.links.Settle(start.Add(l.end), "rodsheet", "gulf", l.most, l.actual)
					h.open = append(h.open[:i], h.open[i+1:]...)
					i--
				}
			}
		}
		if a.restart {
			for _, l := range all[a.host].open {
				out[l.id].end = now // a dead process sends no more
			}
			all[a.host] = boot(now)
		}
		h, most := all[a.host], a.most
		if rules.late {
			most = 0
		}
		if h.links.Reserve(start.Add(now), limits, "rodsheet", "gulf", most) != nil {
			continue
		}
		sent := a.most * a.part / 100
		h.open = append(h.open, linkLease{id: len(out), end: now + a.keep, most: most, actual: sent})
		out = append(out, exchange{begin: now, end: now + a.keep, bytes: sent})
	}
	return out
}

func TestNoHistoryPassesALinksCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := linkHistories.Draw(t, "history")
		if most := mostInWindow(sendAll(history, linkRules{})); most > linkCap {
			t.Fatalf("%d bytes in a window over a cap of %d", most, linkCap)
		}
	})
}

func TestNaiveDesignsPassALinksCap(t *testing.T) {
	for name, rules := range map[string]linkRules{
		"every host takes the whole cap":     {undivided: true},
		"bytes count when they have arrived": {late: true},
		"a new process forgets what it sent": {forgetful: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range 2000 {
				if most := mostInWindow(sendAll(linkHistories.Example(seed), rules)); most > linkCap {
					t.Logf("history %d: %d bytes over a cap of %d", seed, most, linkCap)
					return
				}
			}
			t.Fatal("no fault found")
		})
	}
}
