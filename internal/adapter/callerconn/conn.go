package callerconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"cassiatray/internal/adapter/headlimit"
	"cassiatray/internal/adapter/tcp"
	"cassiatray/internal/core/membudget"
)

// conn is one connection of a caller. Its reader runs in serve; each request has
// a goroutine of its own.
type conn struct {
	s      *Server
	nc     net.Conn
	r      *bufio.Reader
	limit  *headlimit.Reader
	ctx    context.Context
	cancel context.CancelFunc
	opened time.Time
	remote string
	// headUntil is when the head that is being read must be whole, and timed
	// whether that is a deadline of the connection already.
	headUntil time.Time
	timed     bool
	// smallBuffer is set once the kernel keeps little of what the caller sends.
	smallBuffer atomic.Bool
	// head counts what the request that is being read holds.
	head headHold
	// bodyWait is writing for the read of a request's body that has not ended.
	bodyWait atomic.Int64
	// headBegan is writing for the head of a request that is read and not yet in hand.
	headBegan atomic.Int64
	// bodyBegan is writing for the whole of a body, while it is read.
	bodyBegan atomic.Int64
	// writing is how long after opened the write began that has not ended, in
	// nanoseconds; zero without one.
	writing atomic.Int64

	mu sync.Mutex
	// changed wakes the reader when it waits for requests to end.
	changed *sync.Cond
	// inHand counts the requests that were taken and whose answers are not all
	// sent; newest is the one that was taken last. Only the first of those in
	// hand may be one that goes beside no other, and then it is the newest.
	inHand int
	newest *exchange
	// last is closed once the answer before the next request's is sent.
	last chan struct{}
	// reading is set while the reader waits in a read for what may also end by
	// a change of the connection's state.
	reading bool
	// waiting is set while a request that was read waits for others to end.
	waiting bool
	// behind is since when bytes of a request wait behind those in hand; zero for none.
	behind time.Time
	// woken is set when the reader's wait was cut short by a deadline.
	woken bool
	// idleSince is when the last answer was sent.
	idleSince time.Time
	// closing is set when an answer says that it is the last.
	closing bool
	broken  bool
}

func newConn(s *Server, nc net.Conn) *conn {
	now := time.Now()
	c := &conn{s: s, nc: nc, opened: now, idleSince: now, remote: nc.RemoteAddr().String(), last: make(chan struct{})}
	close(c.last)
	c.changed = sync.NewCond(&c.mu)
	c.r, c.limit = headlimit.New(headReader{c}, bufferSize)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// errStop ends the reading of a connection without a failure.
const errStop = readEnd("no more requests")

type readEnd string

func (e readEnd) Error() string { return string(e) }

// serve reads requests until the connection ends, and returns when the last
// answer is sent.
func (c *conn) serve() {
	defer c.head.release()
	err := c.readAll()
	if !errors.Is(err, errStop) {
		// The caller is gone, and nobody waits for its answers.
		c.cancel()
	}
	c.mu.Lock()
	for c.inHand > 0 {
		c.changed.Wait()
	}
	linger := c.closing && !c.broken
	c.mu.Unlock()
	c.cancel()
	if linger {
		c.linger()
	}
	c.nc.Close()
}

func (c *conn) readAll() error {
	for taken := 0; ; taken++ {
		limits := c.s.Limits()
		if err := c.await(limits.IdleTimeout, taken == 0); err != nil {
			return err
		}
		c.headBegan.Store(max(1, int64(time.Since(c.opened))))
		c.noteBehind()
		r, status, err := c.read(limits)
		if err != nil {
			c.reject(status, err)
			return errStop
		}
		if err := c.take(r); err != nil {
			return err
		}
		if r.Close {
			return c.watch()
		}
	}
}

// await returns once a byte of the next request is there.
func (c *conn) await(idle time.Duration, first bool) error {
	for c.r.Buffered() == 0 {
		c.mu.Lock()
		switch {
		case c.ending():
			c.mu.Unlock()
			return c.watch()
		case c.overdue(idle, first):
			c.mu.Unlock()
			if tcp.Peek(c.nc) == tcp.Quiet {
				return errStop
			}
			// A request has arrived meanwhile and is answered.
			_, err := c.r.Peek(1)
			return err
		}
		if err := c.wait(1); err != nil {
			return err
		}
	}
	return nil
}

// overdue reports whether a connection without a request is to be closed. The
// caller holds c.mu.
func (c *conn) overdue(idle time.Duration, first bool) bool {
	switch {
	case c.inHand > 0:
		return false
	case c.s.draining.Load():
		return !first || time.Since(c.opened) >= freshFor
	}
	return idle > 0 && time.Since(c.idleSince) >= idle
}

// take hands a request to its goroutine as soon as it may run.
func (c *conn) take(r *http.Request) error {
	ahead, err := c.room(r)
	if err != nil {
		return err
	}
	x := &exchange{c: c, r: r, sent: make(chan struct{}), ahead: ahead, headSize: c.head.scan.text}
	x.hold.Init(c.s.Budget, time.Now(), x)
	if held := c.head.taken(); held > 0 {
		x.hold.Force(held)
	}
	c.mu.Lock()
	if c.ending() {
		c.mu.Unlock()
		x.hold.Release()
		if ahead {
			c.s.ahead.Add(-1)
		}
		return c.watch()
	}
	c.inHand++
	c.headBegan.Store(0)
	x.taken = true
	c.s.Budget.Add(membudget.RequestBytes)
	x.before = c.last
	c.last, c.newest = x.sent, x
	c.mu.Unlock()
	if !hasBody(r) {
		c.noteBehind()
	} else {
		x.bodyRead = make(chan struct{})
		x.body = &requestBody{x: x, from: r.Body, request: r}
		r.Body = x.body
	}
	x.r = r.WithContext(c.ctx)
	c.s.run(x)
	if x.body != nil {
		<-x.bodyRead
	}
	return nil
}

func hasBody(r *http.Request) bool { return r.Body != nil && r.Body != http.NoBody }

// alone reports whether a request is handled beside no other of its connection.
func (c *conn) alone(r *http.Request) bool { return hasBody(r) || !c.s.Independent(r) }

// room waits until one more request may be handled: none beside one that goes
// alone, and none beside others while the server stops, which otherwise a caller that always
// sends ahead could keep from ending. It reports whether it took room of those handled ahead.
func (c *conn) room(r *http.Request) (ahead bool, err error) {
	c.mu.Lock()
	c.waiting = true
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.waiting = false
		c.mu.Unlock()
	}()
	for {
		c.mu.Lock()
		if c.inHand == 0 || c.closing || c.broken {
			c.mu.Unlock()
			return false, nil
		}
		if c.inHand < maxAhead && !c.s.draining.Load() && !c.alone(r) && !c.alone(c.newest.r) && c.s.mayAhead() {
			c.mu.Unlock()
			return true, nil
		}
		if err := c.waitChange(); err != nil {
			return false, err
		}
	}
}

