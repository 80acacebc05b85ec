// Package serverconn exchanges HTTP/1.1 requests with backend servers, one at a
// time on a connection. It tells apart what proves that nothing was sent from
// what does not, and never takes bytes of one answer for another.
package serverconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cassiatray/internal/adapter/headlimit"
	"cassiatray/internal/adapter/tcp"
	"cassiatray/internal/port"
)

// Limits of connections to backend servers.
const (
	// connectTimeout bounds the opening of a connection: two round trips
	// between regions, about 140 ms, and one lost packet.
	connectTimeout = 500 * time.Millisecond
	// unackedTimeout is how long a server may leave bytes unacknowledged: as
	// above. A server without power is noticed by that alone.
	unackedTimeout = 500 * time.Millisecond
	// idleDefault is how long a connection is kept when the server does not say.
	idleDefault = 4 * time.Second
	// idleShare is the part of the server's own idle timeout after which a
	// connection is no longer used, so that requests do not cross its close.
	idleShare = 0.85
	// maxIdle bounds the idle connections to one server.
	maxIdle = 16
	// bufferSize is the size of a connection's read buffer, in bytes.
	bufferSize = 4 << 10
)

// conn is one connection; a request owns it while it uses it.
type conn struct {
	net.Conn
	r     *bufio.Reader
	limit *headlimit.Reader
	// until is how long the connection may be used; promised is set if that is within an
	// idle timeout that the server stated.
	until    time.Time
	promised bool
	// since is when the connection became idle last; zero for a new one.
	since time.Time
	// roundTrip is how long it took to open.
	roundTrip time.Duration
	// waited is how long it was idle before the request that uses it.
	waited time.Duration
	// answers counts the answers that came on it; refused holds the hashes of the IDs of the
	// requests that were refused on it: callers choose how long IDs are.
	answers int
	refused []uint64
	// pool counts the connection until closed is set.
	pool   *Pool
	closed atomic.Bool
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if !c.closed.Swap(true) {
		c.pool.open.Add(-1)
	}
	return c.Conn.Close()
}

var idSeed = maphash.MakeSeed()

func hashID(id string) uint64 { return maphash.String(idSeed, id) }

// maxRefused bounds the refusals that a connection may carry.
const maxRefused = 32

// mayMix reports whether an answer to the request could be mistaken: a server may write an
// earlier refusal once more, which names the request if that was refused on the connection.
func (c *conn) mayMix(id string) bool { return slices.Contains(c.refused, hashID(id)) }

// Pool implements port.Forwarder.
type Pool struct {
	dialect port.Dialect
	dial    func(ctx context.Context, address string) (net.Conn, error)
	now     func() time.Time
	// most bounds the open connections; 0 for no bound.
	most int
	open atomic.Int64

	mu   sync.Mutex
	idle map[string][]*conn
	// probes are the connections kept for checks, one for each server.
	probes map[string]*conn
	trust  idleTrust
}

// New returns a pool that reads answers by a dialect.
func New(dialect port.Dialect) *Pool { return NewFrom(dialect, netip.Addr{}) }

// NewFrom is New for connections from a local address; the zero value leaves that to the system.
func NewFrom(dialect port.Dialect, source netip.Addr) *Pool {
	d := tcp.Dialer{Connect: connectTimeout, Unacked: unackedTimeout, Source: source}
	return &Pool{dialect: dialect, dial: d.Dial, now: time.Now, idle: map[string][]*conn{}, probes: map[string]*conn{}}
}

// LimitConnections bounds the open connections: beyond that, the one that has been idle for longest
// is closed for a new one. Those in use are not counted out. It is called before the first use.
func (p *Pool) LimitConnections(most int) { p.most = most }

// ClosedError means that the server closed all kept connections within the idle timeout
// that it had stated.
type ClosedError struct{ Connections int }

func (e *ClosedError) Error() string {
	return fmt.Sprintf("server closed all %d kept connections", e.Connections)
}

// take returns a connection for a request, and whether it is new.
//
// Errors: *ClosedError if the request asks for the same process, and those of the network.
func (p *Pool) take(ctx context.Context, address string, r *port.ForwardRequest) (*conn, bool, error) {
	closed := 0
	// Without an ID an answer to the request cannot be told from those to others.
	for !r.Fresh && r.ID != "" {
		c := p.pop(address, r.ID)
		if c == nil {
			break
		}
		c.waited = p.now().Sub(c.since)
		if p.now().Before(c.until) {
			state := tcp.Peek(c.Conn)
			if state == tcp.Quiet && p.trusts(address, c.waited) {
				return c, false, nil
			}
			if state == tcp.Closed && c.promised {
				closed++
			}
		}
		c.Close()
	}
	if r.SameProcess && closed > 0 && !p.keeps(address) {
		return nil, false, &ClosedError{Connections: closed}
	}
	c, err := p.connect(ctx, address)
	return c, true, err
}

