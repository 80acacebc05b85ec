package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cassiatray/internal/core/suspect"
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
	// server crashed; empty if the server was only unreachable. Service is that of the server, or the
	// one at which the request completed; empty if a gateway of an older build passed the report on.
	// Sent is when the request was sent.
	Request string
	Service string
	Sent    time.Time
	// Proven is set if that request had run to completion at the service before, as far as the reporting
	// gateway knows, and Trial if it ran as a trial.
	Proven, Trial bool
	// Cleared is set when the request completed at the service, which clears it of earlier
	// crashes there, and of all earlier ones for that service. Without a request, the server has
	// answered a check that was reported as unanswered.
	Cleared bool
	// Unanswered is set when the server has not answered a check of the
	// reporting gateway, which goes on checking it.
	Unanswered bool
	// Cold is how much longer the server is cold; zero in other reports.
	Cold time.Duration
	// Leaving is set when the server's process that started at Born, in Unix milliseconds,
	// said that it leaves.
	Leaving bool
	Born    int64
}

// RunTime returns how long the request had been at the server when it crashed.
func (r *Report) RunTime() time.Duration {
	if r.Sent.IsZero() {
		return 0
	}
	return r.At.Sub(r.Sent)
}

// Limits of reports.
const (
	// unreachableTTL is how long a report of an unreachable or cold server is
	// forwarded: a few times the latency through the hubs. A gateway that
	// received it later would check the server because of outdated information.
	unreachableTTL = 5 * time.Second
	// crashTTL is how long a crash counts against a request.
	crashTTL = suspect.Keep
	// maxReports bounds the stored reports of each kind. The kinds are bounded
	// separately so that the loss of a failure domain does not evict crash
	// reports.
	maxReports = 512
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
	// lastCompleted is the time at which each request last completed at each service.
	lastCompleted map[completedAt]time.Time
}

// completedAt is a request at a service; none for a completion at an unknown one.
type completedAt struct{ request, service string }

// Add stores a report and reports whether it is new.
func (r *Reports) Add(now time.Time, rep Report) bool {
	if r.lastNumber == nil {
		r.lastNumber, r.lastCompleted = map[string]uint64{}, map[completedAt]time.Time{}
	}
	if rep.Number <= r.lastNumber[rep.Origin] {
		return false
	}
	r.lastNumber[rep.Origin] = rep.Number
	r.lastSequence++
	maps.DeleteFunc(r.lastCompleted, func(_ completedAt, at time.Time) bool { return now.Sub(at) > crashTTL })
	list, ttl := &r.unreachable, unreachableTTL
	if rep.Request != "" {
		list, ttl = &r.crashes, crashTTL
	}
	if at := (completedAt{rep.Request, rep.Service}); rep.Cleared && rep.Request != "" && rep.At.After(r.lastCompleted[at]) {
		r.lastCompleted[at] = rep.At
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

// Held reports whether a request is suspected of crashing a server, as far as a completion at the service
// would clear it.
func (r *Reports) Held(request, service string) bool { return len(r.sightings(request, service)) > 0 }

// Verdict says how to treat a request at a service; proven is set if this gateway knows that it has
// run to completion there.
func (r *Reports) Verdict(request, service string, proven bool) suspect.Verdict {
	return suspect.Judge(r.sightings(request, service), service, proven)
}

// sightings returns the crashes during which a request was in flight and that count at a service: those
// since it last completed there, and since it last completed at the service of the crash.
func (r *Reports) sightings(request, service string) []suspect.Sighting {
	var out []suspect.Sighting
	cleared := func(at time.Time, service string) bool {
		return !at.After(r.lastCompleted[completedAt{request, service}])
	}
	for _, k := range r.crashes {
		if k.Request != request || k.Cleared || cleared(k.At, service) || cleared(k.At, k.Service) || cleared(k.At, "") {
			continue
		}
		out = append(out, suspect.Sighting{Server: k.Server, Service: k.Service, Sent: k.Sent, At: k.At, Proven: k.Proven, Trial: k.Trial})
	}
	return out
}

// Empty reports whether no crash reports are stored.
func (r *Reports) Empty() bool { return len(r.crashes) == 0 }
