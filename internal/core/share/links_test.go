package share

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// exchange sends bytes at unknown times between begin and end.
type exchange struct {
	begin, end time.Duration
	bytes      int64
}

// maxBytesInWindow returns the most bytes that may have crossed the link in any
// window that ends at the start of an exchange.
func maxBytesInWindow(list []exchange) int64 {
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

// linkVariant disables mechanisms that a naive design lacks.
type linkVariant struct {
	wholeCap       bool // every host uses the whole cap
	lateAccounting bool // bytes count once they have been sent, without a reservation
	noStartupWait  bool // a new process sends immediately
}

const linkCap = 40_000

type linkEvent struct {
	host        int
	after       time.Duration
	maxBytes    int64
	sentPercent int64 // of maxBytes
	runFor      time.Duration
	restart     bool
}

var linkHistories = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) linkEvent {
	return linkEvent{
		host:        rapid.IntRange(0, 3).Draw(t, "host"),
		after:       time.Duration(rapid.IntRange(0, 30).Draw(t, "after")) * time.Millisecond,
		maxBytes:    rapid.Int64Range(1, 5_000).Draw(t, "most"),
		sentPercent: rapid.Int64Range(50, 100).Draw(t, "part"),
		runFor:      time.Duration(rapid.IntRange(0, 1000).Draw(t, "keep")) * time.Millisecond,
		restart:     rapid.IntRange(0, 19).Draw(t, "restart") == 0,
	}
}), 20, 120)

type linkHost struct {
	links   *Links
	pending []reservation
}

type reservation struct {
	id               int
	end              time.Duration
	reserved, actual int64
}

// simulateLink replays a history and returns the exchanges that crossed the link.
func simulateLink(history []linkEvent, variant linkVariant) []exchange {
	start := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	const hosts = 4
	limits := &Limits{Routes: map[Route]int64{{To: "gulf"}: linkCap / hosts}}
	if variant.wholeCap {
		limits.Routes[Route{To: "gulf"}] = linkCap
	}
	all := make([]*linkHost, hosts)
	startHost := func(now time.Duration) *linkHost {
		begin := start.Add(now)
		if variant.noStartupWait {
			begin = begin.Add(-time.Hour)
		}
		return &linkHost{links: NewLinks(begin)}
	}
	for i := range all {
		all[i] = startHost(0)
	}
	var out []exchange
	now := 2 * LinkWindow
	for _, a := range history {
		now += a.after
		for _, h := range all {
			for i := 0; i < len(h.pending); i++ {
				if l := h.pending[i]; l.end <= now {
					h.links.Settle(start.Add(l.end), "rodsheet", "gulf", l.reserved, l.actual)
					h.pending = append(h.pending[:i], h.pending[i+1:]...)
					i--
				}
			}
		}
		if a.restart {
			for _, l := range all[a.host].pending {
				out[l.id].end = now // the replaced process sends no more
			}
			all[a.host] = startHost(now)
		}
		h, most := all[a.host], a.maxBytes
		if variant.lateAccounting {
			most = 0
		}
		if h.links.Reserve(start.Add(now), limits, "rodsheet", "gulf", most) != nil {
			continue
		}
		sent := a.maxBytes * a.sentPercent / 100
		h.pending = append(h.pending, reservation{id: len(out), end: now + a.runFor, reserved: most, actual: sent})
		out = append(out, exchange{begin: now, end: now + a.runFor, bytes: sent})
	}
	return out
}

func TestLinkCapHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := linkHistories.Draw(t, "history")
		if most := maxBytesInWindow(simulateLink(history, linkVariant{})); most > linkCap {
			t.Fatalf("%d bytes in a window exceed the cap of %d", most, linkCap)
		}
	})
}

func TestNaiveDesignsExceedLinkCap(t *testing.T) {
	for name, rules := range map[string]linkVariant{
		"every host uses the whole cap":                      {wholeCap: true},
		"bytes are counted after they were sent":             {lateAccounting: true},
		"a new process ignores bytes sent before it started": {noStartupWait: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range 2000 {
				if most := maxBytesInWindow(simulateLink(linkHistories.Example(seed), rules)); most > linkCap {
					t.Logf("history %d: %d bytes exceed the cap of %d", seed, most, linkCap)
					return
				}
			}
			t.Fatal("no history exceeded the cap")
		})
	}
}
