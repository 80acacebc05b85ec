package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestBudgetBoundsAmplification checks that retries stay within their share
// when every request fails, and that retries without a budget do not.
func TestBudgetBoundsAmplification(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		requests := rapid.IntRange(1, 2000).Draw(t, "requests")
		sent, naive := 0, 0
		var b Budget
		for range requests {
			b.Earn(share)
			sent++
			for attempt := 1; attempt < MaxAttempts && b.Spend(); attempt++ {
				sent++
			}
			naive += MaxAttempts
		}
		if limit := float64(requests) * (1 + share); float64(sent) > limit+1e-6 {
			t.Fatalf("%d sent for %d requests, limit %.1f", sent, requests, limit)
		}
		if share < 1 && float64(naive) <= float64(requests)*(1+share) {
			t.Fatal("retries without a budget stayed within the share")
		}
	})
}

// TestBurst checks that requests without retries accumulate no more than Burst.
func TestBurst(t *testing.T) {
	var b Budget
	for range 1000 {
		b.Earn(1)
	}
	spent := 0
	for b.Spend() {
		spent++
	}
	if spent != Burst {
		t.Fatalf("%d retries accumulated, want Burst", spent)
	}
}

func TestBackoff(t *testing.T) {
	for _, c := range []struct {
		attempt uint32
		random  float64
		want    time.Duration
	}{
		{1, 0, 2500 * time.Microsecond},
		{1, 0.5, 3750 * time.Microsecond},
		{3, 0, 10 * time.Millisecond},
		{40, 0, 125 * time.Millisecond},
	} {
		if got := Backoff(c.attempt, c.random); got != c.want {
			t.Errorf("Backoff(%d, %v) = %s, want %s", c.attempt, c.random, got, c.want)
		}
	}
}
