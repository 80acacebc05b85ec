package fleet

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cassiatray/internal/core/suspect"
)

// TestReportsConverge checks that gateways that exchange reports in any order
// end with the same set, without duplicates.
func TestReportsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		gateways := make([]Reports, 3)
		counts := map[string]int{}
		for n := range rapid.IntRange(1, 60).Draw(t, "reports") {
			i := rapid.IntRange(0, 2).Draw(t, "origin")
			rep := Report{Origin: fmt.Sprint(i), Number: uint64(n + 1), Server: fmt.Sprint("s", n%4), At: now, Request: "r"}
			gateways[i].Add(now, rep)
			to := rapid.IntRange(0, 2).Draw(t, "to")
			list, _ := gateways[i].Since(now, 0)
			for _, r := range list {
				gateways[to].Add(now, r)
			}
		}
		// Two full rounds of exchange deliver every report to every gateway.
		for range 2 {
			for i := range gateways {
				list, _ := gateways[i].Since(now, 0)
				for j := range gateways {
					for _, r := range list {
						gateways[j].Add(now, r)
					}
				}
			}
		}
		for i := range gateways {
			list, _ := gateways[i].Since(now, 0)
			seen := map[string]bool{}
			for _, r := range list {
				name := r.Origin + "/" + fmt.Sprint(r.Number)
				if seen[name] {
					t.Fatalf("report %s is listed twice", name)
				}
				seen[name] = true
			}
			counts[fmt.Sprint(gateways[i].Verdict("r", "", false).Crashes)]++
		}
		if len(counts) != 1 {
			t.Fatalf("gateways disagree on the number of crashes: %v", counts)
		}
	})
}

func TestCrashingRequestIsRefused(t *testing.T) {
	now := time.Unix(1000, 0)
	var r Reports
	refused := func(request string) bool { return !r.Verdict(request, "", false).Runs() }
	for n := range suspect.TrialThreshold {
		if refused("bad") {
			t.Fatalf("rejected after %d crashes", n)
		}
		r.Add(now, Report{Origin: "g", Number: uint64(n + 1), Server: fmt.Sprint(n), At: now, Request: "bad"})
	}
	if !refused("bad") || refused("good") {
		t.Error("want only the crashing request rejected")
	}
	r.Add(now, Report{Origin: "h", Number: 1, At: now.Add(time.Second), Request: "bad", Cleared: true})
	if refused("bad") {
		t.Error("rejected after it completed")
	}
}

// Guards against a run to completion at one service that says something of another: it voids the crashes
// there, and for that service all before it.
func TestCompletionAtAService(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(s int) time.Time { return now.Add(time.Duration(s) * time.Second) }
	for _, c := range []struct {
		name      string
		completed string
		crashes   map[string]int
	}{
		{"at the service of the crashes", "s", map[string]int{"s": 0, "t": 0, "u": 0}},
		{"at another one", "t", map[string]int{"s": 3, "t": 0, "u": 3}},
		{"passed on by an older build", "", map[string]int{"s": 0, "t": 0, "u": 0}},
	} {
		var r Reports
		for n := range suspect.TrialThreshold {
			r.Add(at(n), Report{Origin: "g", Number: uint64(n + 1), Server: fmt.Sprint(n), Service: "s", Sent: at(n), At: at(n), Request: "bad"})
		}
		r.Add(at(9), Report{Origin: "g", Number: 9, Service: c.completed, At: at(9), Request: "bad", Cleared: true})
		for service, want := range c.crashes {
			if got := r.Verdict("bad", service, false).Crashes; got != want || r.Held("bad", service) != (want > 0) {
				t.Errorf("%s: %d crashes count at %s, want %d", c.name, got, service, want)
			}
		}
	}
}

