package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// issuer returns the gateway that all others take for the issuer.
func (s *sim) issuer() *simGateway { return s.gateways[ChooseIssuers(s.names).first[0]] }

// heat makes a few customers of all sizes send 7.5 times their load from a time on.
func (s *sim) heat(at time.Duration) {
	for _, i := range []int{0, 5, 40, 80, 85} {
		c := s.customers[i]
		c.load = jump(c.load(0), 7.5, at)
	}
}

// cutOff cuts a region from the others for a time.
func (s *sim) cutOff(region int, from, to time.Duration) {
	s.cut = func(t time.Duration, a, b int) bool { return t > from && t < to && (a == region) != (b == region) }
}

// without returns the names of the gateways apart from one.
func (s *sim) without(g *simGateway) []string {
	return slices.DeleteFunc(slices.Clone(s.names), func(h string) bool { return h == g.name })
}

// faults are what the limits must hold under, each with the largest fraction of requests within
// the limits that may be refused. During a cut that is unbounded: each side grants its part.
var faults = []struct {
	name string
	span time.Duration
	lost float64
	// asks is the most asks a second and gateway.
	asks  float64
	apply func(*sim)
}{
	{"steady", 20 * time.Second, 0.005, 5, func(*sim) {}},
	{"0.15 of the load moves between regions", 20 * time.Second, 0.02, 5, func(s *sim) {
		for _, c := range s.customers {
			c.part = func(t time.Duration, g int) float64 {
				switch from := int(t/(4*time.Second)) % 3; g % 3 {
				case from:
					return 0.55 / 12
				case (from + 1) % 3:
					return 1.45 / 12
				}
				return 1.0 / 12
			}
		}
	}},
	{"customers turn hot", 20 * time.Second, 0.005, 10, func(s *sim) { s.heat(10 * time.Second) }},
	{"issuer killed", 20 * time.Second, 0.04, 10, func(s *sim) {
		s.heat(10 * time.Second)
		s.at(12*time.Second, func() { s.kill(s.issuer()) })
	}},
	{"gateways restart", 20 * time.Second, 0.08, 10, func(s *sim) {
		s.heat(10 * time.Second)
		for i := range 24 {
			g := s.gateways[i%12]
			s.at(time.Duration(8+i)*500*time.Millisecond, func() {
				s.kill(g)
				s.after(300*time.Millisecond, func() { s.start(g) })
			})
		}
	}},
	{"region cut off", 24 * time.Second, 1, 10, func(s *sim) {
		s.heat(10 * time.Second)
		s.cutOff(0, 8*time.Second, 18*time.Second)
	}},
	// The side without the issuer has the store, and no longer lists the others after 4 s.
	{"the issuer's region cut off and no longer listed", 40 * time.Second, 1, 10, func(s *sim) {
		s.heat(10 * time.Second)
		cut := s.issuer().region
		s.cutOff(cut, 8*time.Second, 38*time.Second)
		s.at(12*time.Second, func() {
			var rest []string
			for _, g := range s.gateways {
				if g.region != cut {
					rest = append(rest, g.name)
				}
			}
			for _, g := range s.gateways {
				if g.region != cut {
					g.hosts = rest
				} else {
					g.unconfirmedSince = 8 * time.Second
				}
			}
		})
	}},
	{"half of the gateways list another issuer", 20 * time.Second, 0.05, 10, func(s *sim) {
		s.heat(10 * time.Second)
		for _, g := range s.gateways[:6] {
			all := s.names
			s.at(8*time.Second, func() { g.hosts = s.without(s.issuer()) })
			s.at(16*time.Second, func() { g.hosts = all })
		}
	}},
	{"lists change back and forth", 24 * time.Second, 0.1, 10, func(s *sim) {
		s.heat(10 * time.Second)
		all, other := s.names, s.without(s.issuer())
		for _, g := range s.gateways {
			for k := range 10 {
				at := 8*time.Second + time.Duration(1400*k+s.random.IntN(1400))*time.Millisecond
				s.at(at, func() { g.hosts = [][]string{other, all}[k%2] })
			}
		}
	}},
}

