package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestWindowsBoundTotalRetries checks that the retries of all gateways together
// stay within the bound in every window, also if the gateways get different
// numbers of requests, and that giving each gateway the whole extra does not.
func TestWindowsBoundTotalRetries(t *testing.T) {
	const span, ratio, extra = 10 * time.Second, 0.2, 139.0
	overrun := false
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "gateways")
		windows, naive := make([]*Window, n), make([]*Window, n)
		for i := range windows {
			windows[i], naive[i] = settledWindow(span, ratio, extra/float64(n)), settledWindow(span, ratio, extra)
		}
		var requests, retries, naiveRetries []time.Time
		now := time.Unix(0, 0)
		for range 1500 {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, n-1).Draw(t, "gateway")
			windows[i].Request(now)
			naive[i].Request(now)
			requests = append(requests, now)
			if windows[i].Spend(now) {
				retries = append(retries, now)
			}
			if naive[i].Spend(now) {
				naiveRetries = append(naiveRetries, now)
			}
		}
		if at, ok := findOverrun(requests, retries, span, ratio, extra); !ok {
			t.Fatalf("too many retries in the window ending at %v", at.Sub(time.Unix(0, 0)))
		}
		_, ok := findOverrun(requests, naiveRetries, span, ratio, extra)
		overrun = overrun || !ok
	})
	if !overrun {
		t.Fatal("giving each gateway the whole extra stayed within the bound: the property detects nothing")
	}
}

// settledWindow returns the window of a process that has run for long.
func settledWindow(span time.Duration, ratio, extra float64) *Window {
	w := NewWindow(time.Unix(0, 0).Add(-span))
	w.Span, w.Ratio = span, ratio
	w.SetExtra(time.Unix(0, 0), extra)
	return w
}

// TestRestartsDoNotRefillTheBudget guards against a bound that is exceeded because killed
// gateways forget what they sent, and the others take over their parts at once. Gateways retry
// whatever they may; a part of them is killed, comes back, and is killed again.
func TestRestartsDoNotRefillTheBudget(t *testing.T) {
	const span, ratio, extra = 10 * time.Second, 0.2, 124.0
	play := func(t *rapid.T, start func(now time.Time) *Window) (time.Time, bool) {
		n := rapid.IntRange(2, 22).Draw(t, "gateways")
		windows := make([]*Window, n)
		for i := range windows {
			windows[i] = settledWindow(span, ratio, extra/float64(n))
		}
		killed := rapid.IntRange(1, n-1).Draw(t, "killed")
		away := time.Duration(rapid.IntRange(100, 3000).Draw(t, "away ms")) * time.Millisecond
		deaths := []time.Duration{3 * time.Second, 3*time.Second + 2*away, 20 * time.Second}
		var requests, retries []time.Time
		down := false
		for at := time.Duration(0); at < 30*time.Second; at += 10 * time.Millisecond {
			now := time.Unix(0, 0).Add(at)
			before := down
			down = false
			for _, d := range deaths {
				down = down || at >= d && at < d+away
			}
			up := n
			if down {
				up = n - killed
			}
			for i := range windows {
				if i >= n-killed && before && !down {
					windows[i] = start(now)
					windows[i].Span, windows[i].Ratio = span, ratio
				}
				if i < up {
					windows[i].SetExtra(now, extra/float64(up))
				}
			}
			i := int(at/(10*time.Millisecond)) % up
			windows[i].Request(now)
			requests = append(requests, now)
			for windows[i].Spend(now) {
				retries = append(retries, now)
			}
		}
		return findOverrun(requests, retries, span, ratio, extra)
	}
	overrun := false
	rapid.Check(t, func(t *rapid.T) {
		if at, ok := play(t, NewWindow); !ok {
			t.Fatalf("too many retries in the window ending at %v", at.Sub(time.Unix(0, 0)))
		}
		_, ok := play(t, func(now time.Time) *Window { return NewWindow(now.Add(-span)) })
		overrun = overrun || !ok
	})
	if !overrun {
		t.Fatal("processes that begin with the whole budget stayed within the bound: the property detects nothing")
	}
}

// findOverrun returns the end of a window with too many retries and false, or
// true if there is none.
func findOverrun(requests, retries []time.Time, span time.Duration, ratio, extra float64) (time.Time, bool) {
	for _, end := range retries {
		inWindow := func(list []time.Time) float64 {
			n := 0.0
			for _, at := range list {
				if !at.After(end) && end.Sub(at) < span {
					n++
				}
			}
			return n
		}
		if inWindow(retries) > ratio*inWindow(requests)+extra {
			return end, false
		}
	}
	return time.Time{}, true
}

// Guards against a part of the bound that takes from the rest of it: what is spent within the part
// never uses more than it, and retries beside it still get the rest.
func TestPartOfTheWindowLeavesTheRest(t *testing.T) {
	const span, ratio, extra, part = 10 * time.Second, 0.2, 20.0, 0.5
	rapid.Check(t, func(t *rapid.T) {
		w := settledWindow(span, ratio, extra)
		now := time.Unix(0, 0)
		requests := rapid.IntRange(0, 500).Draw(t, "requests")
		for range requests {
			w.Request(now)
		}
		used, total := 0, 0
		for range 1000 {
			if w.SpendPart(now, part) {
				used++
			}
		}
		for w.Spend(now) {
			total++
		}
		bound := ratio*float64(requests) + extra
		if float64(used) > part*bound || float64(used+total) > bound || float64(total) < part*usedShare*bound-1 {
			t.Fatalf("%d within the part and %d beside it, of %.0f", used, total, bound)
		}
	})
}
