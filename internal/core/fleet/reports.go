package fleet

import "time"

// Report is what one gateway met at a server: that it could not be reached, or
// that it crashed while it ran a request.
type Report struct {
	// Origin and Number name the report.
	Origin string
	Number uint64
	Server string
	At     time.Time
	// Request is the fingerprint of the request that ran when the server
	// crashed; empty when it was only unreachable.
	Request string
}

// Limits of reports.
const (
	// reportLife is how long reports are kept. A request that crashes servers
	// comes again within seconds.
	reportLife = time.Minute
	// maxReports bounds the reports kept.
	maxReports = 1024
	// crashLimit is how many servers a request may crash before it is refused.
	crashLimit = 3
)

// Reports is the reports of all gateways as far as this one has heard of them.
// It is not safe for concurrent use.
type Reports struct {
	list []Report
	// first is the sequence of list[0] among all that were taken in.
	first uint64
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
	for len(r.list) > 0 && (len(r.list) >= maxReports || now.Sub(r.list[0].At) > reportLife) {
		r.list = r.list[1:]
		r.first++
	}
	r.list = append(r.list, rep)
	return true
}

// Since returns the reports after a sequence, and the sequence of the last.
func (r *Reports) Since(sequence uint64) ([]Report, uint64) {
	end := r.first + uint64(len(r.list))
	if sequence >= end {
		return nil, end
	}
	from := max(sequence, r.first) - r.first
	return r.list[from:], end
}

// Ran notes that a request ran to its end: what was held against it is void.
func (r *Reports) Ran(now time.Time, request string) {
	if r.Crashes(request) > 0 {
		r.cleared[request] = now
	}
}

// Crashes counts the servers that crashed under a request since it last ran to
// its end.
func (r *Reports) Crashes(request string) int {
	servers := map[string]bool{}
	for _, rep := range r.list {
		if rep.Request != "" && rep.Request == request && rep.At.After(r.cleared[request]) {
			servers[rep.Server] = true
		}
	}
	return len(servers)
}

// Refused reports whether a request has crashed so many servers that it is not
// to run again.
func (r *Reports) Refused(request string) bool { return r.Crashes(request) >= crashLimit }

// Empty reports whether nothing is held against any request.
func (r *Reports) Empty() bool {
	for _, rep := range r.list {
		if rep.Request != "" {
			return false
		}
	}
	return true
}
