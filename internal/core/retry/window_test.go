package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestWindowsAddUp checks that the repeats of all gateways together stay within
// the bound in every window, with gateways that see unequal traffic, and that
// taking the whole extra at each gateway does not.
func TestWindowsAddUp(t *testing.T) {
	const span, ratio, extra = 10 * time.Second, 0.2, 139.0
	overrun := false
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "gateways")
		windows, naive := make([]Window, n), make([]Window, n)
		for i := range windows {
			windows[i] = Window{Span: span, Ratio: ratio, Extra: extra / float64(n)}
			naive[i] = Window{Span: span, Ratio: ratio, Extra: extra}
		}
		var requests, repeats, loose []time.Time
		now := time.Unix(0, 0)
		for range 1500 {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, n-1).Draw(t, "gateway")
			windows[i].Request(now)
			naive[i].Request(now)
			requests = append(requests, now)
			if windows[i].Spend(now) {
				repeats = append(repeats, now)
			}
			if naive[i].Spend(now) {
				loose = append(loose, now)
			}
		}
		if at, ok := broken(requests, repeats, span, ratio, extra); !ok {
			t.Fatalf("too many repeats in the window before %v", at.Sub(time.Unix(0, 0)))
		}
		_, ok := broken(requests, loose, span, ratio, extra)
		overrun = overrun || !ok
	})
	if !overrun {
		t.Fatal("the whole extra at each gateway kept the bound: the property finds nothing")
	}
}

// broken returns the end of a window with too many repeats.
func broken(requests, repeats []time.Time, span time.Duration, ratio, extra float64) (time.Time, bool) {
	for _, end := range repeats {
		in := func(list []time.Time) float64 {
			n := 0.0
			for _, at := range list {
				if !at.After(end) && end.Sub(at) < span {
					n++
				}
			}
			return n
		}
		if in(repeats) > ratio*in(requests)+extra {
			return end, false
		}
	}
	return time.Time{}, true
}
