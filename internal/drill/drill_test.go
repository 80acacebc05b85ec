package drill

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"testing"
	"time"

	"cassiatray/internal/site"
)

// setting returns a number that a longer run sets by an environment variable.
func setting(t *testing.T, name string, short int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return short
	}
	var n int
	if _, err := fmt.Sscan(text, &n); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}

func start(t *testing.T, limit time.Duration) (context.Context, *site.Site) {
	t.Helper()
	bin, err := site.Programs()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	t.Cleanup(cancel)
	s, err := Bring(ctx, bin)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return ctx, s
}

// TestFaults kills and freezes processes under load. DRILL_FAULTS sets how
// many times and DRILL_SEED the choice.
func TestFaults(t *testing.T) {
	count := setting(t, "DRILL_FAULTS", 6)
	ctx, s := start(t, time.Duration(count)*10*time.Second+time.Minute)
	c := Start(ctx, s, Load{Callers: 16, Pace: 2 * time.Millisecond, Spread: 10})
	rng := rand.New(rand.NewPCG(uint64(setting(t, "DRILL_SEED", 1)), 0))
	done, err := Harm(ctx, c, rng, count, 200)
	if err != nil || done != count {
		t.Fatalf("%d faults of %d: %v", done, count, err)
	}
	v, err := c.Stop(ctx)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d faults, %d requests, %d failed %v: %s", done, c.Ended(), c.Failed(), c.Failures(), v)
	if !v.Truthful() || v.Operations == 0 {
		t.Fatal("a promise was broken")
	}
}

// TestReplace replaces hosts one after another under load: no request fails.
// DRILL_REPLACEMENTS sets how many.
func TestReplace(t *testing.T) {
	count := setting(t, "DRILL_REPLACEMENTS", 2)
	ctx, s := start(t, time.Duration(count)*30*time.Second+time.Minute)
	c := Start(ctx, s, Load{Callers: 16, Pace: 2 * time.Millisecond})
	for i := range count {
		sig := []syscall.Signal{syscall.SIGTERM, syscall.SIGINT}[i%2]
		if err := Replace(ctx, s, s.Hosts[i%len(s.Hosts)], sig); err != nil {
			t.Fatal(err)
		}
	}
	v, err := c.Stop(ctx)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d replacements, %d requests, %d failed %v: %s", count, c.Ended(), c.Failed(), c.Failures(), v)
	if c.Failed() > 0 || !v.Truthful() || v.Operations == 0 {
		t.Fatal("a request failed or a promise was broken")
	}
}
