package gateway

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"cassiatray/internal/core/links"
	"cassiatray/internal/core/suspect"
	peerv1 "cassiatray/proto/peer/v1"
)

// A request under which several servers crashed runs on in trials (suspect.Judge). All
// gateways agree on one that makes them, its coordinator: the first in rendezvous order of those
// with links to servers. The others offer it the request when a trial is due. A coordinator that
// cannot be reached, or whose build knows no trials, is passed over for the next.

const (
	// trialAskPause is the time between two offers of a request by one gateway.
	trialAskPause = 500 * time.Millisecond
	// coordinatorPause is for how long a coordinator is passed over that makes no trials.
	coordinatorPause = 10 * time.Second
	// maxCoordinators is how many coordinators one request is offered to.
	maxCoordinators = 3
	// failedTrialPause is for how long a coordinator makes no further trial after one that got no
	// response: the crash, if it was one, may not be known yet.
	failedTrialPause = 2 * time.Second
	// maxTrialStates bounds the requests whose offers are remembered.
	maxTrialStates = 1024
)

// Reasons for which a request under which servers crashed is rejected.
const (
	// reasonCrashesServers comes from gateways of builds that make no trials.
	reasonCrashesServers rejectReason = "crashes servers"
	reasonRefused        rejectReason = "crashed servers in trials"
	// reasonSuspect ends a request that may have run: another attempt could crash another server.
	reasonSuspect   rejectReason = "servers crashed under its attempts"
	reasonProbation rejectReason = "servers crashed under it, no trial due"
	reasonOnTrial   rejectReason = "servers crashed under it, trial under way"
)

// trials is the gateway's state of requests under which servers crashed.
type trials struct {
	mu sync.Mutex
	// turns are those of the requests whose coordinator this gateway is.
	turns suspect.Turns
	// started numbers the trials.
	started int
	// nextAsk is when requests may be offered again, and passedOver until when coordinators
	// are passed over.
	nextAsk    map[string]time.Time
	passedOver map[string]time.Time
}

func newTrials() *trials {
	return &trials{nextAsk: map[string]time.Time{}, passedOver: map[string]time.Time{}}
}

// take takes the turn of a request until a time, and returns who has it; empty if another copy
// has it.
func (t *trials) take(now time.Time, f suspect.Fingerprint, until time.Time) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.started++
	holder := strconv.Itoa(t.started)
	if !t.turns.Take(now, f, holder, until) {
		return ""
	}
	return holder
}

func (t *trials) end(f suspect.Fingerprint, holder string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.turns.End(f, holder)
}

// mayAsk reports whether a request may be offered to coordinators now, and notes that it is.
func (t *trials) mayAsk(now time.Time, f string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.nextAsk[f]) {
		return false
	}
	if len(t.nextAsk) >= maxTrialStates {
		clear(t.nextAsk)
	}
	t.nextAsk[f] = now.Add(trialAskPause)
	return true
}

func (t *trials) passOver(host string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.passedOver[host] = until
}

func (t *trials) isPassedOver(now time.Time, host string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.passedOver[host])
}

// verdict says how to treat the request at its service.
func (n *Node) verdict(req *inflightRequest) suspect.Verdict {
	return n.keeper.verdict(req.fingerprint, req.service, func() bool { return n.completed.Has(req.key()) })
}

// admitSuspect decides whether a request may run here, if servers crashed under it. If so, end
// is to be called after the run; otherwise the request has ended.
func (n *Node) admitSuspect(w http.ResponseWriter, r *http.Request, req *inflightRequest) (admitted bool, end func()) {
	v := n.verdict(req)
	now := time.Now()
	switch {
	case v.Runs():
		req.trial, req.crashes = false, v.Crashes
		return true, func() {}
	case v.State == suspect.Refused:
		n.rejectSuspect(w, req, reasonRefused, v.Until.Sub(now))
		return false, nil
	case now.Before(v.Until), req.origin != "" && !req.trial:
		n.rejectSuspect(w, req, reasonProbation, v.Until.Sub(now))
		return false, nil
	case req.origin != "":
		return n.startTrial(w, req, v, now)
	}
	return n.offerTrial(w, r, req, v, now)
}

// endSuspect ends a request that may run no more because servers crashed under it since its attempts
// began. The server that broke off the latest one counts: whether it has crashed shows later.
func (n *Node) endSuspect(w http.ResponseWriter, req *inflightRequest) bool {
	if req.trial || len(req.attempts) == 0 {
		return false
	}
	v, now := n.verdict(req), time.Now()
	crashes := max(v.Crashes, req.crashes+req.brokenOff)
	switch {
	case v.Runs() && crashes < suspect.TrialThreshold:
		req.crashes, req.brokenOff = crashes, 0
		return false
	case req.mayHaveRun:
		n.writeFailure(w, req, string(reasonSuspect))
	case v.State == suspect.Refused:
		n.rejectSuspect(w, req, reasonRefused, v.Until.Sub(now))
	default:
		n.rejectSuspect(w, req, reasonProbation, v.Until.Sub(now))
	}
	return true
}