// TestReportsOfOneCrashCountOnce checks that reports of one crash from several
// gateways count once, and that a later crash of the same server counts again.
func TestReportsOfOneCrashCountOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	var r Reports
	for n := range 2 * suspect.TrialThreshold {
		r.Add(now, Report{Origin: fmt.Sprint(n), Number: 1, Server: "s", At: now.Add(time.Duration(n) * time.Second / 10), Request: "bad"})
	}
	if n := r.Verdict("bad", "", false).Crashes; n != 1 {
		t.Errorf("%d crashes for reports of one crash, want 1", n)
	}
	r.Add(now, Report{Origin: "a", Number: 1, Server: "s", At: now.Add(3 * time.Second), Request: "bad"})
	if n := r.Verdict("bad", "", false).Crashes; n != 2 {
		t.Errorf("%d crashes after a second one, want 2", n)
	}
}

func TestLostResponses(t *testing.T) {
	now := time.Unix(1000, 0)
	var u Unfinished
	if u.Add(now, InFlight{Request: "a"}) != nil {
		t.Error("a lost response alone counted as a crash")
	}
	if got := u.Ended(now.Add(time.Second), false); len(got) != 1 || got[0].Request != "a" {
		t.Errorf("refused connection after a loss: crash attributed to %v, want [a]", got)
	}
	if got := u.Add(now.Add(time.Second), InFlight{Request: "b"}); len(got) != 1 || got[0].Request != "b" {
		t.Errorf("loss after a refused connection: crash attributed to %v, want [b]", got)
	}
	u = Unfinished{}
	u.Add(now, InFlight{Request: "a"})
	u.Answered(now.Add(time.Millisecond))
	if u.Ended(now.Add(time.Second), false) != nil {
		t.Error("a loss followed by a response counted as a crash")
	}
	// Responses that a server had written as it crashed arrive after the loss.
	u = Unfinished{}
	u.Add(now, InFlight{Request: "a"})
	u.Answered(now.Add(-10 * time.Millisecond))
	if got := u.Ended(now.Add(time.Second), false); len(got) != 1 || got[0].Request != "a" {
		t.Errorf("refused connection after a loss and the response to an older request: crash attributed to %v, want [a]", got)
	}
	u = Unfinished{}
	u.Add(now.Add(10*time.Second), InFlight{Request: "a"})
	if u.Ended(now.Add(20*time.Second), false) != nil {
		t.Error("a loss long before the refused connection counted as a crash")
	}
}

// Guards against requests that are kept without end at a server that ends every exchange early,
// and against records that seem to be of later processes.
func TestUnfinishedRequestsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	var u Unfinished
	for i := range 10000 {
		u.Add(now.Add(time.Duration(i)*10*time.Millisecond), InFlight{Request: fmt.Sprint(i)})
		u.Add(now, InFlight{Request: fmt.Sprint("abandoned ", i), Abandoned: true, Until: now.Add(time.Hour)})
	}
	if n := len(u.pending); n > int(crashWindow/(10*time.Millisecond))+maxAbandoned+1 {
		t.Errorf("%d requests are kept", n)
	}
	old := Record{ID: "a", Address: "x", Born: 5}
	for later, want := range map[Record]bool{
		{ID: "b", Address: "x", Born: 6}: true, {ID: "a", Address: "x", Born: 6}: true, {ID: "b", Address: "x", Born: 4}: false,
		{ID: "b", Address: "x"}: false, {ID: "b", Address: "y", Born: 6}: false,
	} {
		if got := later.Replaces(old); got != want {
			t.Errorf("%+v replaces %+v: %t", later, old, got)
		}
	}
}

func TestReportsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	var r Reports
	for n := range 3 * maxReports {
		r.Add(now, Report{Origin: "g", Number: uint64(n + 1), At: now})
	}
	list, next := r.Since(now, 0)
	if len(list) > maxReports || next != 3*maxReports {
		t.Errorf("%d reports stored, next sequence %d", len(list), next)
	}
	if list, _ := r.Since(now, next-2); len(list) != 2 {
		t.Errorf("%d reports after the last but two, want 2", len(list))
	}
}

