package callerconn

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"cassiatray/internal/adapter/tcp"
	"cassiatray/internal/core/membudget"
)

const (
	// smallAnswer is up to which size an answer counts as part of its connection, in bytes.
	smallAnswer = 8 << 10
	// writePiece is how much of an answer is written at once, in bytes: a caller that takes a
	// piece makes progress.
	writePiece = 32 << 10
	// unsentBytes bounds what the kernel keeps unsent of a connection's answers, in bytes. It
	// keeps megabytes else for a caller that reads nothing.
	unsentBytes = 128 << 10
	// narrowBuffer is the receive buffer of connections while the budget is short, in bytes: the
	// kernel takes twice as much memory. A caller 80 ms away sends 6 Mbit/s through it.
	narrowBuffer = 64 << 10
	// closeAfter is how long a caller must have made no progress for its connection to be closed
	// in favour of a new one.
	closeAfter = time.Second
	// headGrace is for how long a head that is being read keeps its connection from being closed
	// as idle: most come in one piece.
	headGrace = 50 * time.Millisecond
	// mostLooked bounds the connections that are looked at to make room for a new one.
	mostLooked = 8
)

// Cause is why a connection was closed, or not accepted. The values label metrics.
type Cause string

// Values of Cause.
const (
	CauseIdle          Cause = "idle"
	CauseSlow          Cause = "slow"
	CauseNoConnections Cause = "no_connections"
	CauseMemory        Cause = "memory"
	CauseStalledBody   Cause = "stalled_body"
	CauseStalledAnswer Cause = "stalled_answer"
)

// errNoRoom ends the reading of a head for which there is no memory.
const errNoRoom = readEnd("no memory")

// errLines ends the reading of a head with too many header lines.
const errLines = readEnd("too many header lines")

// retryAfter is when a caller may come back that was refused for lack of room, in seconds.
const retryAfter = "1"

// refusal returns the header and the body of an answer that ends a connection on which no request
// was handled.
func (s *Server) refusal(status int, err error) (http.Header, []byte) {
	h := s.RefusalHeader.Clone()
	if h == nil {
		h = http.Header{}
	}
	var body []byte
	if s.RefusalBody != nil {
		var contentType string
		contentType, body = s.RefusalBody(status, err)
		h.Set("Content-Type", contentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set("Connection", "close")
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", retryAfter)
	}
	return h, body
}

// ErrConnections is why a connection beyond the bound is refused.
const ErrConnections = readEnd("too many connections")

// refuse answers on a connection that is not accepted: nothing of a request was read.
func (s *Server) refuse(nc net.Conn) {
	const status = http.StatusServiceUnavailable
	h, body := s.refusal(status, ErrConnections)
	resp := http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: h, ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body)), Close: true}
	// It fits the send buffer of a new connection. The caller may be gone.
	nc.SetWriteDeadline(time.Now().Add(closeAfter))
	if err := resp.Write(nc); err != nil && s.Refused != nil {
		s.Refused(nc.RemoteAddr().String(), status, err)
	}
	nc.Close()
}

// Connections returns how many connections are open.
func (s *Server) Connections() int { return int(s.open.Load()) }

func (s *Server) closed(cause Cause, c *conn) {
	if s.Closed != nil {
		s.Closed(cause, c.remote)
	}
}

// makeRoom counts a new connection. If there are too many, it closes the one that has been idle
// or without progress for longest, and if there is none it refuses the new one.
func (s *Server) makeRoom(nc net.Conn) bool {
	open := s.open.Add(1)
	s.Budget.Add(membudget.ConnectionBytes)
	if s.MaxConns > 0 && int(open) > s.MaxConns && !s.closeSlowest() {
		if s.Closed != nil {
			s.Closed(CauseNoConnections, nc.RemoteAddr().String())
		}
		s.refuse(nc)
		s.left()
		return false
	}
	return true
}

// Waiting returns on how many connections the newest request waits for a server.
func (s *Server) Waiting() int {
	n := 0
	s.each(func(c *conn) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.newest != nil && c.newest.hold.Phase() == membudget.Working {
			n++
		}
	})
	return n
}

// StopBodies ends the reading of all request bodies, whose handlers get a time-out.
func (s *Server) StopBodies() {
	s.each(func(c *conn) {
		if c.bodyBegan.Load() > 0 {
			c.stopBody()
		}
	})
}

// Abort ends all connections at once, after Shutdown.
func (s *Server) Abort() {
	s.each(func(c *conn) {
		c.dropUnsent()
		c.abort()
	})
}

func (s *Server) left() {
	s.open.Add(-1)
	s.Budget.Add(-membudget.ConnectionBytes)
}

