package membudget

import (
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// owner is ended by the budget; its bytes are freed later.
type owner struct {
	Holder
	t     *rapid.T
	ended bool
	phase Phase
}

func (o *owner) EndForOthers(p Phase) {
	if o.ended || p == Working || p != o.phase {
		o.t.Errorf("ended in phase %d while in %d, before: %v", p, o.phase, o.ended)
	}
	o.ended = true
}

// Guards against a budget that is exceeded, that ends those who wait for servers, or that counts
// bytes which nobody holds any more.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1 << 20
		b, now := New(limit), time.Unix(1000, 0)
		var all []*owner
		forced := int64(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			if len(all) == 0 || rapid.IntRange(0, 3).Draw(t, "new") == 0 {
				o := &owner{t: t}
				o.Init(b, now, o)
				all = append(all, o)
			}
			i := rapid.IntRange(0, len(all)-1).Draw(t, "holder")
			o := all[i]
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 6:
				// An answer of an ended holder, say.
				if o.ended {
					o.Force(1 << 10)
					forced += 1 << 10
				}
			case 0, 1, 2:
				before := o.Bytes()
				n := int64(rapid.IntRange(1, 256<<10).Draw(t, "bytes"))
				got := o.Grow(n, now)
				if got && o.ended {
					t.Error("an ended holder got more")
				}
				if want := map[bool]int64{false: before, true: before + n}[got]; o.Bytes() != want {
					t.Errorf("%d bytes held after growing by %d from %d: %v", o.Bytes(), n, before, got)
				}
			case 3:
				p := rapid.SampledFrom([]Phase{Receiving, Working, Passing}).Draw(t, "phase")
				if o.Enter(p, now) == o.ended {
					t.Errorf("entering phase %d of an ended (%v) holder", p, o.ended)
				}
				o.phase = p
			case 4:
				o.Moved(rapid.IntRange(1, 32<<10).Draw(t, "moved"), now)
				if n := o.Bytes(); n > 0 && rapid.Bool().Draw(t, "shrink") {
					o.Shrink(n / 2)
				}
			case 5:
				o.Release()
				all = append(all[:i], all[i+1:]...)
			}
			if o.released && (o.Grow(1, now) || o.Bytes() != 0) {
				t.Error("a released holder got bytes")
			}
			sum, ended := int64(0), int64(0)
			for _, o := range all {
				sum += o.Bytes()
				if o.ended {
					ended += o.leaving
					if o.leaving > o.Bytes() {
						t.Errorf("%d bytes of %d counted as leaving", o.leaving, o.Bytes())
					}
				}
			}
			if sum != b.Held() || ended != b.leaving.Load() {
				t.Fatalf("%d bytes counted for %d held, %d as leaving for %d", b.Held(), sum, b.leaving.Load(), ended)
			}
			if sum-ended > limit+forced || sum > limit+limit/8+forced {
				t.Fatalf("%d bytes held, %d of them leaving", sum, ended)
			}
		}
		for _, o := range all {
			o.Release()
		}
		if b.Held() != 0 || b.leaving.Load() != 0 || len(b.holders) != 0 {
			t.Errorf("%d bytes and %d holders after all were released", b.Held(), len(b.holders))
		}
	})
}

// Guards against ordinary requests that pay for large or slow ones.
func TestChoose(t *testing.T) {
	now, kb := time.Duration(0), int64(1<<10)
	for name, c := range map[string]struct {
		holders []Candidate
		asker   Candidate
		need    int64
		chosen  []int
	}{
		"the larger of two":                  {[]Candidate{{60 * kb, now}, {250 * kb, now}}, Candidate{4 * kb, now}, 1, []int{1}},
		"the slower of two":                  {[]Candidate{{60 * kb, 10 * time.Second}, {250 * kb, now}}, Candidate{4 * kb, now}, 1, []int{0}},
		"nobody smaller than who asks":       {[]Candidate{{60 * kb, now}}, Candidate{250 * kb, now}, 1, nil},
		"nobody if that does not suffice":    {[]Candidate{{60 * kb, time.Second}}, Candidate{4 * kb, now}, 100 * kb, nil},
		"as many as are needed":              {[]Candidate{{60 * kb, time.Second}, {60 * kb, 2 * time.Second}, {60 * kb, 3 * time.Second}}, Candidate{4 * kb, now}, 100 * kb, []int{2, 1}},
		"a stalled one for a large fast one": {[]Candidate{{60 * kb, 20 * time.Second}}, Candidate{256 * kb, now}, 1, []int{0}},
	} {
		chosen, freed := Choose(c.holders, c.asker, c.need, c.need)
		if len(chosen) != len(c.chosen) || freed < c.need && chosen != nil {
			t.Errorf("%s: %v, %d bytes", name, chosen, freed)
			continue
		}
		for i := range chosen {
			if chosen[i] != c.chosen[i] {
				t.Errorf("%s: %v", name, chosen)
			}
		}
	}
}

