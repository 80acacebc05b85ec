package overload

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func TestWait(t *testing.T) {
	for _, x := range []struct {
		requests float64
		want     time.Duration
	}{{0, 0}, {8, 0}, {9, 30 * ms}, {17, 270 * ms}} {
		if got := (Load{Requests: x.requests, Slots: 9, Service: 270 * ms}).Wait(); got != x.want {
			t.Errorf("%.0f requests: wait %v, want %v", x.requests, got, x.want)
		}
	}
}

// TestUrgentFindRoom checks that whoever a less urgent request may wait behind,
// a more urgent one may too, and that no wait outlasts the caller.
func TestUrgentFindRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		target := time.Duration(rapid.IntRange(0, 3000).Draw(t, "target")) * ms
		left := time.Duration(rapid.IntRange(0, 12000).Draw(t, "left")) * ms
		service := time.Duration(rapid.IntRange(1, 4000).Draw(t, "service")) * ms
		last := MaxWait(target, left, service, 0)
		if last > max(0, left-service) {
			t.Fatalf("may wait %v of %v with service %v", last, left, service)
		}
		for level := 1; level < 4; level++ {
			got := MaxWait(target, left, service, level)
			if got > last {
				t.Fatalf("level %d may wait %v, the one above %v", level, got, last)
			}
			last = got
		}
	})
}

func TestTracker(t *testing.T) {
	var tr Tracker
	if got := tr.Mean(ms); got != ms {
		t.Errorf("nothing known: %v", got)
	}
	for range 200 {
		tr.Add(70 * ms)
	}
	if got := tr.Mean(ms); got < 69*ms || got > 71*ms {
		t.Errorf("mean %v of samples of 70ms", got)
	}
}
