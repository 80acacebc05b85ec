package gateway

import (
	"sync"
	"time"

	"cassiatray/internal/port"
)

// relayPeers are the gateways that requests are relayed to.
type relayPeers struct {
	streams port.PeerStreamer

	mu sync.Mutex
	// paused is until when helpers are passed over, and services until when no requests to
	// them are relayed.
	paused, services map[string]time.Time
}

func newRelayPeers(streams port.PeerStreamer) *relayPeers {
	return &relayPeers{streams: streams, paused: map[string]time.Time{}, services: map[string]time.Time{}}
}

func (p *relayPeers) pause(host string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused[host] = until
}

func (p *relayPeers) pauseService(service string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.services[service] = until
}

// serviceWaits reports whether no requests to a service are relayed.
func (p *relayPeers) serviceWaits(service string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.services[service])
}

// pausedNow returns the helpers that are passed over, and forgets others.
func (p *relayPeers) pausedNow(now time.Time) map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]bool{}
	for host, until := range p.paused {
		if !now.Before(until) {
			delete(p.paused, host)
			continue
		}
		out[host] = true
	}
	return out
}