// TestLimitsHoldAndLittleIsLost guards against windows with more requests than the bound allows
// while gateways fail and customers turn hot, against requests refused within the limits, and
// against asks that grow with the number of requests.
func TestLimitsHoldAndLittleIsLost(t *testing.T) {
	for i, f := range faults {
		for _, burst := range []float64{0.1, 1} {
			t.Run(fmt.Sprintf("%s, burst of %v s", f.name, burst), func(t *testing.T) {
				t.Parallel()
				s := newSim(uint64(i), 12)
				s.customersOf(burst)
				f.apply(s)
				s.run(f.span)
				for _, c := range s.customers {
					if over := c.over(); over > 0 {
						t.Errorf("%s with rate %.1f and burst %.1f: %.0f requests beyond the bound", c.name, c.limit.Rate, c.limit.Burst, over)
					}
				}
				asks, waited, arrived := 0, 0, 0
				for _, g := range s.gateways {
					asks += g.asks
				}
				for _, c := range s.customers {
					waited, arrived = waited+c.waited, arrived+len(c.arrived)
				}
				rate := float64(asks) / 12 / f.span.Seconds()
				lost := s.lost(3 * time.Second)
				worst := s.worst()
				t.Logf("lost %.4f, %.1f asks a second and gateway, %.4f waited, nearest to its bound %s: %.0f", lost, rate, float64(waited)/float64(arrived), worst.name, worst.over())
				if lost > f.lost || rate > f.asks {
					t.Errorf("%.4f refused within the limits, %.1f asks a second and gateway", lost, rate)
				}
			})
		}
	}
}

// TestSmallCustomersAreNotRefused guards against small customers that are refused below their
// limit, or wait for a reply more often than two requests come to a gateway at once.
func TestSmallCustomersAreNotRefused(t *testing.T) {
	s := newSim(7, 12)
	for i := range 60 {
		s.add(fmt.Sprint("c", i), Limit{Rate: 2, Burst: 2}, constant(1.25))
	}
	before := 0
	s.at(5*time.Second, func() {
		for _, c := range s.customers {
			before += c.by[Refused]
		}
	})
	s.run(60 * time.Second)
	arrived, refused, waited := 0, -before, 0
	for _, c := range s.customers {
		arrived, refused, waited = arrived+len(c.arrived), refused+c.by[Refused], waited+c.waited
	}
	lost := s.lost(5 * time.Second)
	t.Logf("%d requests, %d refused, %.4f within the limit, %d waited", arrived, refused, lost, waited)
	if lost > 0.005 || refused*100 > arrived || waited*33 > arrived {
		t.Errorf("of %d requests of small customers %d were refused, %.4f of all within the limit, and %d waited", arrived, refused, lost, waited)
	}
}

// TestEvenSplitLosesRequests shows that the check of lost requests finds the fault of the naive
// design, in which each gateway has an even part of the limit: a customer whose callers use a few
// gateways is refused within its limit.
func TestEvenSplitLosesRequests(t *testing.T) {
	play := func(split map[string]*Account) float64 {
		s := newSim(3, 12)
		s.split = split
		c := s.add("c", Limit{Rate: 200, Burst: 100}, constant(125))
		c.part = func(_ time.Duration, g int) float64 { return []float64{0.5, 0.25, 0.25, 0}[min(g, 3)] }
		s.run(15 * time.Second)
		return s.lost(3 * time.Second)
	}
	if lost := play(map[string]*Account{}); lost < 0.2 {
		t.Errorf("an even split loses only %.4f", lost)
	}
	if lost := play(nil); lost > 0.005 {
		t.Errorf("lost %.4f", lost)
	}
}

// TestTokensFollowDemand guards against a gateway that gets no part of a scarce limit because
// others ask first: parts are within half and twice those of the demand.
func TestTokensFollowDemand(t *testing.T) {
	s := newSim(5, 12)
	c := s.add("c", Limit{Rate: 300, Burst: 100}, constant(1500))
	part := func(g int) float64 { return []float64{1, 2, 4}[g%3] / 28 }
	c.part = func(_ time.Duration, g int) float64 { return part(g) }
	admitted := make([]float64, 12)
	s.admittedAt = func(g *simGateway) {
		if s.t > 3*time.Second {
			admitted[slices.Index(s.gateways, g)]++
		}
	}
	s.run(15 * time.Second)
	total := 0.0
	for _, n := range admitted {
		total += n
	}
	for g, n := range admitted {
		if got, want := n/total, part(g); got < want/2 || got > want*2 {
			t.Errorf("gateway %d has %.3f of the demand and %.3f of the admissions", g, want, got)
		}
	}
}

