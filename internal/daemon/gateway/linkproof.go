package gateway

import (
	"time"

	"cassiatray/internal/core/fleet"
)

// An exchange with a server that fails is the fault of the server or of the link to it. What a
// gateway meets at a server is told to the others once another exchange shows that its links
// work: those of a gateway that is cut off from all servers must not take servers from others.

const (
	// heldReportLife is how long a report waits for that.
	heldReportLife = 5 * time.Second
	// maxHeldReports bounds the reports that wait; the oldest are dropped.
	maxHeldReports = 64
)

// heldReport is a report that waits for a response from a server after a time.
type heldReport struct {
	fleet.Report
	since time.Time
}

// proofSince returns from when on a response shows that links work, for a failure that took
// some time to show: one from the second half of that time is as good as a later one.
func proofSince(now time.Time, took time.Duration) time.Time { return now.Add(-took / 2) }

// ServersReached notes that a server has responded: links to servers work.
func (k *Keeper) ServersReached(now time.Time) {
	k.reached.Store(int64(now.Sub(k.born)))
	if !k.holdsReports.Load() {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	held := k.heldReports
	k.heldReports = nil
	k.holdsReports.Store(false)
	for _, h := range held {
		if now.Sub(h.At) < heldReportLife {
			k.report(h.Report)
		}
	}
}

// HoldsReports reports whether reports wait for a response from a server.
func (k *Keeper) HoldsReports() bool { return k.holdsReports.Load() }

// DropHeldReports forgets what was met at servers over links that do not work.
func (k *Keeper) DropHeldReports() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.heldReports = nil
	k.holdsReports.Store(false)
}

// reportOnceReached reports at once if a server has responded since a time, and otherwise with
// the next response. It returns whether it reported at once. The caller holds k.mu.
func (k *Keeper) reportOnceReached(rep fleet.Report, since time.Time) bool {
	if last := k.reached.Load(); last > 0 && k.born.Add(time.Duration(last)).After(since) {
		k.report(rep)
		return true
	}
	if len(k.heldReports) == maxHeldReports {
		k.heldReports = k.heldReports[1:]
	}
	k.heldReports = append(k.heldReports, heldReport{rep, since})
	k.holdsReports.Store(true)
	return false
}
