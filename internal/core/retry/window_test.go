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
		windows, naive := make([]Window, n), make([]Window, n)
		for i := range windows {
			windows[i] = Window{Span: span, Ratio: ratio, Extra: extra / float64(n)}
			naive[i] = Window{Span: span, Ratio: ratio, Extra: extra}
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