// TestUnreachableReportsKeepCrashes checks that reports of unreachable servers
// do not evict crash reports, and expire sooner than those.
func TestUnreachableReportsKeepCrashes(t *testing.T) {
	now := time.Unix(1000, 0)
	var r Reports
	for n := range suspect.TrialThreshold {
		r.Add(now, Report{Origin: "a", Number: uint64(n + 1), Server: fmt.Sprint(n), At: now, Request: "bad"})
	}
	for n := range 4 * maxReports {
		r.Add(now, Report{Origin: "b", Number: uint64(n + 1), Server: fmt.Sprint(n), At: now})
	}
	later := now.Add(2 * time.Minute)
	r.Add(later, Report{Origin: "b", Number: 1e6, Server: "s", At: later})
	if r.Verdict("bad", "", false).Runs() {
		t.Error("crash reports were evicted")
	}
	if list, _ := r.Since(later, 0); len(list) != suspect.TrialThreshold+1 {
		t.Errorf("%d reports are forwarded two minutes later", len(list))
	}
}

// TestPeerReportTriggersCheck checks that a report from another gateway causes
// a check only if it is newer than this gateway's last response, and that a
// response clears it.
func TestPeerReportTriggersCheck(t *testing.T) {
	now := time.Unix(1000, 0)
	var h Health
	h.Reached(now)
	if h.Doubt(now.Add(time.Second), now.Add(-time.Second)) {
		t.Error("a report older than the last response counted")
	}
	if !h.Doubt(now.Add(2*time.Second), now.Add(time.Second)) || !h.Doubted() || !h.WantsCheck(now.Add(2*time.Second)) {
		t.Error("the server is not due for an immediate check")
	}
	h.Reached(now.Add(3 * time.Second))
	if h.Down() || h.Doubted() {
		t.Error("still counts as unreachable after a response")
	}
}

// TestServersAreRetriedAfterACut checks that a server that was held for unreachable because of this
// gateway's links is due for a check at once, however long the pause was, and may be tried.
func TestServersAreRetriedAfterACut(t *testing.T) {
	now := time.Now()
	h := new(Health)
	for range 5 {
		h.Unreachable(now)
	}
	if h.Doubted() || h.WantsCheck(now) {
		t.Error("a server that just failed is due for a check")
	}
	h.Retry(now)
	if !h.Doubted() || !h.WantsCheck(now) {
		t.Error("not tried again at once")
	}
	h.Reached(now)
	if h.Retry(now); h.Down() {
		t.Error("a server that is reached counts as unreachable")
	}
}

// TestOldRunsShowNoFreeSlot guards against a cold server that is taken for warm because a run
// that had its slot already ended after a check had been left waiting.
func TestOldRunsShowNoFreeSlot(t *testing.T) {
	now := time.Unix(1000, 0)
	var h Health
	h.Ran(now.Add(-time.Second))
	h.Reached(now.Add(time.Second))
	if !h.DoubtWarm(now.Add(2*time.Second), now) {
		t.Error("the end of an older run kept a server from being doubted")
	}
	h = Health{}
	h.Ran(now.Add(time.Millisecond))
	if h.DoubtWarm(now.Add(2*time.Second), now) {
		t.Error("doubted although it ran a request that came after the check")
	}
}

func TestConsecutiveBrokenExchanges(t *testing.T) {
	now := time.Unix(1000, 0)
	var h Health
	for range brokenLimit - 1 {
		if h.Broken(now) {
			t.Fatal("unreachable before brokenLimit exchanges broke")
		}
	}
	h.Reached(now)
	if h.Broken(now) || h.Down() {
		t.Error("broken exchanges before and after a response counted together")
	}
}

