package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"cassiatray/internal/port"
)

// TestLimitOfLaterResponseCounts checks that a server's limit is the one of its latest
// response, that it ends with a response without one, and that responses which do not
// tell, or come from another process at the address, change nothing.
func TestLimitOfLaterResponseCounts(t *testing.T) {
	rate := func(v float64) *float64 { return &v }
	synctest.Test(t, func(t *testing.T) {
		var meta port.ServerMeta
		f := newFixture(func(context.Context, int, string) (*port.ForwardAnswer, error) {
			a := okAnswer()
			a.Meta = meta
			return a, nil
		})
		limited := func() (rates []float64) {
			for _, s := range f.keeper.Servers() {
				if l := s.limit(); l.Named {
					rates = append(rates, l.Rate)
				}
			}
			return rates
		}
		for i, step := range []struct {
			meta port.ServerMeta
			want float64
		}{
			{port.ServerMeta{Limit: rate(8)}, 8},
			{port.ServerMeta{Limit: rate(3)}, 3},
			{port.ServerMeta{LimitError: &port.HeaderError{}}, 3},
			{port.ServerMeta{NotRun: true, OtherInstance: true}, 3},
			{port.ServerMeta{NotRun: true, Load: &port.ServerLoad{Running: 1, Slots: 4}}, 3},
			{port.ServerMeta{Limit: rate(12)}, 12},
		} {
			meta = step.meta
			for _, s := range f.keeper.Servers() {
				f.node.recordLimit(s, meta, time.Now())
			}
			if got := limited(); len(got) != len(testDomains) || got[0] != step.want {
				t.Errorf("step %d: limits %v, want %v", i, got, step.want)
			}
			time.Sleep(100 * time.Millisecond)
		}
		for _, s := range f.keeper.Servers() {
			f.node.recordLimit(s, port.ServerMeta{}, time.Now())
		}
		if got := limited(); len(got) > 0 {
			t.Errorf("limits %v after responses without one", got)
		}
	})
}