// TestLowerLimitHoldsAtOnce guards against a bucket or tokens that keep the size of an earlier
// limit. The lower one bounds the windows that begin a window after it is in force.
func TestLowerLimitHoldsAtOnce(t *testing.T) {
	s := newSim(9, 12)
	c := s.add("c", Limit{Rate: 900, Burst: 900}, constant(500))
	changed := 0
	s.at(10*time.Second, func() {
		c.limit = Limit{Rate: 50, Burst: 10}
		for _, g := range s.gateways {
			g.client.Limited(func(string) (Limit, bool) { return c.limit, true })
		}
	})
	s.at(15*time.Second, func() { changed = len(c.admitted) })
	s.run(25 * time.Second)
	l := NewLedger()
	l.Ask(simStart, "g", Counts{Listed: 1})
	l.Grant(simStart, "g", "c", Limit{Rate: 900, Burst: 900}, Use{})
	if g := l.Grant(simStart.Add(time.Second), "g", "c", Limit{Rate: 50, Burst: 10}, Use{Wanted: 900}); g.Tokens > 10 {
		t.Errorf("%d tokens of a bucket with a burst of 10", g.Tokens)
	}
	c.admitted = c.admitted[changed:]
	if over := c.over(); over > 0 {
		t.Errorf("%.0f requests beyond the bound of the lower limit", over)
	}
}

// TestExpiredTokensAreNotUsed guards against tokens that a paused process still holds when it
// runs again, and against tokens that came so late that they had expired.
func TestExpiredTokensAreNotUsed(t *testing.T) {
	limit := Limit{Rate: 100, Burst: 100}
	for _, pause := range []struct{ reply, after time.Duration }{{0, tokenLife}, {0, time.Hour}, {tokenLife, 0}} {
		var a Account
		a.Granted(simStart, simStart.Add(pause.reply), "g", Grant{Tokens: 5, Denied: true, RetryAfter: time.Second})
		if v, _ := a.Admit(simStart.Add(pause.reply+pause.after), limit, 12, false); v == ByToken {
			t.Errorf("token used %v after a reply that took %v", pause.after, pause.reply)
		}
	}
	var a Account
	a.Granted(simStart, simStart, "g", Grant{Tokens: 5})
	a.Drop()
	if v, _ := a.Admit(simStart, limit, 12, false); v == ByToken {
		t.Error("token used after a suspension")
	}
}

// TestFallbackDecays guards against a gateway without an issuer that goes on at its last rate, or
// admits nothing at all.
func TestFallbackDecays(t *testing.T) {
	limit := Limit{Rate: 120, Burst: 10}
	var a Account
	now := simStart
	for range 1000 {
		now = now.Add(50 * time.Millisecond)
		a.Granted(now, now, "g", Grant{Tokens: 1})
		a.Admit(now, limit, 12, false)
	}
	a.Lost(now, false)
	count := func(span time.Duration) (n int) {
		for end := now.Add(span); now.Before(end); now = now.Add(5 * time.Millisecond) {
			if v, _ := a.Admit(now, limit, 12, false); v.Admitted() {
				n++
			}
		}
		return n
	}
	first := count(time.Second)
	count(10 * time.Second)
	last := count(10 * time.Second)
	// The gateway's own rate was 20 a second, and 0.08 of its even part is 0.8.
	if first < 15 || first > 21 || last < 6 || last > 9 {
		t.Errorf("%d requests in the first second without an issuer, %d in ten seconds later", first, last)
	}
}

// TestFallbackDoesNotRepeatABurst guards against gateways that take a moment's burst for their rate
// when the issuer is lost: all of them together would pass a small limit for seconds.
func TestFallbackDoesNotRepeatABurst(t *testing.T) {
	limit := Limit{Rate: 3, Burst: 3}
	var a Account
	a.Granted(simStart, simStart, "g", Grant{Tokens: 3})
	for range 3 {
		a.Admit(simStart, limit, 12, false)
	}
	a.Lost(simStart, false)
	n := 0
	for at := time.Duration(0); at < simWindow; at += 50 * time.Millisecond {
		if v, _ := a.Admit(simStart.Add(at), limit, 12, false); v.Admitted() {
			n++
		}
	}
	if n > 2 {
		t.Errorf("%d requests in %v after a burst of 3", n, simWindow)
	}
}

// TestHeldTokensCountTowardsTheBurst guards against a bucket that is full while gateways hold
// tokens: both would be used at once.
func TestHeldTokensCountTowardsTheBurst(t *testing.T) {
	limit := Limit{Rate: 100, Burst: 100}
	l, before := NewLedger(), uint32(0)
	for i := range 40 {
		now := simStart.Add(time.Duration(i) * AskEvery)
		l.Ask(now, "g", Counts{Listed: 1})
		wanted := uint32(24)
		if i < 10 {
			// The bucket fills.
			wanted = 0
		}
		g := l.Grant(now, "g", "c", limit, Use{Wanted: wanted})
		// The tokens of the last ask may still be held. They count less with time.
		if sum := l.buckets["c"].level + float64(before+g.Tokens); sum > 118 {
			t.Fatalf("%.0f tokens for a burst of 100", sum)
		}
		before = g.Tokens
	}
}