// Guards against callers that keep their memory by sending a byte now and then.
func TestTrickleIsNoProgress(t *testing.T) {
	b, now := New(1<<20), time.Unix(1000, 0)
	var trickles, steady owner
	for _, o := range []*owner{&trickles, &steady} {
		o.Init(b, now, o)
		if !o.Grow(400<<10, now) {
			t.Fatal("no room in an empty budget")
		}
	}
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		trickles.Moved(1, now)
		steady.Moved(20<<10, now)
	}
	var late owner
	late.Init(b, now, &late)
	if !late.Grow(300<<10, now) || !trickles.Ended() || steady.Ended() {
		t.Errorf("trickling holder ended: %v, steady one: %v", trickles.Ended(), steady.Ended())
	}
}

// Guards against holders of no budget that fail: processes without a memory limit.
func TestNoBudget(t *testing.T) {
	var none *Holder
	var unlimited owner
	unlimited.Init(New(0), time.Now(), &unlimited)
	for _, h := range []*Holder{none, new(Holder), &unlimited.Holder} {
		if !h.Grow(1<<40, time.Now()) || !h.Enter(Passing, time.Now()) || h.Ended() {
			t.Error("refused without a limit")
		}
		h.Moved(1, time.Now())
		h.Shrink(1)
		h.Release()
	}
}

// Guards against defaults that ordinary load meets: 400 requests with bodies of 60 kB and answers
// of that size in flight at once at the smallest gateway, and as many connections without one.
func TestDefaultsBearOrdinaryLoad(t *testing.T) {
	const memory, descriptors, inFlight, body = 136_000_000, 2870, 400, 60_000
	budget := int64(0.35 * memory)
	if n := Connections(descriptors, budget); n < 2*inFlight {
		t.Errorf("%d connections", n)
	}
	b, now := New(budget), time.Unix(1000, 0)
	b.Add(2 * inFlight * ConnectionBytes)
	for range inFlight {
		o := new(owner)
		o.Init(b, now, o)
		for _, n := range []int64{4 << 10, 16 << 10, body} {
			if !o.Grow(n, now) {
				t.Fatalf("refused with %d bytes held of %d", b.Held(), budget)
			}
			if n < body {
				o.Shrink(n)
			}
		}
	}
	if b.EndedIn(Receiving)+b.EndedIn(Passing)+b.Refused() > 0 {
		t.Error("ended or refused")
	}
	t.Logf("%d of %d bytes held", b.Held(), budget)
}

// Guards against bounds on connections that leave nothing for servers, peers and the store.
func TestConnections(t *testing.T) {
	for _, c := range []struct {
		descriptors, budget int64
		want                int
	}{{0, 0, 0}, {2870, 0, 1602}, {8192, 187 << 20, 4795}, {400, 0, 120}, {100, 0, 16}, {20000, 32 << 20, 1024}, {0, 32 << 20, 1024}, {2870, 1 << 10, 16}} {
		if got := Connections(c.descriptors, c.budget); got != c.want {
			t.Errorf("%d descriptors and %d bytes: %d connections, want %d", c.descriptors, c.budget, got, c.want)
		}
		if all := int64(Connections(c.descriptors, c.budget) + LookupConnections(c.descriptors) + 2*ServiceConnections(c.descriptors)); c.descriptors > 1000 && all > c.descriptors*3/4 {
			t.Errorf("%d descriptors: %d for callers", c.descriptors, all)
		}
	}
}

// Guards against bytes that stay counted when two attempts of a request, of which one goes on after
// its end, ask for memory at once.
func TestConcurrentUse(t *testing.T) {
	b := New(1 << 20)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 200 {
				o := &quiet{}
				o.Init(b, time.Now(), o)
				for range 3 {
					wg.Go(func() {
						for range 5 {
							if o.Grow(60<<10, time.Now()) {
								o.Shrink(10 << 10)
							}
							o.Enter(Passing, time.Now())
						}
					})
				}
				o.Force(1 << 10)
				o.Release()
			}
		})
	}
	wg.Wait()
	if b.Held() != 0 || b.leaving.Load() != 0 || len(b.holders) != 0 {
		t.Errorf("%d bytes held, %d leaving, %d holders", b.Held(), b.leaving.Load(), len(b.holders))
	}
}

// quiet is an owner that may be ended.
type quiet struct{ Holder }

func (*quiet) EndForOthers(Phase) {}
