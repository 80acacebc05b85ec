package httpclient

import (
	"net"
	"sync"

	"cassiatray/internal/adapter/headlimit"
	"cassiatray/internal/adapter/tcp"
)

// expecter is a connection that is told when it is to carry a response.
type expecter interface{ ExpectResponse() }

// Conn is a connection on which the heads of responses are checked as they are read.
type Conn struct {
	*tcp.Conn

	mu sync.Mutex
	// due is set until the head of the response that is expected was read whole.
	due     bool
	checker headlimit.Checker
}

// NewConn returns a connection on which the first response is expected.
func NewConn(nc net.Conn) *Conn {
	c, ok := nc.(*tcp.Conn)
	if !ok {
		c = tcp.NewConn(nc)
	}
	return &Conn{Conn: c, due: true}
}

// ExpectResponse has the next response checked. The one before has been read.
func (c *Conn) ExpectResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.due {
		c.due, c.checker = true, headlimit.Checker{}
	}
}

// Read implements io.Reader.
//
// Errors: *headlimit.MalformedError, and those of tcp.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if bad := c.check(p[:n]); bad != nil {
		return 0, bad
	}
	return n, err
}

// check checks bytes that were read, as far as they are of a head.
func (c *Conn) check(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.due && len(p) > 0 {
		rest, err := c.checker.Check(p)
		if err != nil {
			return err
		}
		p = rest
		if c.checker.Done() {
			c.due = c.checker.Interim()
			c.checker = headlimit.Checker{}
		}
	}
	return nil
}