// TestResetConnectionsEject guards against a server that resets every request while its checks are
// good: each good check brought four more requests to it, 587 on a day, half a second apart.
func TestResetConnectionsEject(t *testing.T) {
	now := time.Unix(1000, 0)
	var h Health
	h.Reached(now)
	lost := 0
	// A request every 20 ms, and a check as soon as one is due, for 10 s.
	for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(20 * time.Millisecond) {
		if h.WantsCheck(now) {
			h.CheckPassed(now)
		}
		if !h.Down() {
			lost++
			h.ResetAtOnce(now)
		}
	}
	// Two at first, and one after each of 1, 2 and 4 s.
	if lost > resetLimit+3 {
		t.Errorf("%d requests were lost", lost)
	}
	now = now.Add(ejectionMax)
	if !h.WantsCheck(now) || !h.CheckPassed(now) {
		t.Fatal("not in use again after a good check")
	}
	h.Ran(now)
	h.Reached(now)
	if h.ResetAtOnce(now) || h.Down() {
		t.Error("one reset ejects a server that has run a request since")
	}
}

// TestUnansweredDoubtEndsByItself guards against gateways that leave a server out for good, or all
// check it, because one gateway's check is unanswered.
func TestUnansweredDoubtEndsByItself(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, end := range map[string]func(h *Health){
		"time":   func(h *Health) { now = now.Add(unansweredLife) },
		"answer": func(h *Health) { h.Answered(now) },
	} {
		var h Health
		if !h.DoubtUnanswered(now, now) || !h.Doubted() || h.WantsCheck(now.Add(time.Second)) {
			t.Fatalf("%s: not doubted, or to be checked", name)
		}
		if h.EndDoubt(now.Add(unansweredLife - time.Millisecond)); !h.Down() {
			t.Errorf("%s: the doubt ended early", name)
		}
		if end(&h); name == "time" {
			h.EndDoubt(now)
		}
		if h.Down() {
			t.Errorf("%s: the doubt did not end", name)
		}
	}
	// A doubt of another kind ends with a check.
	var h Health
	h.Doubt(now, now)
	if h.EndDoubt(now.Add(time.Hour)); !h.Down() || h.Answered(now) || !h.WantsCheck(now) {
		t.Error("the doubt of an unreachable server ended without a check")
	}
}

// TestUnchangedRecords checks what of a server's later record is news: heartbeats and the
// countdown of a cold spell are not; another state, a restart or another spell are.
func TestUnchangedRecords(t *testing.T) {
	read := time.Unix(1000, 0)
	held := Record{ID: "i", Service: "s", Slots: 9, Cold: time.Second, Beat: 7}
	with := func(change func(*Record)) Record {
		r := held
		r.Beat++
		change(&r)
		return r
	}
	cold := func(d time.Duration) Record { return with(func(r *Record) { r.Cold = d }) }
	for name, x := range map[string]struct {
		later     Record
		after     time.Duration
		unchanged bool
	}{
		"heartbeat":                       {cold(time.Second), 0, true},
		"countdown":                       {cold(700 * time.Millisecond), 300 * time.Millisecond, true},
		"countdown, read late":            {cold(700 * time.Millisecond), 700 * time.Millisecond, true},
		"end of the countdown":            {cold(0), time.Minute, true},
		"draining":                        {with(func(r *Record) { r.State = Draining }), 0, false},
		"more time left":                  {cold(3 * time.Second), 0, false},
		"same time left in another spell": {cold(time.Second), 10 * time.Second, false},
		"less time left in another spell": {cold(600 * time.Millisecond), 10 * time.Second, false},
		"restart without a start time":    {with(func(r *Record) { r.Beat = 1 }), 0, false},
		"restart with a start time":       {with(func(r *Record) { r.Born = 5 }), 0, false},
		"countdown slower than the clock": {cold(900 * time.Millisecond), time.Second, false},
	} {
		if got := Unchanged(held, read, x.later, read.Add(x.after)); got != x.unchanged {
			t.Errorf("%s: unchanged %t", name, got)
		}
	}
}
