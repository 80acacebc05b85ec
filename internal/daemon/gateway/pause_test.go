package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/mirror"
	"cassiatray/internal/port"
)

// TestPausedProcessAsksBeforeItServes plays a process that does not run for seconds,
// while a server leaves: requests that it gets when it runs again wait until its view
// is confirmed, and do not go there.
func TestPausedProcessAsksBeforeItServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(func(context.Context, int, string) (*port.ForwardAnswer, error) { return okAnswer(), nil })
		b.keeper.Alive(time.Now())
		b.keeper.Settled(time.Now())
		b.do("GET", "/get/1")
		home := b.servers.sent[0].server
		// No tick comes: the process is paused.
		time.Sleep(6 * time.Second)
		go func() {
			time.Sleep(100 * time.Millisecond)
			domain := home[len("i-"):]
			record := b.serverRecord(fleet.Record{ID: home, Domain: domain, State: fleet.Draining}, 20)
			b.keeper.Apply([]mirror.Record{record}, 20, "store", time.Now())
		}()
		start := time.Now()
		if w := b.do("GET", "/get/1"); w.Code != 200 || time.Since(start) < 100*time.Millisecond {
			t.Errorf("%d after %v", w.Code, time.Since(start))
		}
		if s := b.servers.sent[1].server; s == home {
			t.Errorf("sent to %s, which left during the pause", s)
		}
		// Without news it serves by what it has.
		time.Sleep(6 * time.Second)
		start = time.Now()
		if w := b.do("GET", "/get/1"); w.Code != 200 || time.Since(start) > resumeHold+50*time.Millisecond {
			t.Errorf("without news: %d after %v", w.Code, time.Since(start))
		}
		// While it runs nothing waits.
		b.keeper.Alive(time.Now())
		time.Sleep(time.Second)
		b.keeper.Alive(time.Now())
		start = time.Now()
		if b.do("GET", "/get/1"); time.Since(start) > 0 {
			t.Errorf("a running process took %v", time.Since(start))
		}
	})
}

// TestSuspendedHostCountsItsSleep checks that a view ages while the clock by which
// it is measured stands still.
func TestSuspendedHostCountsItsSleep(t *testing.T) {
	var p pauses
	now, boot := time.Unix(1000, 0), time.Hour
	p.tick(now, boot)
	step := func(ran, passed time.Duration) (time.Duration, bool) {
		now, boot = now.Add(ran), boot+passed
		return p.tick(now, boot)
	}
	if d, paused := step(200*time.Millisecond, 200*time.Millisecond); d != 0 || paused {
		t.Errorf("running: suspended %v, paused %t", d, paused)
	}
	if d, paused := step(200*time.Millisecond, 8200*time.Millisecond); d != 8*time.Second || !paused {
		t.Errorf("suspended: %v, paused %t", d, paused)
	}
	if !p.resuming(now, now.Add(-time.Second)) || p.resuming(now, now.Add(time.Millisecond)) {
		t.Error("a view of before the pause counts, or one of after it does not")
	}
	// A stopped process: both clocks went on, and a request came before the tick.
	if now = now.Add(6 * time.Second); !p.resuming(now, now.Add(-6*time.Second)) {
		t.Error("a request before the first tick does not notice the stop")
	}
	boot += 6 * time.Second
	if d, paused := p.tick(now, boot); d != 0 || !paused {
		t.Errorf("stopped: suspended %v, paused %t", d, paused)
	}
	m := mirror.New(nil)
	m.Confirm(now)
	m.Age(8 * time.Second)
	if age := now.Sub(m.Synced()); age != 8*time.Second {
		t.Errorf("the view is %v old", age)
	}
}

// TestRunningWorkOutlivesItsServersRecord plays a server that is silent towards the
// store for a while: its record is removed while it runs a request. The answer is
// delivered, and the request is sent nowhere else.
func TestRunningWorkOutlivesItsServersRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b *fixture
		b = newFixture(func(_ context.Context, _ int, address string) (*port.ForwardAnswer, error) {
			time.Sleep(200 * time.Millisecond)
			b.keeper.Apply([]mirror.Record{{Key: "server/" + address, Revision: 30, Deleted: true, Read: time.Now()}}, 30, "store", time.Now())
			time.Sleep(500 * time.Millisecond)
			return okAnswer(), nil
		})
		for _, path := range []string{"/get/1", "/post/1"} {
			before := b.servers.count()
			if w := b.do("POST", path); w.Code != 200 || b.servers.count() != before+1 {
				t.Errorf("%s: %d after %d sendings", path, w.Code, b.servers.count()-before)
			}
		}
	})
}
