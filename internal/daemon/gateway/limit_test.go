package gateway

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/mirror"
	"cassiatray/internal/core/ratelimit"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
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

// TestRequestsAtLimitAreRejectedAtOnce checks that while every server names a limit, the
// requests beyond the limits are rejected at once and may return when there are permits
// again, instead of waiting for permits until their deadlines.
func TestRequestsAtLimitAreRejectedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := 2.0
		f := newFixture(func(context.Context, int, string) (*port.ForwardAnswer, error) {
			time.Sleep(20 * time.Millisecond)
			a := okAnswer()
			a.Meta.Limit = &limit
			return a, nil
		})
		f.node.syncer.state.Store(int32(peerv1.HostState_HOST_STATE_SERVING))
		rejected, begun := 0, time.Now()
		for i := range 1000 {
			f.keeper.Apply(nil, 0, "store", time.Now())
			f.keeper.Hear(f.node.syncer.self(), time.Now(), time.Now())
			start := time.Now()
			w := f.do("GET", "/get/", "Object", fmt.Sprint(i))
			if w.Code == http.StatusServiceUnavailable {
				rejected++
				if after, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64); err != nil || after <= 0 {
					t.Fatalf("rejected with Retry-After %q", w.Header().Get("Retry-After"))
				}
				if took := time.Since(start); took > 10*time.Millisecond {
					t.Fatalf("rejected after %v", took)
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		// One request to each server is sent before its limit is known.
		servers := float64(len(testDomains))
		allowed := servers * (limit*time.Since(begun).Seconds() + 1)
		if sent := float64(f.servers.count()); sent > allowed || sent < 0.7*allowed || rejected == 0 {
			t.Errorf("%v requests sent and %d rejected; the limits allow %.1f", sent, rejected, allowed)
		}
	})
}

// TestLimitEndsWithServerProcess checks that the limit of a server is not that of the
// process that replaces it, whether under its ID or under another one.
func TestLimitEndsWithServerProcess(t *testing.T) {
	limit := 2.0
	f := newFixture(nil)
	now := time.Now()
	old := f.keeper.server("i-a1", 0)
	f.node.recordLimit(old, port.ServerMeta{Limit: &limit}, now)
	if !old.limit().Named {
		t.Fatal("the limit was not recorded")
	}
	f.keeper.Apply([]mirror.Record{
		f.serverRecord(fleet.Record{ID: "i-a1", Domain: "a1", Born: 7}, 20), f.serverRecord(fleet.Record{ID: "i-new", Domain: "a1", Born: 8}, 21),
	}, 21, "store", now)
	f.keeper.Apply([]mirror.Record{f.serverRecord(fleet.Record{ID: "i-a1", Domain: "a1", Born: 9}, 22)}, 22, "store", now)
	for _, id := range []string{"i-a1", "i-new"} {
		if s := f.keeper.server(id, 0); s.limit().Named || s.capacity() != 4 {
			t.Errorf("%s has limit %+v and capacity %v", id, s.limit(), s.capacity())
		}
	}
	if f.keeper.server("i-a1", 7) != nil || f.keeper.server("i-a1", 9) == nil {
		t.Error("a permit of the old process would be issued for the new one")
	}
}

// TestIssuerRefusesWhatItCannotKnow checks that a gateway that is neither issuer nor deputy
// of a server, or does not know the server, refuses to issue permits with a typed error,
// and that a limit that cannot be one is not taken from a peer.
func TestIssuerRefusesWhatItCannotKnow(t *testing.T) {
	f := newFixture(nil)
	now := time.Now()
	for i, host := range []string{"x", "y", "z"} {
		f.keeper.Hear(&peerv1.GatewayMember{
			Host: host, Domain: "a1", Region: "a", Incarnation: uint64(i + 1), State: peerv1.HostState_HOST_STATE_SERVING,
		}, now, now)
	}
	var unknown *UnknownIssuerError
	for _, ask := range []*peerv1.PermitAsk{{Server: "i-a1"}, {Server: "i-none"}, {Server: "i-a1", Born: 5, TellOnly: true}} {
		f.keeper.server("i-a1", 0).record.Store(&fleet.Record{ID: "i-a1", Service: "s", Domain: "a1", Slots: 4, Born: 4})
		if _, err := f.node.ServePermit(ask, "x"); !errors.As(err, &unknown) {
			t.Errorf("%v: error %v", ask, err)
		}
	}
	for _, l := range []*peerv1.ServerLimit{nil, {Named: true, Rate: -1}, {Named: true, Rate: math.NaN()}, {Named: true, Rate: math.Inf(1)}, {Named: true, Rate: 1, AgeMicros: -1}} {
		if got := limitFromWire(l, now); got != (ratelimit.Limit{}) {
			t.Errorf("%v: limit %+v", l, got)
		}
	}
}
