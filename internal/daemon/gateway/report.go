package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/suspect"
	peerv1 "cassiatray/proto/peer/v1"
)

// ownFaultShare is the share of all servers from which on a gateway that cannot
// reach them takes its own links to be at fault, and tells nobody.
const ownFaultShare = 0.25

// Report tells the other gateways what this one met at a server: that it could
// not be reached, or that it crashed while it ran a request.
func (k *Keeper) Report(server, request string, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	down := 0
	for _, s := range k.servers {
		if s.down() {
			down++
		}
	}
	if float64(down) > max(1, ownFaultShare*float64(len(k.servers))) {
		return
	}
	// Numbers of a later life of this process are higher.
	k.number = max(k.number+1, uint64(now.UnixMicro()))
	k.reports.Add(now, fleet.Report{Origin: k.cfg.Host, Number: k.number, Server: server, At: now, Request: request})
	k.wake()
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
	for _, r := range list {
		rep := fleet.Report{
			Origin: r.Origin, Number: r.Number, Server: r.Server, Request: string(r.Fingerprint),
			At: now.Add(-time.Duration(r.AgeMicros) * time.Microsecond),
		}
		if r.Origin == k.cfg.Host || !k.reports.Add(now, rep) {
			continue
		}
		news = true
		s := k.servers[r.Server]
		if s != nil && s.change(func(h *fleet.Health) bool { return h.Doubt(now, rep.At) }) {
			k.log.WithFields(logrus.Fields{"server": r.Server, "source": r.Origin, "age_ms": now.Sub(rep.At).Milliseconds()}).
				Info("Server reported unreachable.")
		}
		if rep.Request != "" {
			k.log.WithFields(logrus.Fields{"server": r.Server, "source": r.Origin, "crashes": k.reports.Crashes(rep.Request)}).
				Warn("Server crashed under a request.")
		}
	}
	if news {
		k.wake()
	}
}

// reportsSince returns the reports after a sequence. The caller holds k.mu.
func (k *Keeper) reportsSince(sequence uint64, now time.Time) ([]*peerv1.ServerReport, uint64) {
	list, next := k.reports.Since(now, sequence)
	var out []*peerv1.ServerReport
	for _, r := range list {
		out = append(out, &peerv1.ServerReport{
			Origin: r.Origin, Number: r.Number, Server: r.Server, AgeMicros: now.Sub(r.At).Microseconds(), Fingerprint: []byte(r.Request),
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

// refused reports whether a request has crashed too many servers to run again.
// Ran notes that it ran to its end.
func (k *Keeper) refused(request func() string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.reports.Empty() && k.reports.Refused(request())
}

func (k *Keeper) ran(request func() string, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.reports.Empty() {
		k.reports.Ran(now, request())
	}
}

// fingerprint identifies requests that do the same for the same caller.
func (x *exchange) fingerprint(method string) string {
	f := suspect.Of(x.service, method, x.uri, x.meta.Object, x.body)
	return string(f[:])
}
