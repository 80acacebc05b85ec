package gateway

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"cassiatray/internal/core/ratelimit"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

const (
	// permitTimeoutSameRegion and permitTimeoutOtherRegion bound an ask for a permit: a
	// few times the network delay, and a pause of a process that has used up its share
	// of the processor.
	permitTimeoutSameRegion  = 120 * time.Millisecond
	permitTimeoutOtherRegion = 250 * time.Millisecond
	// permitTimeShare is the largest part of a request's remaining time that one ask
	// may take.
	permitTimeShare = 0.2
	// maxPermitAsks is how many servers a request may ask permits for. With more, a
	// request could spend its time on asking while all servers are at their limit.
	maxPermitAsks = 4
	// unreachablePause is how long a gateway that did not reply is not asked again.
	unreachablePause = time.Second
	// permitLife is how long after the ask a permit may be used: a process may be paused
	// while it waits for the reply.
	permitLife = 500 * time.Millisecond
	// noIssuerPause is how long no permits are asked for a server whose issuer and
	// deputy cannot be reached.
	noIssuerPause = 250 * time.Millisecond
)

// permitResult says how an ask for a permit ended. The values appear in metrics and in
// the log.
type permitResult string

// Values of permitResult.
const (
	permitGranted permitResult = "granted"
	permitDenied  permitResult = "denied"
	// permitNeedless means that the server no longer names a limit.
	permitNeedless permitResult = "needless"
	// permitUnreachable means that neither issuer nor deputy replied.
	permitUnreachable permitResult = "unreachable"
	// permitExpired means that the reply came too late to be used.
	permitExpired permitResult = "expired"
)

// permitAsk describes an ask for a permit, for the log.
type permitAsk struct {
	Server string       `json:"server"`
	Result permitResult `json:"result"`
	MS     int64        `json:"ms"`
}

// permitPeers asks other gateways for permits.
type permitPeers struct {
	pool port.PeerCaller

	mu sync.Mutex
	// unreachable holds when gateways last failed to reply.
	unreachable map[string]time.Time
}

// UnknownIssuerError is the refusal of a gateway that does not issue a server's permits.
type UnknownIssuerError struct{ Server string }

func (e *UnknownIssuerError) Error() string { return "no issuer of permits for server " + e.Server }

// ErrorCode implements peer.CodedError.
func (e *UnknownIssuerError) ErrorCode() string { return "not-issuer" }

// call asks a gateway for a permit, or tells it a limit. A gateway that did not reply is
// not called again for unreachablePause.
//
// Errors: *port.PeerError.
func (p *permitPeers) call(ctx context.Context, to *ratelimit.Gateway, ask *peerv1.PermitAsk) (*peerv1.PermitReply, error) {
	p.mu.Lock()
	at, failed := p.unreachable[to.Host]
	p.mu.Unlock()
	if failed && time.Since(at) < unreachablePause {
		return nil, &port.PeerError{Code: port.PeerConnect, Address: to.Address}
	}
	reply, err := p.pool.Call(ctx, to.Address, &peerv1.Request{Body: &peerv1.Request_PermitAsk{PermitAsk: ask}})
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		if !port.IsPeerCode(err, port.PeerRefused) {
			p.unreachable[to.Host] = time.Now()
		}
		return nil, err
	}
	delete(p.unreachable, to.Host)
	if r := reply.GetPermitReply(); r != nil {
		return r, nil
	}
	return nil, &port.PeerError{Code: port.PeerMismatch, Address: to.Address, Sent: true}
}

// location returns the server as Issuers needs it.
func (s *server) location() ratelimit.Server {
	rec := s.rec()
	return ratelimit.Server{ID: rec.ID, Domain: rec.Domain, Region: s.region}
}

// issue takes a permit of a server whose issuer or deputy this gateway is. It reports
// whether a request may be sent, and otherwise the time until it may.
func (s *server) issue(now time.Time, role ratelimit.Role) (bool, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.namedLimit.Named {
		return true, 0
	}
	return s.permits.Take(now, s.namedLimit.Rate, role)
}

// permitPause returns how long no permit is asked for.
func (s *server) permitPause(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, s.nextPermitAsk.Sub(now))
}

func (s *server) pausePermitAsks(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextPermitAsk = until
}

// takePermit reports whether the request may be sent to a server that names a limit. If
// not, further requests do not ask for a while.
func (n *Node) takePermit(v *view, req *inflightRequest, s *server, now time.Time) bool {
	result, pause := n.askIssuers(v, s, req.deadline.Sub(now))
	ended := time.Now()
	if result == permitGranted && ended.Sub(now) > permitLife {
		result = permitExpired
	}
	if pause > 0 {
		s.pausePermitAsks(ended.Add(pause))
	}
	req.permitAsks = append(req.permitAsks, permitAsk{Server: s.rec().ID, Result: result, MS: ended.Sub(now).Milliseconds()})
	n.metrics.permits.WithLabelValues(string(result)).Inc()
	return result == permitGranted || result == permitNeedless
}

