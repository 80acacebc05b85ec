// Package steertest runs steer processes and feeds of entry processes of many
// hosts in one process, over a network and a store in memory whose failures
// are set by the caller. It is for tests and measurements.
package steertest

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"cassiatray/internal/adapter/peer"
)

// Net is a network in memory.
type Net struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]struct{}
	cut       Cut
	frozen    map[string]chan struct{}
}

// Cut reports whether two addresses cannot reach each other.
type Cut func(from, to string) bool

// NewNet returns a network without hosts or cuts.
func NewNet() *Net {
	return &Net{listeners: map[string]*listener{}, conns: map[*conn]struct{}{}, cut: func(string, string) bool { return false }, frozen: map[string]chan struct{}{}}
}

// SetCut replaces the cuts and breaks the connections that cross them.
func (n *Net) SetCut(cut Cut) {
	n.mu.Lock()
	n.cut = cut
	var broken []*conn
	for c := range n.conns {
		if cut(c.from, c.to) {
			broken = append(broken, c)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		c.Close()
	}
}

// Freeze holds everything that the process at an address sends or receives.
func (n *Net) Freeze(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen[address] = make(chan struct{})
}

// Thaw lets what was held go on.
func (n *Net) Thaw(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.frozen[address])
	delete(n.frozen, address)
}

// thawAll lets everything go on.
func (n *Net) thawAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, thaw := range n.frozen {
		close(thaw)
		delete(n.frozen, address)
	}
}

// hold waits while the process at an address is frozen, or until done.
func (n *Net) hold(address string, done <-chan struct{}) error {
	n.mu.Lock()
	thaw := n.frozen[address]
	n.mu.Unlock()
	if thaw == nil {
		return nil
	}
	select {
	case <-thaw:
		return nil
	case <-done:
		return errCut
	}
}

// netError is a failure of the network in memory.
type netError string

func (e netError) Error() string { return string(e) }

const (
	errRefused netError = "connection refused"
	errCut     netError = "no route to host"
)

// Traffic counts bytes of one process.
type Traffic struct{ In, Out atomic.Int64 }

// Dial returns the dial function of the process at an address.
func (n *Net) Dial(from string, t *Traffic) peer.DialFunc {
	return func(ctx context.Context, to string) (net.Conn, error) {
		if err := n.hold(from, ctx.Done()); err != nil {
			return nil, err
		}
		n.mu.Lock()
		l, cut := n.listeners[to], n.cut(from, to)
		n.mu.Unlock()
		if cut {
			return nil, errCut
		}
		if l == nil {
			return nil, errRefused
		}
		a, b := newPipe()
		mine, theirs := n.add(a, from, from, to, t), n.add(b, to, from, to, l.traffic)
		select {
		case l.backlog <- theirs:
			return mine, nil
		case <-l.done:
		case <-ctx.Done():
		}
		mine.Close()
		theirs.Close()
		return nil, errRefused
	}
}

func (n *Net) add(c net.Conn, owner, from, to string, t *Traffic) *conn {
	out := &conn{Conn: c, net: n, owner: owner, from: from, to: to, traffic: t, closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[out] = struct{}{}
	return out
}

// Listen opens an address. Closing the listener frees it.
func (n *Net) Listen(address string, t *Traffic) net.Listener {
	l := &listener{net: n, address: address, traffic: t, backlog: make(chan net.Conn), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

type listener struct {
	net     *Net
	address string
	traffic *Traffic
	backlog chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		if l.net.listeners[l.address] == l {
			delete(l.net.listeners, l.address)
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

type conn struct {
	net.Conn
	net      *Net
	owner    string // address of the process that has this end
	from, to string
	traffic  *Traffic
	closed   chan struct{}
	once     sync.Once
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if held := c.net.hold(c.owner, c.closed); held != nil {
		return 0, held
	}
	c.traffic.In.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.net.hold(c.owner, c.closed); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.traffic.Out.Add(int64(n))
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.net.mu.Lock()
	delete(c.net.conns, c)
	c.net.mu.Unlock()
	return c.Conn.Close()
}
