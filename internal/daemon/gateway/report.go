package gateway

import (
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/suspect"
	peerv1 "cassiatray/proto/peer/v1"
)

// ownFaultShare is the share of all servers from which on a gateway that cannot
// reach them takes its own links to be at fault, and tells nobody.
const ownFaultShare = 0.25

// ReportUnreachable tells the other gateways that this one could not reach a
// server, which took some time to show. It reports whether it did so at once.
func (k *Keeper) ReportUnreachable(server string, took time.Duration, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	down := 0
	for _, s := range k.servers {
		if s.isDown() {
			down++
		}
	}
	if float64(down) > max(1, ownFaultShare*float64(len(k.servers))) {
		return false
	}
	return k.reportOnceReached(fleet.Report{Server: server, At: now}, proofSince(now, took))
}

// ReportUnanswered tells the other gateways that a server has not answered a health check
// since a time, which took some time to show. They check it themselves.
func (k *Keeper) ReportUnanswered(server string, since time.Time, took time.Duration, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reportOnceReached(fleet.Report{Server: server, Unanswered: true, At: since}, proofSince(now, took))
}

// ReportAnswered tells the other gateways that a server has answered the check of which
// ReportUnanswered told them.
func (k *Keeper) ReportAnswered(server string, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.report(fleet.Report{Server: server, Cleared: true, At: now})
}

// ReportCrash tells the other gateways that a server of a service crashed under a request. A link that resets
// connections, so that the server seems to refuse them, looks the same.
//
// It reports whether it did so at once.
func (k *Keeper) ReportCrash(server, service string, f fleet.InFlight, proof processEnd, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	rep := fleet.Report{Server: server, Service: service, Request: f.Request, Sent: f.Sent, Proven: f.Proven, Trial: f.Trial, At: f.Lost}
	told := k.reportOnceReached(rep, now)
	k.logCrash(rep, k.origin, logrus.Fields{"exchange": f.Exchange, "proof": proof})
	return told
}

// logCrash logs that a server crashed under a request, with what the source alone knows of it.
// The caller holds k.mu.
func (k *Keeper) logCrash(rep fleet.Report, source string, known logrus.Fields) {
	v := k.reports.Verdict(rep.Request, rep.Service, rep.Proven)
	k.log.WithFields(known).WithFields(logrus.Fields{
		"server": rep.Server, "service": rep.Service, "source": source, "fingerprint": shortPrint(rep.Request), "crashes": v.Crashes, "trials_failed": v.Failed,
		"proven": rep.Proven, "trial": rep.Trial, "state": v.State.String(),
	}).Warn("Server crashed under a request.")
}

// shortPrint returns the part of a fingerprint that logs show.
func shortPrint(fingerprint string) string {
	return hex.EncodeToString([]byte(fingerprint[:min(4, len(fingerprint))]))
}

// ReportCold tells the other gateways that a server says that it is cold.
func (k *Keeper) ReportCold(server string, cold time.Duration, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.report(fleet.Report{Server: server, Cold: cold, At: now})
	k.log.WithFields(logrus.Fields{"server": server, "source": k.origin, "cold_ms": cold.Milliseconds()}).Info("Server is cold.")
}

// report numbers a report of this gateway and makes it known. The caller holds
// k.mu.
func (k *Keeper) report(rep fleet.Report) {
	k.number++
	rep.Origin, rep.Number = k.origin, k.number
	k.reports.Add(rep.At, rep)
	k.wake()
	k.wakeTeller()
}

// wakeTeller has new reports passed on. The caller holds k.mu.
func (k *Keeper) wakeTeller() {
	close(k.reported)
	k.reported = make(chan struct{})
}

// Reported returns a channel that is closed with the next new report.
func (k *Keeper) Reported() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.reported
}

// wake answers the pulls that wait. The caller holds k.mu.
func (k *Keeper) wake() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// takeReports takes in what other gateways met at servers.
func (k *Keeper) takeReports(list []*peerv1.ServerReport, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	news := false
	var doubted doubtedServers
	for _, r := range list {
		rep := fleet.Report{
			Origin: r.Origin, Number: r.Number, Server: r.Server, Service: r.Service, Request: string(r.Fingerprint), Proven: r.Proven, Trial: r.Trial, Cleared: r.Cleared,
			Cold: time.Duration(r.ColdMicros) * time.Microsecond, Leaving: r.Leaving, Born: r.Born, Unanswered: r.Unanswered,
			At: now.Add(-time.Duration(r.AgeMicros) * time.Microsecond),
		}
		rep.Sent = rep.At.Add(-time.Duration(max(0, r.RunMicros)) * time.Microsecond)
		if !k.reports.Add(now, rep) {
			continue
		}
		news = true
		if rep.Cleared {
			if s := k.servers[r.Server]; s != nil && rep.Request == "" {
				s.withHealth(func(h *fleet.Health) bool { return h.Answered(now) })
			}
			continue
		}
		if rep.Leaving {
			k.takeLeavingReport(rep, now)
			continue
		}
		s := k.servers[r.Server]
		if rep.Cold > 0 {
			k.takeColdReport(s, rep, now)
			continue
		}
		if s != nil && s.withHealth(func(h *fleet.Health) bool { return k.doubt(h, rep, now) }) {
			doubted.add(rep, now)
		}
		if rep.Request != "" {
			k.logCrash(rep, r.Origin, nil)
		}
	}
	doubted.log(k.log)
	if news {
		k.wake()
		k.wakeTeller()
	}
}

