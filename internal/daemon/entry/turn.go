package entry

import (
	"context"
	"strconv"
	"time"

	"cassiatray/api"
	"cassiatray/internal/core/suspect"
	"cassiatray/internal/port"
	"cassiatray/internal/sleep"
	peerv1 "cassiatray/proto/peer/v1"
)

const (
	// turnPollInterval is how long a suspect waits before it requests a turn again while
	// another copy runs: about the duration of a short request.
	turnPollInterval = 50 * time.Millisecond
	// turnCallTimeout limits a call to a turn coordinator: a few round trips between
	// regions.
	turnCallTimeout = 300 * time.Millisecond
	// maxTurnCoordinators is how many coordinators are asked. The second is asked if the
	// first is unreachable, whose failure may not be detected yet.
	maxTurnCoordinators = 2
	// noCoordinatorRetryAfter is the retry delay sent to a caller if no coordinator was
	// reachable for its suspect. By then the membership lists only hosts that are
	// reachable.
	noCoordinatorRetryAfter = 3 * time.Second
)

// awaitTurn waits until a request may run. A request that is not suspected of crashing
// servers may run immediately; of a suspect, one copy runs at a time. If awaitTurn returns
// a function, it must be called when the run has ended.
func (n *Node) awaitTurn(ctx context.Context, r *request) (func(), *api.Error) {
	s := n.suspects
	if !s.nonEmpty.Load() {
		return nil, nil
	}
	f := r.fingerprint()
	for {
		state, quarantine := s.state(n.clock.Now(), f)
		switch {
		case state == suspect.Clear:
			return nil, nil
		case state == suspect.Refused:
			return nil, suspectError(f)
		case quarantine > 0:
			return nil, quarantineError(f, quarantine)
		}
		turn, err := n.requestTurn(ctx, f)
		if err != nil {
			n.log.WithError(err).Warn("No turn coordinator of a suspect is reachable.")
			return nil, quarantineError(f, noCoordinatorRetryAfter)
		}
		if turn != nil {
			return turn.release, nil
		}
		if !sleep.For(ctx, turnPollInterval) {
			// This attempt has not been sent to any server.
			failure := contextError(ctx.Err())
			failure.Outcome = api.OutcomeNotRun
			return nil, failure
		}
	}
}

// turn is the permission to run a suspect now.
type turn struct {
	node        *Node
	coordinator *peerv1.Member
	fingerprint suspect.Fingerprint
	holder      string
}

// requestTurn requests a turn from the coordinator of a suspect. It returns nil if another
// copy has the turn, and an error if no coordinator is reachable.
func (n *Node) requestTurn(ctx context.Context, f suspect.Fingerprint) (*turn, error) {
	snap := n.feed.Snapshot()
	if snap == nil {
		return nil, &port.PeerError{Code: port.PeerConnect, Reason: "no snapshot received yet"}
	}
	t := &turn{node: n, fingerprint: f, holder: n.cfg.Host + "/" + strconv.FormatUint(n.turnRequests.Add(1), 10)}
	maxRun := suspectShareTimeout
	if deadline, ok := ctx.Deadline(); ok {
		maxRun += time.Until(deadline)
	}
	hosts := []string{n.cfg.Host}
	for _, h := range snap.Hosts {
		if h.Name != n.cfg.Host {
			hosts = append(hosts, h.Name)
		}
	}
	coordinators := suspect.Keepers(f, hosts)
	var lastErr error
	for _, name := range coordinators[:min(maxTurnCoordinators, len(coordinators))] {
		t.coordinator = nil
		if name != n.cfg.Host {
			t.coordinator = snap.Members[name]
		}
		granted, err := t.acquire(ctx, maxRun)
		switch {
		case err != nil:
			lastErr = err
		case granted:
			return t, nil
		default:
			return nil, nil
		}
	}
	return nil, lastErr
}

func (t *turn) acquire(ctx context.Context, run time.Duration) (bool, error) {
	if t.coordinator == nil {
		return t.node.suspects.grantTurn(t.node.clock.Now(), t.fingerprint, t.holder, run), nil
	}
	reply, err := t.call(ctx, &peerv1.SuspectTurn{Fingerprint: t.fingerprint[:], Holder: t.holder, ForMicros: run.Microseconds()})
	if err != nil {
		return false, err
	}
	return reply.GetSuspectTurnResult().GetGranted(), nil
}

// release returns the turn to its coordinator. If the message is lost, the turn expires.
func (t *turn) release() {
	if t.coordinator == nil {
		t.node.suspects.releaseTurn(t.fingerprint, t.holder)
		return
	}
	if _, err := t.call(context.Background(), &peerv1.SuspectTurn{Fingerprint: t.fingerprint[:], Holder: t.holder, End: true}); err != nil {
		t.node.log.WithError(err).Debug("Releasing a suspect's turn failed.")
	}
}

func (t *turn) call(ctx context.Context, body *peerv1.SuspectTurn) (*peerv1.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, turnCallTimeout)
	defer cancel()
	return t.node.peers.Call(ctx, t.coordinator.EntryPeerAddress, &peerv1.Request{Body: &peerv1.Request_SuspectTurn{SuspectTurn: body}})
}

// serveTurn handles a request of another host to grant or release a turn.
func (n *Node) serveTurn(r *peerv1.SuspectTurn) (*peerv1.Reply, error) {
	if len(r.Fingerprint) != len(suspect.Fingerprint{}) || r.Holder == "" || r.ForMicros < 0 {
		return nil, &port.PeerError{Code: port.PeerRefused, Reason: "malformed turn of a suspect"}
	}
	f := suspect.Fingerprint(r.Fingerprint)
	out := new(peerv1.SuspectTurnResult)
	if r.End {
		n.suspects.releaseTurn(f, r.Holder)
	} else {
		out.Granted = n.suspects.grantTurn(n.clock.Now(), f, r.Holder, time.Duration(r.ForMicros)*time.Microsecond)
	}
	return &peerv1.Reply{Body: &peerv1.Reply_SuspectTurnResult{SuspectTurnResult: out}}, nil
}

// grantTurn grants a turn unless another copy has it. It grants none if this host already
// refuses or quarantines the suspect: the requesting host checks again once it has received
// the report.
func (s *suspects) grantTurn(now time.Time, f suspect.Fingerprint, holder string, run time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.State(now, f, s.isProven(f)) == suspect.Refused || s.table.Hold(now, f) > 0 {
		return false
	}
	return s.turns.Take(now, f, holder, now.Add(run))
}

func (s *suspects) releaseTurn(f suspect.Fingerprint, holder string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turns.End(f, holder)
}
