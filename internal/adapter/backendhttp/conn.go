package backendhttp

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"cassiatray/internal/adapter/httpclient"
)

// conn counts what was given to the network, so that a failed exchange can
// tell whether any byte of it may have left.
type conn struct {
	*httpclient.Conn
	sealed atomic.Bool

	mu      sync.Mutex
	written int64
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: connectTimeout}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: httpclient.NewConn(c)}, nil
}

// Write counts before it writes: a failed write may have sent a part.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed.Load() {
		return 0, net.ErrClosed
	}
	c.written += int64(len(p))
	return c.Conn.Write(p)
}

func (c *conn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal closes the connection for good and returns the final count: a write
// that the transport begins afterwards sends nothing.
func (c *conn) seal() int64 {
	c.sealed.Store(true)
	c.Conn.Close()
	return c.count()
}

// exchange follows the connections that one request was given.
type exchange struct {
	mu   sync.Mutex
	uses []use
}

// use is one connection with its count when the request got it.
type use struct {
	conn   *conn
	before int64
}

// follow adds a connection that the request was given.
func (x *exchange) follow(nc net.Conn) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.uses = append(x.uses, use{conn: c, before: c.count()})
}

// abandon closes the connections of an exchange without a whole answer, so
// that none is reused, and reports whether a byte may have left.
func (x *exchange) abandon() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	sent := false
	for _, u := range x.uses {
		if u.conn.seal() > u.before {
			sent = true
		}
	}
	return sent
}
