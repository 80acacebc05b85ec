package gateway

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"cassiatray/internal/core/document"
)

// TestTimingLeavesRoom checks for all bounds that what the slowest way to a
// change takes stays within them: a gateway notices that its sources are stale,
// and lists the store.
func TestTimingLeavesRoom(t *testing.T) {
	const listing = 50 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		drain := time.Duration(rapid.IntRange(1, 20000).Draw(t, "drain")) * time.Millisecond
		apply := time.Duration(rapid.IntRange(0, 20000).Draw(t, "apply")) * time.Millisecond
		m := newTiming(&Bounds{Drain: document.Duration(drain), ConfigApply: document.Duration(apply)})
		bound := max(drain, shortestBound)
		if apply > 0 {
			bound = min(bound, max(apply, shortestBound))
		}
		if m.staleAfter+listing > bound || m.watchWait >= m.staleSource || m.staleSource >= m.staleAfter || m.pullWait >= m.staleSource {
			t.Fatalf("bound %v: %+v", bound, *m)
		}
	})
	if m := newTiming(&Bounds{Drain: document.Duration(time.Minute)}); m.staleAfter != newTiming(&Bounds{Drain: document.Duration(longestBound)}).staleAfter {
		t.Errorf("a long bound makes news late: %+v", *m)
	}
}