// modelEvent is what one gateway of the model does.
type modelEvent struct {
	gateway int
	kind    int
}

// Kinds of modelEvent.
const (
	modelRequests = iota
	modelAsk
	modelAskLost
	modelReplyLost
	modelKinds
)

// playModel plays events 50 ms apart, and returns how many requests were admitted beyond what the
// limit, the tolerance and the credit of the gateways account for. forgetful drops what a lost
// ask reported.
func playModel(events []modelEvent, gateways int, forgetful bool) float64 {
	const listed = 18
	limit := Limit{Rate: 36, Burst: 4}
	l := NewLedger()
	accounts := make([]Account, gateways)
	names := []string{"a", "b"}
	now, admitted, worst := simStart, 0.0, -100.0
	for i := range gateways {
		l.Ask(now, names[i], Counts{Listed: listed})
	}
	l.Grant(now, "a", "c", limit, Use{})
	for _, e := range events {
		now = now.Add(50 * time.Millisecond)
		a := &accounts[e.gateway]
		switch e.kind {
		case modelRequests:
			for range 4 {
				if v, _ := a.Admit(now, limit, listed, false); v.Admitted() {
					admitted++
				}
			}
		default:
			use, _ := a.Report(now, "i")
			if e.kind == modelAskLost {
				a.Undelivered()
				if forgetful {
					a.credit = 0
				}
				break
			}
			l.Ask(now, names[e.gateway], Counts{Listed: listed})
			g := l.Grant(now, names[e.gateway], "c", limit, use)
			if e.kind == modelReplyLost {
				a.Undelivered()
				break
			}
			a.Granted(now, now, "i", g)
		}
		credit := 0.0
		for i := range accounts {
			credit += accounts[i].maxCredit(now)
		}
		rate := limit.Rate * float64(gateways) / listed
		worst = max(worst, admitted-(rate*now.Sub(simStart).Seconds()+minTolerance+rate*toleranceTime.Seconds()+credit))
	}
	return worst
}

// eachHistory calls fn with all histories of a length.
func eachHistory(length, gateways int, fn func([]modelEvent) bool) {
	events := make([]modelEvent, length)
	var fill func(i int) bool
	fill = func(i int) bool {
		if i == length {
			return fn(events)
		}
		for g := range gateways {
			for k := range modelKinds {
				events[i] = modelEvent{g, k}
				if !fill(i + 1) {
					return false
				}
			}
		}
		return true
	}
	fill(0)
}

// TestEveryShortHistoryIsAccountedFor plays all short histories of two gateways and an issuer,
// with asks and replies that are lost. It guards against admissions that no bucket accounts for,
// and shows that it finds credit that is forgotten with a lost ask.
func TestEveryShortHistoryIsAccountedFor(t *testing.T) {
	n := 0
	for gateways, length := range map[int]int{1: 8, 2: 6} {
		eachHistory(length, gateways, func(events []modelEvent) bool {
			n++
			if over := playModel(events, gateways, false); over > 0 {
				t.Errorf("%v: %.2f beyond what is accounted for", events, over)
			}
			return !t.Failed()
		})
	}
	found := false
	eachHistory(8, 1, func(events []modelEvent) bool {
		found = playModel(events, 1, true) > 0
		return !found
	})
	if !found {
		t.Error("forgotten credit is not found")
	}
	t.Logf("%d histories", n)
}

