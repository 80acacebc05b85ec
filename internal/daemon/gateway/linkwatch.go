package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/links"
	"cassiatray/internal/port"
	"cassiatray/internal/sleep"
)

const (
	// linkCheckEvery is the pause between two checks of links that are cut, and
	// linkCheckAgain that between two of which the first reached a server.
	linkCheckEvery = 500 * time.Millisecond
	linkCheckAgain = 50 * time.Millisecond
	// linkChecks is how many servers are connected to at a time.
	linkChecks = 3
	// minConnectTime is how long opening a connection must have taken for its end by a
	// deadline to be a sign of a cut link: a few round trips between regions.
	minConnectTime = 250 * time.Millisecond
	// cutOffHold is for how long links must be whole again before callers are sent here.
	cutOffHold = 2 * time.Second
)

// linkWatch watches this gateway's links to backend servers.
type linkWatch struct {
	mu      sync.Mutex
	monitor links.Monitor
	// state is that of the monitor; noisy is set while a response may change it.
	state atomic.Int32
	noisy atomic.Bool
	// suspected has an element when the links have become suspect.
	suspected chan struct{}
}

func newLinkWatch() *linkWatch { return &linkWatch{suspected: make(chan struct{}, 1)} }

// current returns the state of the links.
func (l *linkWatch) current() links.State { return links.State(l.state.Load()) }

// update calls fn with the monitor, under the lock. It reports whether fn changed the state.
func (l *linkWatch) update(fn func(*links.Monitor) bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := fn(&l.monitor)
	l.state.Store(int32(l.monitor.State()))
	l.noisy.Store(!l.monitor.Quiet())
	if changed && l.monitor.State() == links.Suspect {
		select {
		case l.suspected <- struct{}{}:
		default:
		}
	}
	return changed
}

// noteResponse records that a server responded; opened is set if on a new connection.
func (n *Node) noteResponse(opened bool, now time.Time) {
	n.keeper.ServersReached(now)
	if n.links.noisy.Load() {
		n.links.update(func(m *links.Monitor) bool { m.Responded(opened); return false })
	}
}

// noteFailure records what an exchange with a server that failed after some time says about the
// links.
func (n *Node) noteFailure(server string, err error, took time.Duration, now time.Time) {
	var be *port.BackendError
	if !errors.As(err, &be) {
		return
	}
	unacked := errors.Is(err, syscall.ETIMEDOUT)
	switch {
	case be.Code == port.BackendRefused, be.Code == port.BackendConnect && (unacked || took >= minConnectTime):
		n.links.update(func(m *links.Monitor) bool { return m.ConnectFailed(server, n.keeper.serverCount(), now) })
	case be.Code == port.BackendBroken && unacked:
		n.links.update(func(m *links.Monitor) bool { return m.Silent(server, n.keeper.serverCount(), now) })
	}
}

// watchLinks checks the links whenever they become suspect, until they are whole.
func (n *Node) watchLinks(ctx context.Context) {
	var hold <-chan time.Time
	for {
		select {
		case <-n.links.suspected:
			if n.checkLinks(ctx) {
				hold = time.After(cutOffHold)
			}
		case <-hold:
			hold = nil
			n.syncer.SetCutOff(false, time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// checkLinks checks the links until they are whole. It reports whether they were cut.
func (n *Node) checkLinks(ctx context.Context) (wasCut bool) {
	started := time.Now()
	var failed []string
	n.links.update(func(m *links.Monitor) bool { failed = m.Failed(); return false })
	n.log.WithField("servers", failed).Warn("Links to backend servers may be cut; requests go through other gateways.")
	for {
		servers := n.serversToConnect()
		if len(servers) == 0 {
			n.links.update((*links.Monitor).Reset)
			n.log.Info("No servers left to check the links by.")
			return wasCut
		}
		reached := n.connect(ctx, servers)
		if ctx.Err() != nil {
			return wasCut
		}
		known := n.keeper.serverCount()
		changed := n.links.update(func(m *links.Monitor) bool { return m.Checked(reached, known) })
		log := n.log.WithFields(logrus.Fields{"checked": idsOf(servers), "reached": reached, "ms": time.Since(started).Milliseconds()})
		switch state := n.links.current(); {
		case state == links.Whole:
			log.WithField("were_cut", wasCut).Info("Links to backend servers are whole.")
			if wasCut {
				n.retryServers(time.Now())
			}
			return wasCut
		case state == links.Cut && changed:
			wasCut = true
			log.Error("Links to backend servers are cut.")
			n.keeper.DropHeldReports()
			n.syncer.SetCutOff(true, time.Now())
		}
		pause := linkCheckEvery
		if len(reached) > 0 {
			pause = linkCheckAgain
		}
		if !sleep.For(ctx, pause) {
			return wasCut
		}
	}
}

// confirmDelay is how long a held report waits for a response to a request before servers are
// connected to in its place.
const confirmDelay = 200 * time.Millisecond

// confirmLinks has reports told that wait for a response from a server: in quiet hours none may
// come for long. A connection to another server shows as well that this gateway's links work.
func (n *Node) confirmLinks() {
	if !n.confirming.CompareAndSwap(false, true) {
		return
	}
	n.background.Go(func() {
		defer n.confirming.Store(false)
		if !sleep.For(n.ctx, confirmDelay) || !n.keeper.HoldsReports() {
			return
		}
		if reached := n.connect(n.ctx, n.serversToConnect()); len(reached) > 0 {
			n.log.WithField("reached", reached).Debug("Links to servers confirmed for held reports.")
			n.keeper.ServersReached(time.Now())
		}
	})
}

// serversToConnect picks servers at random by which the links are checked: those that are held
// for unreachable or leave come last.
func (n *Node) serversToConnect() []*server {
	var up, down []*server
	for _, s := range n.keeper.Servers() {
		switch {
		case s.isDown(), s.isLeaving():
			down = append(down, s)
		default:
			up = append(up, s)
		}
	}
	shuffle := func(list []*server) {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	shuffle(up)
	shuffle(down)
	all := append(up, down...)
	return all[:min(linkChecks, len(all))]
}

// idsOf returns the IDs of servers.
func idsOf(servers []*server) []string {
	ids := make([]string, len(servers))
	for i, s := range servers {
		ids[i] = s.rec().ID
	}
	return ids
}

// connect opens connections to servers and returns those that it reached.
func (n *Node) connect(ctx context.Context, servers []*server) []string {
	var mu sync.Mutex
	var reached []string
	var wg sync.WaitGroup
	for _, s := range servers {
		rec := s.rec()
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, checkTimeout)
			defer cancel()
			if err := n.prober.Connect(ctx, rec.Address); err != nil {
				n.log.WithField("server", rec.ID).WithError(err).Debug("Server not reached.")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			reached = append(reached, rec.ID)
		})
	}
	wg.Wait()
	slices.Sort(reached)
	return reached
}

// retryServers has servers that were held for unreachable because of this gateway's links tried
// and checked again.
func (n *Node) retryServers(now time.Time) {
	for _, s := range n.keeper.Servers() {
		s.withHealth(func(h *fleet.Health) bool { h.Retry(now); return true })
	}
}