// askIssuers asks the issuer of a server for a permit, and the deputy if the issuer
// cannot be reached. If there is no permit, it returns how long to wait before asking
// again.
func (n *Node) askIssuers(v *view, s *server, left time.Duration) (permitResult, time.Duration) {
	ask := s.permitAsk()
	issuer, deputy := ratelimit.Issuers(s.location(), v.gateways)
	if issuer == nil || !n.keeper.introduced(time.Now()) {
		// There may be an issuer that is not known yet.
		granted, wait := s.issue(time.Now(), ratelimit.RoleDeputy)
		return resultOf(granted, s.limit()), wait
	}
	for i, g := range []*ratelimit.Gateway{issuer, deputy} {
		if g == nil {
			continue
		}
		if g.Host == n.cfg.Host {
			role := ratelimit.RoleIssuer
			if i > 0 {
				role = ratelimit.RoleDeputy
			}
			granted, wait := s.issue(time.Now(), role)
			return resultOf(granted, s.limit()), wait
		}
		timeout := permitTimeoutOtherRegion
		if g.Region == n.cfg.Region {
			timeout = permitTimeoutSameRegion
		}
		ctx, cancel := context.WithTimeout(n.ctx, min(timeout, time.Duration(permitTimeShare*float64(left))))
		reply, err := n.permitPeers.call(ctx, g, ask)
		cancel()
		if err != nil {
			n.log.WithFields(logrus.Fields{"server": s.rec().ID, "peer": g.Host}).WithError(err).Debug("No reply to an ask for a permit.")
			continue
		}
		n.updateLimit(s, limitFromWire(reply.Limit, time.Now()), g.Host)
		return resultOf(reply.Granted, s.limit()), time.Duration(reply.RetryAfterMicros) * time.Microsecond
	}
	return permitUnreachable, noIssuerPause
}

func resultOf(granted bool, l ratelimit.Limit) permitResult {
	switch {
	case !l.Named:
		return permitNeedless
	case granted:
		return permitGranted
	}
	return permitDenied
}

// tellIssuer tells the issuer of a server that its limit was named or has ended. The
// issuer may send no requests there itself.
func (n *Node) tellIssuer(s *server) {
	issuer, _ := ratelimit.Issuers(s.location(), n.keeper.View().gateways)
	if issuer == nil || issuer.Host == n.cfg.Host {
		return
	}
	ask := s.permitAsk()
	ask.TellOnly = true
	n.background.Go(func() {
		ctx, cancel := context.WithTimeout(n.ctx, permitTimeoutOtherRegion)
		defer cancel()
		if _, err := n.permitPeers.call(ctx, issuer, ask); err != nil {
			n.log.WithFields(logrus.Fields{"server": s.rec().ID, "peer": issuer.Host}).WithError(err).Debug("Issuer not told of a limit; it hears of it with the next ask.")
		}
	})
}

// permitAsk returns a message about the server with its limit.
func (s *server) permitAsk() *peerv1.PermitAsk {
	rec := s.rec()
	return &peerv1.PermitAsk{Server: rec.ID, Born: rec.Born, Limit: limitToWire(s.limit(), time.Now())}
}

// ServePermit answers another gateway's ask for a permit.
//
// Errors: *UnknownIssuerError.
func (n *Node) ServePermit(ask *peerv1.PermitAsk, from string) (*peerv1.PermitReply, error) {
	s := n.keeper.server(ask.Server, ask.Born)
	if s == nil {
		return nil, &UnknownIssuerError{Server: ask.Server}
	}
	now := time.Now()
	n.updateLimit(s, limitFromWire(ask.Limit, now), from)
	reply := &peerv1.PermitReply{}
	if !ask.TellOnly {
		role := ratelimit.RoleOf(n.cfg.Host, s.location(), n.keeper.View().gateways)
		if role == ratelimit.RoleNone {
			return nil, &UnknownIssuerError{Server: ask.Server}
		}
		granted, wait := s.issue(now, role)
		reply.Granted, reply.RetryAfterMicros = granted, wait.Microseconds()
	}
	reply.Limit = limitToWire(s.limit(), now)
	return reply, nil
}

// limitFromWire returns a limit that a peer told, and limitToWire the message that tells
// one. A limit that no response stands behind is the zero value.
func limitFromWire(l *peerv1.ServerLimit, now time.Time) ratelimit.Limit {
	if l == nil || l.AgeMicros < 0 || !(l.Rate >= 0) || math.IsInf(l.Rate, 0) {
		return ratelimit.Limit{}
	}
	return ratelimit.Limit{Named: l.Named, Rate: l.Rate, At: now.Add(-time.Duration(l.AgeMicros) * time.Microsecond)}
}

func limitToWire(l ratelimit.Limit, now time.Time) *peerv1.ServerLimit {
	if l.At.IsZero() {
		return &peerv1.ServerLimit{AgeMicros: -1}
	}
	return &peerv1.ServerLimit{Named: l.Named, Rate: l.Rate, AgeMicros: max(0, now.Sub(l.At).Microseconds())}
}
