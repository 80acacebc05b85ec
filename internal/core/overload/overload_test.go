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

// TestMaxWaitFallsWithPriority checks that a request of lower priority never
// gets a longer wait than one of higher priority, and that no wait exceeds the
// caller's remaining time.
func TestMaxWaitFallsWithPriority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		target := time.Duration(rapid.IntRange(0, 3000).Draw(t, "target")) * ms
		remaining := time.Duration(rapid.IntRange(0, 12000).Draw(t, "remaining")) * ms
		service := time.Duration(rapid.IntRange(1, 4000).Draw(t, "service")) * ms
		previous := MaxWait(target, remaining, service, 0)
		if previous > max(0, remaining-service) {
			t.Fatalf("maximum wait %v exceeds remaining time %v less service time %v", previous, remaining, service)
		}
		for level := 1; level < 4; level++ {
			got := MaxWait(target, remaining, service, level)
			if got > previous {
				t.Fatalf("level %d may wait %v, the level above only %v", level, got, previous)
			}
			previous = got
		}
	})
}

func TestTracker(t *testing.T) {
	var tr Tracker
	if got := tr.Mean(ms); got != ms {
		t.Errorf("mean without samples is %v, want the fallback", got)
	}
	for range 200 {
		tr.Add(70 * ms)
	}
	if got := tr.Mean(ms); got < 69*ms || got > 71*ms {
		t.Errorf("mean %v of samples of 70ms", got)
	}
}
