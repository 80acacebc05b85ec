// Package drill sends requests to a running site while its processes are
// killed, frozen and replaced, and compares what callers were told with what
// the backend servers ran.
package drill

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"cassiatray/api"
	"cassiatray/internal/site"
	"cassiatray/internal/standin/server"
)

// record is what callers were told of each operation. It is a round tripper,
// so that it sees every copy that is sent.
type record struct {
	next http.RoundTripper

	mu   sync.Mutex
	told map[string]map[api.Outcome]int
}

func newRecord(next http.RoundTripper) *record {
	return &record{next: next, told: map[string]map[api.Outcome]int{}}
}

// RoundTrip implements http.RoundTripper.
func (r *record) RoundTrip(req *http.Request) (*http.Response, error) {
	id := req.Header.Get(api.HeaderOperationID)
	if id != "" {
		r.tell(id, "")
	}
	resp, err := r.next.RoundTrip(req)
	if err == nil && id != "" {
		r.tell(id, api.Outcome(resp.Header.Get(api.HeaderOutcome)))
	}
	return resp, err
}

// tell notes an outcome of an operation; an empty one notes only its ID.
func (r *record) tell(id string, o api.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.told[id] == nil {
		r.told[id] = map[api.Outcome]int{}
	}
	if o != "" {
		r.told[id][o]++
	}
}

// Verdict compares what callers were told with what servers ran.
type Verdict struct {
	// Operations is the number of operation IDs that were sent.
	Operations int
	// Ran is how many of them ran, and MaxRuns the most runs of one.
	Ran     int
	MaxRuns int
	// FalseNotRun counts operations that ran although a caller was told that
	// they did not; FalseDone those that did not although told done.
	FalseNotRun int
	FalseDone   int
	// Unknown counts operations of which no caller was told more.
	Unknown int
}

// String returns the verdict in one line.
func (v Verdict) String() string {
	return fmt.Sprintf("%d operations, %d ran, at most %d time(s); false not-run %d, false done %d, unknown %d",
		v.Operations, v.Ran, v.MaxRuns, v.FalseNotRun, v.FalseDone, v.Unknown)
}

// Truthful reports whether every promise was kept.
func (v Verdict) Truthful() bool { return v.MaxRuns <= 1 && v.FalseNotRun == 0 && v.FalseDone == 0 }

// judge counts runs at the backend servers.
func (r *record) judge(ctx context.Context, s *site.Site) (Verdict, error) {
	runs, err := runsOf(ctx, s)
	if err != nil {
		return Verdict{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	v := Verdict{Operations: len(r.told)}
	for id, told := range r.told {
		v.add(runs[id], told)
	}
	return v, nil
}

func (v *Verdict) add(runs int, told map[api.Outcome]int) {
	v.MaxRuns = max(v.MaxRuns, runs)
	if runs > 0 {
		v.Ran++
	}
	if told[api.OutcomeNotRun] > 0 && runs > 0 {
		v.FalseNotRun++
	}
	if told[api.OutcomeDone] > 0 && runs == 0 {
		v.FalseDone++
	}
	if told[api.OutcomeDone] == 0 && told[api.OutcomeNotRun] == 0 {
		v.Unknown++
	}
}

// StatsError means that a stand-in server did not give its counts.
type StatsError struct {
	Server string
	Err    error
}

func (e *StatsError) Error() string { return fmt.Sprintf("counts of %s: %v", e.Server, e.Err) }

func (e *StatsError) Unwrap() error { return e.Err }

// Stats returns what each stand-in server has seen.
//
// Errors: *StatsError.
func Stats(ctx context.Context, s *site.Site) ([]server.Stats, error) {
	var out []server.Stats
	for _, b := range s.Servers {
		var stats server.Stats
		var err error
		fetch := func() bool {
			stats, err = b.Stats(ctx)
			return err == nil
		}
		// A server that crashed comes back with its counts.
		if site.Await(ctx, b.Name, fetch) != nil {
			return nil, &StatsError{Server: b.Name, Err: err}
		}
		out = append(out, stats)
	}
	return out, nil
}

func runsOf(ctx context.Context, s *site.Site) (map[string]int, error) {
	all, err := Stats(ctx, s)
	if err != nil {
		return nil, err
	}
	out := map[string]int{}
	for _, stats := range all {
		for id, n := range stats.Operations {
			out[id] += n
		}
	}
	return out, nil
}