// TestLimitsHoldInAnyHistory plays random loads, limits, kills, cuts and lists of gateways, with up
// to three faults in a few windows: each change of a small customer's issuer costs some requests.
func TestLimitsHoldInAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 14).Draw(t, "gateways"))
		s.slow = rapid.Float64Range(0, 1).Draw(t, "slow")
		ms := func(most int, label string) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * time.Millisecond
		}
		for i := range 2 {
			rate := rapid.SampledFrom([]float64{3, 8, 40, 100}).Draw(t, "rate")
			before, factor := rapid.SampledFrom([]float64{0, 0.6, 1}).Draw(t, "load"), rapid.SampledFrom([]float64{1, 3, 8, 40}).Draw(t, "factor")
			burst := rapid.SampledFrom([]float64{0, 0.2, 1, 3}).Draw(t, "burst")
			// Beyond 300 requests a second a history only takes longer.
			factor = min(factor, max(1, 300/rate))
			s.add(fmt.Sprint("c", i), Limit{Rate: rate, Burst: rate * burst}, jump(rate*before, factor, ms(8000, "jump")))
		}
		from := ms(8000, "cut")
		s.cutOff(rapid.IntRange(0, 2).Draw(t, "region"), from, from+ms(8000, "cut for"))
		for range rapid.IntRange(0, 3).Draw(t, "faults") {
			g := s.gateways[rapid.IntRange(0, len(s.gateways)-1).Draw(t, "gateway")]
			s.at(ms(9000, "at"), func() {
				if s.random.IntN(2) == 0 {
					s.kill(g)
					s.after(time.Second, func() { s.start(g) })
					return
				}
				g.hosts = s.without(s.issuer())
				s.after(2*time.Second, func() { g.hosts = s.names })
			})
		}
		s.run(12 * time.Second)
		for _, c := range s.customers {
			if over := c.over(); over > 0 {
				t.Fatalf("%s with limit %+v: %.0f requests beyond the bound", c.name, c.limit, over)
			}
		}
	})
}

// TestIssuersAgree guards against gateways with the same list in another order that take
// different gateways for the issuer, and against the loss of an issuer that moves the customers
// of others.
func TestIssuersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var hosts []string
		for i := range rapid.IntRange(1, 100).Draw(t, "gateways") {
			hosts = append(hosts, fmt.Sprint("g", i))
		}
		s, shuffled := ChooseIssuers(hosts), rapid.Permutation(hosts).Draw(t, "order")
		o := ChooseIssuers(shuffled)
		if len(s.first) != (len(hosts)+31)/32 {
			t.Fatalf("%d issuers for %d gateways", len(s.first), len(hosts))
		}
		for i := range 50 {
			customer := fmt.Sprint("c", i)
			a, deputy := s.Of(customer)
			if b, _ := o.Of(customer); hosts[a] != shuffled[b] || a == deputy || (deputy < 0) != (len(hosts) == 1) {
				t.Fatalf("issuer %s and deputy %d, in another order issuer %s", hosts[a], deputy, shuffled[b])
			}
			if deputy < 0 {
				continue
			}
			gone := hosts[s.first[0]]
			rest := slices.DeleteFunc(slices.Clone(hosts), func(h string) bool { return h == gone })
			r := ChooseIssuers(rest)
			if c, _ := r.Of(customer); len(r.first) == len(s.first) && hosts[a] != gone && rest[c] != hosts[a] && rest[c] != hosts[deputy] {
				t.Fatalf("%s leaves, and the issuer of %s moves from %s to %s", gone, customer, hosts[a], rest[c])
			}
		}
	})
}

// TestListOfSmallGatewaysIsNoLarger guards against limits that shrink to a third for 15 s because a
// failure domain's two large gateways were missing from the list for a moment, so that it named
// twenty small ones in their place: 1,291 of 2,267 requests within their limits were refused.
func TestListOfSmallGatewaysIsNoLarger(t *testing.T) {
	const large, small = 0.8, 0.112
	l := NewLedger()
	ask := func(now time.Time, listed int, capacity float64) {
		for i := range 12 {
			l.Ask(now, fmt.Sprint("g", i), Counts{Listed: listed, AtLeast: listed, Capacity: large, ListedCapacity: capacity})
		}
	}
	ask(simStart, 12, 12*large)
	ask(simStart.Add(time.Second), 30, 10*large+20*small)
	ask(simStart.Add(2*time.Second), 12, 12*large)
	if share := l.Share(); share < 0.9 {
		t.Errorf("share %.2f", share)
	}
}

// TestShorterListIsRemembered guards against a gateway that becomes the issuer by a list from which
// others have vanished, and grants their parts while they are still granted elsewhere.
func TestShorterListIsRemembered(t *testing.T) {
	l := NewLedger()
	l.List(simStart, 12)
	for _, x := range []struct {
		at   time.Duration
		want float64
	}{{time.Second, 1.0 / 12}, {rememberedFor + time.Second, 1}} {
		l.Ask(simStart.Add(x.at), "g", Counts{Listed: 1})
		if l.Share() != x.want {
			t.Errorf("share %.3f %v after the longer list, want %.3f", l.Share(), x.at, x.want)
		}
	}
}
