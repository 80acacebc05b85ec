package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Report is an observation of one gateway about a server: that it was
// unreachable, that it is cold, that it leaves, that it crashed while running a request, or that a
// request reported before has completed.
type Report struct {
	// Origin and Number identify the report.
	Origin string
	Number uint64
	Server string
	At     time.Time
	// Request is the fingerprint of the request that was in flight when the
	// server crashed; empty if the server was only unreachable.
	Request string
	// Cleared is set when the request completed, which clears it of earlier
	// crashes.
	Cleared bool
	// Cold is how much longer the server is cold; zero in other reports.
	Cold time.Duration
	// Leaving is set when the server's process that started at Born, in Unix milliseconds,
	// said that it leaves.
	Leaving bool
	Born    int64
}

// Limits of reports.
const (
	// unreachableTTL is how long a report of an unreachable or cold server is
	// forwarded: a few times the latency through the hubs. A gateway that
	// received it later would check the server because of outdated information.
	unreachableTTL = 5 * time.Second
	// crashTTL is how long a crash counts against a request.
	crashTTL = 10 * time.Minute
	// maxReports bounds the stored reports of each kind. The kinds are bounded
	// separately so that the loss of a failure domain does not evict crash
	// reports.
	maxReports = 512
	// crashLimit is the number of crashes after which a request is rejected.
	crashLimit = 3
	// sameCrashWindow is the time within which reports about one server are of
	// one crash.
	sameCrashWindow = time.Second
)

// storedReport is a report with its position in the order of arrival.
type storedReport struct {
	Report
	sequence uint64
}

// Reports holds the reports that this gateway made or received from others. It
// is not safe for concurrent use.
type Reports struct {
	unreachable, crashes []storedReport
	// lastSequence is the sequence of the newest report.
	lastSequence uint64
	// lastNumber is the highest report number received from each origin.
	lastNumber map[string]uint64
	// lastCompleted is the time at which each request last completed.
	lastCompleted map[string]time.Time
}

// Add stores a report and reports whether it is new.
func (r *Reports) Add(now time.Time, rep Report) bool {
	if r.lastNumber == nil {
		r.lastNumber, r.lastCompleted = map[string]uint64{}, map[string]time.Time{}
	}
	if rep.Number <= r.lastNumber[rep.Origin] {
		return false
	}
	r.lastNumber[rep.Origin] = rep.Number
	r.lastSequence++
	maps.DeleteFunc(r.lastCompleted, func(_ string, at time.Time) bool { return now.Sub(at) > crashTTL })
	list, ttl := &r.unreachable, unreachableTTL
	if rep.Request != "" {
		list, ttl = &r.crashes, crashTTL
	}
	if rep.Cleared && rep.At.After(r.lastCompleted[rep.Request]) {
		r.lastCompleted[rep.Request] = rep.At
	}
	*list = append(prune(*list, now, ttl), storedReport{rep, r.lastSequence})
	return true
}

// prune drops expired reports, and the oldest one if the list is full.
func prune(list []storedReport, now time.Time, ttl time.Duration) []storedReport {
	list = slices.DeleteFunc(list, func(k storedReport) bool { return now.Sub(k.At) > ttl })
	if len(list) >= maxReports {
		list = slices.Delete(list, 0, 1)
	}
	return list
}

// Since returns the unexpired reports after a sequence, and the sequence of the
// newest report.
func (r *Reports) Since(now time.Time, sequence uint64) ([]Report, uint64) {
	var out []storedReport
	for _, k := range r.unreachable {
		if k.sequence > sequence && now.Sub(k.At) <= unreachableTTL {
			out = append(out, k)
		}
	}
	for _, k := range r.crashes {
		if k.sequence > sequence && now.Sub(k.At) <= crashTTL {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b storedReport) int { return cmp.Compare(a.sequence, b.sequence) })
	list := make([]Report, len(out))
	for i, k := range out {
		list[i] = k.Report
	}
	return list, r.lastSequence
}

// Held reports whether a request is suspected of crashing a server.
func (r *Reports) Held(request string) bool { return r.Crashes(request) > 0 }

// Crashes counts the server crashes attributed to a request since it last
// completed.
func (r *Reports) Crashes(request string) int {
	lastCrash := map[string]time.Time{}
	n := 0
	for _, k := range r.crashes {
		if k.Request != request || k.Cleared || !k.At.After(r.lastCompleted[request]) {
			continue
		}
		if at, ok := lastCrash[k.Server]; !ok || k.At.Sub(at).Abs() > sameCrashWindow {
			n++
		}
		lastCrash[k.Server] = k.At
	}
	return n
}

// Refused reports whether a request has crashed servers so often that it must
// not run again.
func (r *Reports) Refused(request string) bool { return r.Crashes(request) >= crashLimit }

// Empty reports whether no crash reports are stored.
func (r *Reports) Empty() bool { return len(r.crashes) == 0 }
