package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Report is what one gateway met at a server: that it could not be reached, that
// it crashed while it ran a request, or that such a request ran to its end.
type Report struct {
	// Origin and Number name the report.
	Origin string
	Number uint64
	Server string
	At     time.Time
	// Request is the fingerprint of the request that ran when the server
	// crashed; empty when it was only unreachable.
	Request string
	// Cleared is set when the request ran to its end: it crashes nothing.
	Cleared bool
}

// Limits of reports.
const (
	// unreachableLife is how long it is told that a server could not be reached:
	// a few times the way through the hubs. Who hears of it later would check
	// the server for news that is old.
	unreachableLife = 5 * time.Second
	// crashLife is how long a crash is held against a request.
	crashLife = 10 * time.Minute
	// maxReports bounds the reports of each kind that are kept, so that a lost
	// domain does not push out what crashed servers.
	maxReports = 512
	// crashLimit is how many crashes make a request refused.
	crashLimit = 3
	// sameCrash is how near in time reports of one server are of one crash.
	sameCrash = time.Second
)

// kept is a report with its place among all that were taken in.
type kept struct {
	Report
	sequence uint64
}

// Reports is the reports of all gateways as far as this one has heard of them.
// It is not safe for concurrent use.
type Reports struct {
	unreachable, crashes []kept
	// last is the sequence of the newest report.
	last  uint64
	known map[string]uint64
	// cleared holds when each request last ran to its end.
	cleared map[string]time.Time
}

// Add takes in a report, and says whether it is new.
func (r *Reports) Add(now time.Time, rep Report) bool {
	if r.known == nil {
		r.known, r.cleared = map[string]uint64{}, map[string]time.Time{}
	}
	if rep.Number <= r.known[rep.Origin] {
		return false
	}
	r.known[rep.Origin] = rep.Number
	r.last++
	maps.DeleteFunc(r.cleared, func(_ string, at time.Time) bool { return now.Sub(at) > crashLife })
	list, life := &r.unreachable, unreachableLife
	if rep.Request != "" {
		list, life = &r.crashes, crashLife
	}
	if rep.Cleared && rep.At.After(r.cleared[rep.Request]) {
		r.cleared[rep.Request] = rep.At
	}
	*list = append(bounded(*list, now, life), kept{rep, r.last})
	return true
}

// bounded drops reports that are over their life, and the oldest one when there
// are too many.
func bounded(list []kept, now time.Time, life time.Duration) []kept {
	list = slices.DeleteFunc(list, func(k kept) bool { return now.Sub(k.At) > life })
	if len(list) >= maxReports {
		list = slices.Delete(list, 0, 1)
	}
	return list
}

// Since returns the reports after a sequence that are still worth telling, and
// the sequence of the last.
func (r *Reports) Since(now time.Time, sequence uint64) ([]Report, uint64) {
	var out []kept
	for _, k := range r.unreachable {
		if k.sequence > sequence && now.Sub(k.At) <= unreachableLife {
			out = append(out, k)
		}
	}
	for _, k := range r.crashes {
		if k.sequence > sequence && now.Sub(k.At) <= crashLife {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b kept) int { return cmp.Compare(a.sequence, b.sequence) })
	list := make([]Report, len(out))
	for i, k := range out {
		list[i] = k.Report
	}
	return list, r.last
}

// Held reports whether a crash is held against a request.
func (r *Reports) Held(request string) bool { return r.Crashes(request) > 0 }

// Crashes counts the crashes of servers under a request since it last ran to its
// end.
func (r *Reports) Crashes(request string) int {
	last := map[string]time.Time{}
	n := 0
	for _, k := range r.crashes {
		if k.Request != request || k.Cleared || !k.At.After(r.cleared[request]) {
			continue
		}
		if at, ok := last[k.Server]; !ok || k.At.Sub(at).Abs() > sameCrash {
			n++
		}
		last[k.Server] = k.At
	}
	return n
}

// Refused reports whether servers crashed so often under a request that it is not
// to run again.
func (r *Reports) Refused(request string) bool { return r.Crashes(request) >= crashLimit }

// Empty reports whether nothing is held against any request.
func (r *Reports) Empty() bool { return len(r.crashes) == 0 }
