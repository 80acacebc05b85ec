package fleet

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestReportsSpread checks that gateways that exchange reports in any order
// come to know the same, each once.
func TestReportsSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		hosts := make([]Reports, 3)
		counts := map[string]int{}
		for n := range rapid.IntRange(1, 60).Draw(t, "reports") {
			i := rapid.IntRange(0, 2).Draw(t, "origin")
			rep := Report{Origin: fmt.Sprint(i), Number: uint64(n + 1), Server: fmt.Sprint("s", n%4), At: now, Request: "r"}
			hosts[i].Add(now, rep)
			to := rapid.IntRange(0, 2).Draw(t, "to")
			list, _ := hosts[i].Since(now, 0)
			for _, r := range list {
				hosts[to].Add(now, r)
			}
		}
		// Everyone hears everyone, twice.
		for range 2 {
			for i := range hosts {
				list, _ := hosts[i].Since(now, 0)
				for j := range hosts {
					for _, r := range list {
						hosts[j].Add(now, r)
					}
				}
			}
		}
		for i := range hosts {
			list, _ := hosts[i].Since(now, 0)
			seen := map[string]bool{}
			for _, r := range list {
				name := r.Origin + "/" + fmt.Sprint(r.Number)
				if seen[name] {
					t.Fatalf("report %s twice", name)
				}
				seen[name] = true
			}
			counts[fmt.Sprint(hosts[i].Crashes("r"))]++
		}
		if len(counts) != 1 {
			t.Fatalf("gateways count %v", counts)
		}
	})
}

func TestCrashingRequestIsRefused(t *testing.T) {
	now := time.Unix(1000, 0)
	var r Reports
	for n := range crashLimit {
		if r.Refused("bad") {
			t.Fatalf("refused after %d crashes", n)
		}
		r.Add(now, Report{Origin: "g", Number: uint64(n + 1), Server: fmt.Sprint(n), At: now, Request: "bad"})
	}
	if !r.Refused("bad") || r.Refused("good") {
		t.Error("the wrong request is refused")
	}
	r.Add(now, Report{Origin: "h", Number: 1, At: now.Add(time.Second), Request: "bad", Cleared: true})
	if r.Refused("bad") {
		t.Error("refused though it ran to its end")
	}
}

// TestOneCrashReportedByMany checks that what several gateways say of one crash
// counts once, and crashes of one server that follow each other do not.
func TestOneCrashReportedByMany(t *testing.T) {
	now := time.Unix(1000, 0)
	var r Reports
	for n := range 2 * crashLimit {
		r.Add(now, Report{Origin: fmt.Sprint(n), Number: 1, Server: "s", At: now.Add(time.Duration(n) * sameCrash / 10), Request: "bad"})
	}
	if n := r.Crashes("bad"); n != 1 {
		t.Errorf("%d crashes", n)
	}
	r.Add(now, Report{Origin: "a", Number: 1, Server: "s", At: now.Add(3 * sameCrash), Request: "bad"})
	if n := r.Crashes("bad"); n != 2 {
		t.Errorf("%d crashes after the server came back", n)
	}
}

func TestLosses(t *testing.T) {
	now := time.Unix(1000, 0)
	var l Losses
	if l.Lost(now, "a") != nil {
		t.Error("a lost answer alone is a crash")
	}
	if got := l.Refused(now.Add(time.Second)); len(got) != 1 || got[0] != "a" {
		t.Errorf("crashed under %v", got)
	}
	if got := l.Lost(now.Add(time.Second), "b"); len(got) != 1 || got[0] != "b" {
		t.Errorf("crashed under %v, noticed first by another request", got)
	}
	l = Losses{}
	l.Lost(now, "a")
	l.Answered()
	if l.Refused(now.Add(time.Second)) != nil {
		t.Error("the server answered after the loss")
	}
	l.Lost(now.Add(10*time.Second), "a")
	if l.Refused(now.Add(20*time.Second)) != nil {
		t.Error("a loss long before")
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
		t.Errorf("%d kept, next %d", len(list), next)
	}
	if list, _ := r.Since(now, next-2); len(list) != 2 {
		t.Errorf("%d since the last but two", len(list))
	}
}

// TestLostDomainKeepsCrashes checks that reports of unreachable servers do not
// push out what is held against a request, and are not told for long.
func TestLostDomainKeepsCrashes(t *testing.T) {
	now := time.Unix(1000, 0)
	var r Reports
	for n := range crashLimit {
		r.Add(now, Report{Origin: "a", Number: uint64(n + 1), Server: fmt.Sprint(n), At: now, Request: "bad"})
	}
	for n := range 4 * maxReports {
		r.Add(now, Report{Origin: "b", Number: uint64(n + 1), Server: fmt.Sprint(n), At: now})
	}
	later := now.Add(2 * time.Minute)
	r.Add(later, Report{Origin: "b", Number: 1e6, Server: "s", At: later})
	if !r.Refused("bad") {
		t.Error("what crashed servers is forgotten")
	}
	if list, _ := r.Since(later, 0); len(list) != crashLimit+1 {
		t.Errorf("%d reports are told two minutes later", len(list))
	}
}

// TestDoubt checks what another gateway's report changes.
func TestDoubt(t *testing.T) {
	now := time.Unix(1000, 0)
	var h Health
	h.Reached(now)
	if h.Doubt(now.Add(time.Second), now.Add(-time.Second)) {
		t.Error("an older report counted")
	}
	if !h.Doubt(now.Add(2*time.Second), now.Add(time.Second)) || !h.Doubted() || !h.WantsCheck(now.Add(2*time.Second)) {
		t.Error("the server is not checked at once")
	}
	h.Reached(now.Add(3 * time.Second))
	if h.Down() || h.Doubted() {
		t.Error("still doubted")
	}
}

func TestBrokenInARow(t *testing.T) {
	now := time.Unix(1000, 0)
	var h Health
	for range brokenLimit - 1 {
		if h.Broken(now) {
			t.Fatal("unreachable too soon")
		}
	}
	h.Reached(now)
	if h.Broken(now) || h.Down() {
		t.Error("breaks with an answer between them count together")
	}
}