// maySuspect reports whether one more crash has the request held back, or it is already.
func (n *Node) maySuspect(req *inflightRequest) bool {
	v := n.verdict(req)
	return !v.Runs() || v.Crashes+1 >= suspect.TrialThreshold
}

// rejectSuspect ends a request that may not run for some time.
func (n *Node) rejectSuspect(w http.ResponseWriter, req *inflightRequest, reason rejectReason, wait time.Duration) {
	req.comeBackAfter = max(0, wait)
	n.writeError(w, req, http.StatusServiceUnavailable, string(reason))
}

// offerTrial runs the request as a trial if this gateway is its coordinator, and offers it to
// the coordinator otherwise.
func (n *Node) offerTrial(w http.ResponseWriter, r *http.Request, req *inflightRequest, v suspect.Verdict, now time.Time) (admitted bool, end func()) {
	req.trial, req.maxRuns = true, 1
	view := n.keeper.View()
	if len(view.hosts) == 0 {
		return n.startTrial(w, req, v, now)
	}
	asked := 0
	for _, host := range suspect.Keepers(req.suspectID(), view.hosts) {
		if host == n.cfg.Host {
			return n.startTrial(w, req, v, now)
		}
		if n.endUnadmitted(w, req) {
			return false, nil
		}
		coordinator := view.helper(host)
		if coordinator == nil || !req.allowsRegion(coordinator.Region) || n.trials.isPassedOver(now, host) {
			continue
		}
		if asked == maxCoordinators || !n.mayRelay(req) || asked == 0 && !n.trials.mayAsk(now, req.fingerprint()) {
			break
		}
		asked++
		withdrawn := req.withdrawn
		if ended, _ := n.relayTo(w, r, req, coordinator); ended {
			return false, nil
		}
		if req.withdrawn > withdrawn {
			// The next one in order is not the coordinator of this request.
			break
		}
		n.trials.passOver(host, now.Add(coordinatorPause))
	}
	n.rejectSuspect(w, req, reasonOnTrial, 0)
	return false, nil
}

// startTrial has the request run here as a trial unless one is under way. The turn of a trial
// that may have failed lapses some time after its deadline.
func (n *Node) startTrial(w http.ResponseWriter, req *inflightRequest, v suspect.Verdict, now time.Time) (admitted bool, end func()) {
	f := req.suspectID()
	holder := n.trials.take(now, f, req.deadline.Add(answerGrace+failedTrialPause))
	if holder == "" {
		n.rejectSuspect(w, req, reasonOnTrial, 0)
		return false, nil
	}
	req.trial, req.maxRuns = true, 1
	log := n.log.WithFields(logrus.Fields{
		"request": req.caller.ID, "fingerprint": shortPrint(req.fingerprint()), "crashes": v.Crashes, "trials_failed": v.Failed,
	})
	log.Info("Trial of a request under which servers crashed.")
	return true, func() {
		result := "completed"
		switch {
		case req.completed:
			n.trials.end(f, holder)
		case req.runs == 0 && !req.mayHaveRun:
			result = "unsent"
			n.trials.end(f, holder)
		default:
			result = "failed"
		}
		n.metrics.trials.WithLabelValues(result).Inc()
		log.WithField("result", result).Info("Trial ended.")
	}
}

// trialRejected handles that a coordinator itself ended a request that was offered to it. It reports
// whether the request has ended, and otherwise whether it may be offered to another gateway.
func (n *Node) trialRejected(w http.ResponseWriter, req *inflightRequest, head *peerv1.RelayHead) (ended, again bool) {
	if rejectReason(head.Reason) == reasonCrashesServers && req.unreadBody == nil {
		return false, true
	}
	n.writeRejection(w, req, req.rejection)
	return true, false
}

// suspectID returns the fingerprint as suspect.Keepers and suspect.Turns take it.
func (req *inflightRequest) suspectID() suspect.Fingerprint {
	return suspect.Fingerprint([]byte(req.fingerprint()))
}

// helper returns the gateway of a host, or nil if it is not known.
func (v *view) helper(host string) *links.Gateway {
	for i := range v.helpers {
		if v.helpers[i].Host == host {
			return &v.helpers[i]
		}
	}
	return nil
}
