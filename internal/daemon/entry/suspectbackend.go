package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/suspect"
	"cassiatray/internal/port"
)

// endProbeTimeout limits how long the answer to a caller is delayed to find out whether its server
// has ended: a few round trips.
const endProbeTimeout = 300 * time.Millisecond

// suspectBackend wraps a Backend. It rejects suspects that are refused, and records the
// requests that were in flight when a server's connection broke, or when a server was found to
// have ended after it broke off their answers or their callers left.
type suspectBackend struct {
	port.Backend
	prober port.BackendProber
	node   *Node

	mu sync.Mutex
	// servers holds, by address, the requests that may still be running.
	servers map[string]*unfinished
}

// unfinished are the requests that a server may still be running.
type unfinished struct {
	fleet.Unfinished
	service string
}

// Do implements port.Backend.
func (b *suspectBackend) Do(ctx context.Context, address string, req *port.BackendRequest) (*port.BackendAnswer, error) {
	if b.isRefused(req) {
		return nil, &port.BackendError{Code: port.BackendSuspect, Address: address, Err: suspectError(backendFingerprint(req))}
	}
	began := b.node.clock.Now()
	a, err := b.Backend.Do(ctx, address, req)
	b.recordExchange(address, req, began, err)
	if err == nil && len(req.Body) <= maxProvenBody {
		b.node.suspects.completed.Add(backendFingerprint(req).Key())
	}
	if err == nil && b.node.suspects.nonEmpty.Load() {
		b.node.suspects.recordCompletion(b.node.clock.Now(), b.node.serverByAddress(req.Service, address))
	}
	return a, err
}

// recordExchange records how an exchange with a server ended.
func (b *suspectBackend) recordExchange(address string, req *port.BackendRequest, began time.Time, err error) {
	var be *port.BackendError
	switch {
	case err == nil:
		b.withServer(address, req.Service, func(u *unfinished) { u.Answered(began) })
	case !errors.As(err, &be):
	case be.Code == port.BackendBroken:
		b.node.reportCrash(backendFingerprint(req), req.Service, address, began)
	case be.Code == port.BackendRefused:
		go b.recordEnd(address)
	case be.Sent && (be.Code == port.BackendShort || be.Code == port.BackendCanceled):
		b.noteUnfinished(address, req, began, be.Code == port.BackendCanceled)
	}
}

// noteUnfinished notes a request that its server may not have run to its end. A server that broke
// off its answer is probed at once, so that a caller that sends the request again meets hosts
// that know.
func (b *suspectBackend) noteUnfinished(address string, req *port.BackendRequest, began time.Time, abandoned bool) {
	f := backendFingerprint(req)
	r := fleet.InFlight{Request: string(f[:]), Sent: began, Abandoned: abandoned}
	if abandoned {
		r.Until = req.Deadline
	}
	var crashed []fleet.InFlight
	b.withServer(address, req.Service, func(u *unfinished) { crashed = u.Add(b.node.clock.Now(), r) })
	b.reportCrashes(crashed, req.Service, address)
	if abandoned || len(crashed) > 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), endProbeTimeout)
	defer cancel()
	if _, err := b.prober.Probe(ctx, address); isRefusedConnection(err) {
		b.recordEnd(address)
	}
}

// Probe implements port.BackendProber.
func (b *suspectBackend) Probe(ctx context.Context, address string) (*port.BackendHealth, error) {
	h, err := b.prober.Probe(ctx, address)
	if isRefusedConnection(err) {
		b.recordEnd(address)
	}
	return h, err
}

func isRefusedConnection(err error) bool {
	var be *port.BackendError
	return errors.As(err, &be) && be.Code == port.BackendRefused
}

// recordEnd reports the requests that a server may have been running when it ended.
func (b *suspectBackend) recordEnd(address string) {
	var requests []fleet.InFlight
	service := ""
	b.mu.Lock()
	if u := b.servers[address]; u != nil {
		requests, service = u.Ended(b.node.clock.Now(), false), u.service
	}
	b.mu.Unlock()
	b.reportCrashes(requests, service, address)
}

func (b *suspectBackend) reportCrashes(requests []fleet.InFlight, service, address string) {
	for _, r := range requests {
		b.node.reportCrash(suspect.Fingerprint([]byte(r.Request)), service, address, r.Sent)
	}
}

// withServer calls fn with the requests that a server may still be running, under the lock.
func (b *suspectBackend) withServer(address, service string, fn func(*unfinished)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.servers[address]
	if u == nil {
		u = new(unfinished)
		b.servers[address] = u
	}
	u.service = service
	fn(u)
}

func backendFingerprint(req *port.BackendRequest) suspect.Fingerprint {
	id := suspect.Identity{Authority: req.Service, Method: req.Method, Path: req.Path, Query: req.RawQuery, Body: req.Body}
	return id.Fingerprint()
}

func (b *suspectBackend) isRefused(req *port.BackendRequest) bool {
	s := b.node.suspects
	if !s.nonEmpty.Load() {
		return false
	}
	f := backendFingerprint(req)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.State(b.node.clock.Now(), f, s.isProven(f)) == suspect.Refused
}