// maxLoggedServers bounds the servers that one line of the log names.
const maxLoggedServers = 8

// doubtedServers are the servers that a list of reports says could not be reached. They share a
// line of the log: an outage brings hundreds of reports at once.
type doubtedServers struct {
	// servers are the first maxLoggedServers of them with the gateways that reported them.
	servers []string
	reports int
	// oldest is the age of the oldest report.
	oldest time.Duration
}

func (d *doubtedServers) add(rep fleet.Report, now time.Time) {
	d.reports++
	d.oldest = max(d.oldest, now.Sub(rep.At))
	if named := rep.Server + " by " + rep.Origin; len(d.servers) < maxLoggedServers && !slices.Contains(d.servers, named) {
		d.servers = append(d.servers, named)
	}
}

func (d *doubtedServers) log(log *logrus.Entry) {
	if d.reports > 0 {
		log.WithFields(logrus.Fields{"servers": d.servers, "reports": d.reports, "oldest_ms": d.oldest.Milliseconds()}).Info("Servers reported unreachable.")
	}
}

// doubt has a server doubted that another gateway could not reach. The caller holds k.mu.
func (k *Keeper) doubt(h *fleet.Health, rep fleet.Report, now time.Time) bool {
	if rep.Unanswered {
		return h.DoubtUnanswered(now, rep.At)
	}
	if k.lag(now) > 0 || now.Sub(k.mirror.Synced()) > outageGap {
		return h.DoubtWarm(now, rep.At)
	}
	return h.Doubt(now, rep.At)
}

// takeColdReport takes in that a server, or nil, says that it is cold. The caller holds k.mu.
func (k *Keeper) takeColdReport(s *server, rep fleet.Report, now time.Time) {
	left := rep.Cold - now.Sub(rep.At)
	if s == nil || left <= s.remainingCold(now) {
		return
	}
	s.holdColdPermits(now)
	s.withHealth(func(h *fleet.Health) bool { h.Cold(now.Add(left)); return true })
	k.log.WithFields(logrus.Fields{"server": rep.Server, "source": rep.Origin, "cold_ms": left.Milliseconds()}).Info("Server is cold.")
}

// reportsSince returns the reports after a sequence. The caller holds k.mu.
func (k *Keeper) reportsSince(sequence uint64, now time.Time) ([]*peerv1.ServerReport, uint64) {
	list, next := k.reports.Since(now, sequence)
	var out []*peerv1.ServerReport
	for _, r := range list {
		out = append(out, &peerv1.ServerReport{
			Origin: r.Origin, Number: r.Number, Server: r.Server, AgeMicros: now.Sub(r.At).Microseconds(), Fingerprint: []byte(r.Request), Proven: r.Proven, Trial: r.Trial, Cleared: r.Cleared,
			ColdMicros: r.Cold.Microseconds(), Leaving: r.Leaving, Born: r.Born, Unanswered: r.Unanswered,
			Service: r.Service, RunMicros: r.RunTime().Microseconds(),
		})
	}
	return out, next
}

// ownReports returns the reports after a sequence for a source to pass on.
func (k *Keeper) ownReports(sequence uint64, now time.Time) ([]*peerv1.ServerReport, uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.reportsSince(sequence, now)
}

// verdict says how to treat a request at a service that servers may have crashed under; proven reports
// whether it is known here to have run to completion there.
func (k *Keeper) verdict(request func() string, service string, proven func() bool) suspect.Verdict {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.reports.Empty() {
		return suspect.Verdict{}
	}
	v := k.reports.Verdict(request(), service, false)
	if v.Runs() || !proven() {
		return v
	}
	return k.reports.Verdict(request(), service, true)
}

// ran tells everyone when a request under which servers crashed, and that was sent after that,
// has run to completion at a service.
func (k *Keeper) ran(request func() string, service string, sent time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.reports.Empty() {
		return
	}
	if f := request(); k.reports.Held(f, service) {
		k.report(fleet.Report{Request: f, Service: service, Cleared: true, At: sent, Sent: sent})
		k.log.WithFields(logrus.Fields{"fingerprint": shortPrint(f), "service": service}).Info("Request cleared: it ran to completion.")
	}
}

// identity returns what makes a request the same one that comes again. One whose body is not
// buffered whole is identified by the part that is and by its size, as far as that is known.
func (req *inflightRequest) identity() suspect.Identity {
	id := suspect.Identity{
		Authority: strings.ToLower(req.host), Method: req.method, Caller: req.caller.Object, Body: req.body,
		Partial: req.unreadBody != nil, Size: req.bodySize,
	}
	id.Path, id.Query = suspect.SplitTarget(req.uri)
	return id
}

// fingerprint returns that of the request's identity.
func (req *inflightRequest) fingerprint() string {
	if req.print == "" {
		id := req.identity()
		f := id.Fingerprint()
		req.print = string(f[:])
	}
	return req.print
}

// key is fingerprint at the request's service, for what is asked for every request.
func (req *inflightRequest) key() uint64 {
	id := req.identity()
	return id.KeyAt(req.service)
}
