package callerconn

import (
	"time"

	"cassiatray/internal/adapter/tcp"
)

// crossing is how long a request may have waited to be taken for one that crosses the answer
// which closes its connection; its caller sends it again.
const crossing = 100 * time.Millisecond

// ending reports whether no more requests are taken. The caller holds c.mu.
func (c *conn) ending() bool { return c.closing || c.broken }

// noteBehind notes whether bytes of a request wait behind those in hand. Only who may read
// from the connection calls it. Bytes that the kernel holds count where more than one request
// waits, or the server stops; else the reader soon reads them.
func (c *conn) noteBehind() {
	c.mu.Lock()
	defer c.mu.Unlock()
	waits := c.r.Buffered() > 0 || (!c.behind.IsZero() || c.s.draining.Load()) && tcp.Peek(c.nc) == tcp.Stray
	switch {
	case !waits || c.inHand == 0:
		c.behind = time.Time{}
	case c.behind.IsZero():
		c.behind = time.Now()
	}
}

// claimLast reports whether an answer may say that it is the connection's last:
// no request behind it was taken. From then on none is. Unless it must be the last, it is
// not while a request has waited behind it for longer than crossing.
func (c *conn) claimLast(x *exchange, must bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last != x.sent || !must && !c.behind.IsZero() && time.Since(c.behind) > crossing {
		return false
	}
	c.closing = true
	return true
}