// closeSlowest closes the connection that has been without a request for longest, or, if all
// have one, the one whose caller has made no progress for longest.
func (s *Server) closeSlowest() bool {
	now := time.Now()
	for range mostLooked {
		var idle, slow *conn
		var idleFor, slowFor time.Duration
		s.each(func(c *conn) {
			if for_, ok := c.idleFor(now); ok && (idle == nil || for_ > idleFor) {
				idle, idleFor = c, for_
			}
			if for_ := max(c.stalled(&c.writing, now), c.stalled(&c.bodyWait, now)); for_ > slowFor {
				slow, slowFor = c, for_
			}
		})
		switch {
		case idle != nil && idle.closeIdle():
			s.closed(CauseIdle, idle)
			return true
		case idle != nil:
			// Its next request has just arrived.
		case slow != nil && slowFor >= closeAfter:
			s.closed(CauseSlow, slow)
			slow.dropUnsent()
			slow.abort()
			return true
		default:
			return false
		}
	}
	return false
}

// idleFor returns how long the connection has had no request, or how long the head of one has
// been incomplete.
func (c *conn) idleFor(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inHand > 0 || c.broken || c.closing {
		return 0, false
	}
	return now.Sub(c.idleSince), true
}

// closeIdle ends a connection without a request, unless bytes of one have just arrived.
func (c *conn) closeIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inHand > 0 || c.broken {
		return false
	}
	if tcp.Peek(c.nc) == tcp.Stray || c.headBegan.Load() > 0 && c.stalled(&c.headBegan, time.Now()) < headGrace {
		// It is looked at again after those without.
		c.idleSince = time.Now()
		return false
	}
	c.broken = true
	c.cancel()
	c.nc.Close()
	c.signal()
	return true
}

// stalled returns for how long the write or read has lasted that at tells of.
func (c *conn) stalled(at *atomic.Int64, now time.Time) time.Duration {
	if since := at.Load(); since > 0 {
		return now.Sub(c.opened) - time.Duration(since)
	}
	return 0
}

// limitBuffers bounds what the kernel keeps of a new connection. Connections of a listener do not
// inherit that from one that accepts multipath TCP.
func (c *conn) limitBuffers() {
	if c.s.Budget.Limit() <= 0 {
		return
	}
	if err := tcp.LimitUnsent(c.nc, unsentBytes); err != nil && c.s.Refused != nil {
		c.s.Refused(c.remote, 0, err)
	}
	c.narrow()
}

// narrow bounds what the kernel keeps of a caller's bytes once the budget is short: they count
// towards the memory of the machine before they are read.
func (c *conn) narrow() {
	if !c.s.Budget.Short() || c.smallBuffer.Load() || c.smallBuffer.Swap(true) {
		return
	}
	if t, ok := c.nc.(interface{ SetReadBuffer(int) error }); ok && t.SetReadBuffer(narrowBuffer) != nil {
		// The connection is closed already.
		return
	}
}

// stopBody ends the read of a request's body: its reader gets a time-out.
func (c *conn) stopBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.woken = true
	c.nc.SetReadDeadline(time.Unix(1, 0))
}

// EndForOthers implements membudget.Owner. While no byte of its request has been sent
// on, its handler answers.
func (x *exchange) EndForOthers(p membudget.Phase) {
	x.c.s.closed(CauseMemory, x.c)
	if p == membudget.Receiving {
		x.c.stopBody()
		return
	}
	x.c.dropUnsent()
	x.c.cancel()
	x.c.nc.Close()
}

// dropUnsent has the kernel drop what the caller does not take once the connection is closed. It
// keeps that for minutes else.
func (c *conn) dropUnsent() { c.resetAtClose(true) }

// resetAtClose sets whether closing the connection resets it, by whomever it is closed.
func (c *conn) resetAtClose(on bool) {
	seconds := -1
	if on {
		seconds = 0
	}
	if t, ok := c.nc.(interface{ SetLinger(int) error }); ok && t.SetLinger(seconds) != nil {
		// The connection is closed already.
		return
	}
}

// EndForOthers implements membudget.Owner: the head that is read is given up.
func (c *conn) EndForOthers(membudget.Phase) {
	c.s.closed(CauseMemory, c)
	c.cancel()
	c.nc.Close()
}

// GiveUpBody notes that no more of the request's body is read. Its answer is the connection's
// last.
func (x *exchange) GiveUpBody() {
	if x.body != nil {
		x.body.end(true)
	}
}

// HeadSize returns the size of the request's head as it was sent, in bytes.
func (x *exchange) HeadSize() int { return x.headSize }

// Hold returns what counts the bytes of the request and of its answer.
func (x *exchange) Hold() *membudget.Holder { return &x.hold }