func (p *Pool) connect(ctx context.Context, address string) (*conn, error) {
	if p.open.Add(1) > int64(p.most) && p.most > 0 {
		p.closeOldestIdle()
	}
	began := p.now()
	nc, err := p.dial(ctx, address)
	if err != nil {
		p.open.Add(-1)
		return nil, err
	}
	c := &conn{Conn: nc, pool: p, roundTrip: p.now().Sub(began)}
	c.r, c.limit = headlimit.New(nc, bufferSize)
	return c, nil
}

// closeOldestIdle closes the connection that has been idle for longest, of any server.
func (p *Pool) closeOldestIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	server := ""
	for address, list := range p.idle {
		// Each list is in the order in which its connections became idle.
		if len(list) > 0 && (server == "" || list[0].since.Before(p.idle[server][0].since)) {
			server = address
		}
	}
	if server != "" {
		p.idle[server][0].Close()
		p.idle[server] = slices.Delete(p.idle[server], 0, 1)
	}
}

// pop returns the connection that was used last, of those that may carry a request.
func (p *Pool) pop(address, id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i, c := range slices.Backward(list) {
		if !c.mayMix(id) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// keeps reports whether the server has left a kept connection open.
func (p *Pool) keeps(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle[address], func(c *conn) bool { return tcp.Peek(c.Conn) != tcp.Closed })
}

// Kept implements port.Prober.
func (p *Pool) Kept(address string) port.KeptState {
	p.mu.Lock()
	defer p.mu.Unlock()
	state, now := port.KeptNone, p.now()
	for _, c := range p.idle[address] {
		switch peeked := tcp.Peek(c.Conn); {
		case peeked == tcp.Quiet:
			return port.KeptOpen
		case peeked == tcp.Closed && now.Before(c.until):
			// The server's idle timeout may have closed older ones, and stray bytes hide a close.
			state = port.KeptClosed
		}
	}
	return state
}

func (p *Pool) put(address string, c *conn, keep time.Duration, promised bool) {
	c.shrinkBuffer()
	c.since, c.waited = p.now(), 0
	c.until, c.promised = c.since.Add(keep), promised
	c.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdle {
		c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// putBack keeps a connection that was taken and not used, for as long as it was to be kept before.
func (p *Pool) putBack(address string, c *conn, opened bool) {
	if opened {
		p.put(address, c, idleDefault, false)
		return
	}
	c.waited = 0
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) >= maxIdle {
		c.Close()
		return
	}
	at := slices.IndexFunc(list, func(x *conn) bool { return x.since.After(c.since) })
	if at < 0 {
		at = len(list)
	}
	p.idle[address] = slices.Insert(list, at, c)
}

// trusts reports whether a connection to a server that was idle for a time may be used.
func (p *Pool) trusts(address string, waited time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.trust.trusts(address, waited, p.now())
}

// recordReset records how an exchange that began at a time ended, as far as it tells whether the
// server forgets idle connections. It reports whether the server reset a new connection at once.
func (p *Pool) recordReset(address string, c *conn, began time.Time, err error) (atOnce bool) {
	reset := errors.Is(err, syscall.ECONNRESET) && c.r.Buffered() == 0
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	soon := reset && isSoonReset(now.Sub(began), c.roundTrip)
	switch {
	case soon:
		p.trust.reset(address, c.waited, now)
	case err == nil:
		p.trust.answered(address, c.waited, now)
	}
	return soon && c.waited == 0
}

// Expire closes idle connections that are past their time, and those to
// addresses that are no longer in use.
func (p *Pool) Expire(inUse func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.trust.expire(now)
	for address, c := range p.probes {
		if !inUse(address) || now.After(c.until) {
			c.Close()
			delete(p.probes, address)
		}
	}
	for address, list := range p.idle {
		keep := list[:0]
		for _, c := range list {
			if inUse(address) && now.Before(c.until) {
				keep = append(keep, c)
			} else {
				c.Close()
			}
		}
		if len(keep) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = keep
		}
	}
}

// Close closes all idle connections.
func (p *Pool) Close() { p.Expire(func(string) bool { return false }) }