// waitChange waits for a change of the connection's state, or for its end: as
// long as the buffer has room the reader goes on reading, so that a caller that
// leaves is noticed. The caller holds c.mu, which is released.
func (c *conn) waitChange() error {
	n := c.r.Buffered()
	if n == c.r.Size() {
		c.changed.Wait()
		c.mu.Unlock()
		return nil
	}
	return c.wait(n + 1)
}

// wait waits until n bytes are buffered, or for signal. The caller holds c.mu,
// which is released.
func (c *conn) wait(n int) error {
	c.reading = true
	c.mu.Unlock()
	_, err := c.r.Peek(n)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.woken {
		c.woken = false
		c.nc.SetReadDeadline(time.Time{})
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return err
}

// watch reads no more requests. It waits until the last answer is sent, or for
// the caller to leave.
func (c *conn) watch() error {
	c.mu.Lock()
	c.waiting = true
	c.mu.Unlock()
	for {
		c.mu.Lock()
		if c.inHand == 0 || c.broken {
			c.mu.Unlock()
			return errStop
		}
		if err := c.waitChange(); err != nil {
			return err
		}
	}
}

// wake makes the reader look at the connection's state again.
func (c *conn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.signal()
}

// signal is wake for a caller that holds c.mu.
func (c *conn) signal() {
	c.changed.Broadcast()
	if c.reading && !c.woken {
		c.woken = true
		c.nc.SetReadDeadline(time.Unix(1, 0))
	}
}

// sweep wakes the reader of a connection that has been idle for too long, and
// ends one whose caller takes none of an answer.
func (c *conn) sweep(now time.Time, limits Limits) {
	stall := stallTimeout
	if c.s.draining.Load() {
		stall = stopStall
	}
	if c.stalled(&c.writing, now) > stall {
		c.s.closed(CauseStalledAnswer, c)
		c.dropUnsent()
		c.abort()
		return
	}
	if c.stalled(&c.bodyWait, now) > stall || limits.BodyTimeout > 0 && c.stalled(&c.bodyBegan, now) > limits.BodyTimeout {
		c.s.closed(CauseStalledBody, c)
		c.stopBody()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if idle := limits.IdleTimeout; c.inHand == 0 && (c.s.draining.Load() || idle > 0 && now.Sub(c.idleSince) >= idle) {
		c.signal()
	}
}

// headReader reads from a connection. The first read for a head that is not
// buffered whole sets its deadline: most heads need none.
type headReader struct{ c *conn }

// Read implements io.Reader.
func (h headReader) Read(p []byte) (int, error) {
	if c := h.c; !c.headUntil.IsZero() && !c.timed {
		c.timed = true
		c.nc.SetReadDeadline(c.headUntil)
	}
	n, err := h.c.nc.Read(p)
	if h.c.limit.On() {
		if full := h.c.head.add(h.c, p[:n]); full != nil {
			return 0, full
		}
	}
	return n, err
}

// ended notes that a request's answer is sent whole, or never will be.
func (c *conn) ended(x *exchange, broken bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHand--
	if x.taken {
		c.s.Budget.Add(-membudget.RequestBytes)
	}
	if c.inHand == 0 {
		c.newest, c.idleSince = nil, time.Now()
	}
	c.broken = c.broken || broken
	if x.ahead {
		c.s.ahead.Add(-1)
	}
	close(x.sent)
	if broken {
		c.nc.Close()
	}
	// While nothing waits for this answer, the reader's wait for the next request
	// is the right one.
	if broken || c.closing || c.waiting || c.s.draining.Load() {
		c.signal()
	} else {
		c.changed.Broadcast()
	}
}

// abort ends the connection without regard to answers.
func (c *conn) abort() {
	c.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = true
	c.nc.Close()
	c.signal()
}

// linger closes the connection for writing and reads on for a moment: closing it
// with unread bytes would reset it, and the last answer could be lost.
func (c *conn) linger() {
	half, ok := c.nc.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
	if _, err := io.Copy(io.Discard, io.LimitReader(c.nc, maxUnread)); err != nil {
		// The connection is closed next, whatever it says.
		return
	}
}
