package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cassiatray/internal/adapter/peer"
	"cassiatray/internal/core/mirror"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

// slowPages is a port.PeerCaller whose replies take a time to come in.
type slowPages struct {
	port.PeerCaller
	page  func() *peerv1.MirrorPage
	takes time.Duration
	// bounds and deadline are those of the last call.
	bounds   port.Progress
	deadline time.Duration
}

func (p *slowPages) Call(ctx context.Context, _ string, _ *peerv1.Request) (*peerv1.Reply, error) {
	p.bounds, _ = port.ProgressOf(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		p.deadline = time.Until(deadline)
	}
	time.Sleep(p.takes)
	return &peerv1.Reply{Body: &peerv1.Reply_MirrorPage{MirrorPage: p.page()}}, nil
}

// Guards against a large page that is given up while it comes in, or whose source counts as lost
// once it is there, so that the next one sends it again.
func TestLargePageIsAwaitedWhileItComes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const wait, takes = 800 * time.Millisecond, 6 * time.Second
		age := 100 * time.Millisecond
		pool := &slowPages{takes: takes, page: func() *peerv1.MirrorPage {
			return &peerv1.MirrorPage{HeldMicros: 1, AgeMicros: age.Microseconds()}
		}}
		cfg := testSettings("x", "a1", 1)
		s := NewSyncer(cfg, peer.Identity{Host: "x", Incarnation: 1}, NewKeeper(cfg, plainSchema{}, discardLog()), nil, plainSchema{}, pool, discardLog(), NewMetrics(prometheus.NewRegistry()))
		times := s.times.Load()
		got, err := s.pull(t.Context(), mirror.Member{Host: "y", Address: "y"}, pullOptions{wait: wait}, nil)
		if err != nil {
			t.Fatal(err)
		}
		if want := (port.Progress{First: wait + times.pullSlack, Stall: times.pullSlack}); pool.bounds != want || pool.deadline != wait+pullMost {
			t.Errorf("the call is bounded by %+v and %v", pool.bounds, pool.deadline)
		}
		if got.stale(times) {
			t.Error("the source of a large page counts as lost")
		}
		if want := (age + takes).Microseconds() - 1; got.page.AgeMicros != want {
			t.Errorf("age of %d µs after %v on the way, want %d", got.page.AgeMicros, takes, want)
		}
		age = times.staleSource + time.Millisecond
		if got, err := s.pull(t.Context(), mirror.Member{Host: "y", Address: "y"}, pullOptions{}, nil); err != nil || !got.stale(times) {
			t.Errorf("a source without the store does not count as lost, error %v", err)
		}
	})
}

// Guards against a bound under which the largest page cannot come over the links of the sites.
func TestLargestPageFitsItsBound(t *testing.T) {
	const link = 10e6 / 8 // bytes a second
	if takes := time.Duration(peer.MaxFrame / link * float64(time.Second)); pullMost < 2*takes {
		t.Errorf("two pages of %d bytes take %v, the bound is %v", peer.MaxFrame, 2*takes, pullMost)
	}
}

// Guards against a configuration that seems to have come sooner than it did, by the time of its page on the
// way, and against a server's record that counts as older than it is, so that the server seems warm too soon.
func TestConfigurationAgesOnItsWay(t *testing.T) {
	const age, takes = 100 * time.Millisecond, 6 * time.Second
	record := func(key string) *peerv1.StoreRecord {
		return &peerv1.StoreRecord{Key: key, AgeMicros: age.Microseconds()}
	}
	page := &peerv1.MirrorPage{Records: []*peerv1.StoreRecord{record("config"), record("server/i-a1")}, Config: record("config")}
	keeperWith().ageConfig(page, takes)
	now := time.Now()
	for r := range recordsOfPage(page) {
		want := age
		if r.Key == "config" {
			want += takes
		}
		if got := now.Sub(recordOf(r, now).Read); got != want {
			t.Errorf("%s: read %v ago, want %v", r.Key, got, want)
		}
	}
}
