// Package callerconn serves HTTP/1.1 to callers. Unlike net/http's server it
// reads requests that a caller sends ahead of earlier answers, and handles them
// side by side when they allow it; answers keep the order of the requests.
package callerconn

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"cassiatray/internal/adapter/tcp"
	"cassiatray/internal/core/membudget"
)

const (
	// maxAhead bounds the requests of one connection that are handled at once.
	// It bounds what one caller can occupy, with maxHeld to half a megabyte.
	maxAhead = 8
	// maxAheadAll bounds the requests of all connections that are handled ahead
	// of an earlier one on theirs. Beyond it they wait for their turn.
	maxAheadAll = 512
	// maxHeld is how much of an answer is held while earlier ones are not yet
	// sent, in bytes. The handler of a larger one waits.
	maxHeld = 64 << 10
	// maxUnread is how much of a request's body is read and dropped so that its
	// connection can be kept, in bytes.
	maxUnread = 256 << 10
	// bufferSize is the size of a connection's read buffer, in bytes.
	bufferSize = 4 << 10
	// stallTimeout is how long a caller may take none of an answer's bytes.
	stallTimeout = 30 * time.Second
	// stopStall is stallTimeout, and that of request bodies, while the server stops.
	stopStall = 5 * time.Second
	// lingerTimeout is how long a connection is still read after its last answer,
	// so that the answer is not lost to a reset.
	lingerTimeout = 500 * time.Millisecond
	// acceptDrain is how long a server that stops still accepts connections that
	// were made before, acceptLimit how long while some wait: the time for which
	// a caller tries to open one.
	acceptDrain = 50 * time.Millisecond
	acceptLimit = time.Second
	// maxIdleWorkers bounds the goroutines that wait for a request; more are
	// started for each request and end with it.
	maxIdleWorkers = 32
	// sweepEvery is how often idle and stalled connections are looked for.
	sweepEvery = 500 * time.Millisecond
	// freshFor is how long a server that stops waits for the first request on a
	// connection: the time for which its caller tries to open one.
	freshFor = time.Second
)

// Limits bound what callers may send and how slowly. Zero is no limit.
type Limits struct {
	// HeadBytes bounds a request's head.
	HeadBytes int
	// HeadLines bounds a head's lines.
	HeadLines int
	// HeadTimeout bounds the time from a head's first byte to its last.
	HeadTimeout time.Duration
	// BodyTimeout bounds the time from a body's first byte to its last.
	BodyTimeout time.Duration
	// IdleTimeout is how long a connection may be without a request.
	IdleTimeout time.Duration
}

// Server serves callers. Its fields are set before Serve.
type Server struct {
	Handler http.Handler
	// Independent reports whether a request may be handled beside others of its
	// connection. One that may not neither overtakes others nor is overtaken.
	Independent func(*http.Request) bool
	// Limits returns the limits in force.
	Limits func() Limits
	// RefusalBody returns the body and its content type for what is refused here: a head that is no
	// proper request or for which there is no memory, or a connection beyond MaxConns, with
	// ErrConnections. Nil for no bodies.
	RefusalBody func(status int, err error) (contentType string, body []byte)
	// RefusalHeader is sent with what is refused here.
	RefusalHeader http.Header
	// PassOptions hands requests about the server as a whole (OPTIONS *) to the handler.
	PassOptions bool
	// Refused is told of what was no proper request; nil for nobody.
	Refused func(remote string, status int, err error)
	// Budget bounds what requests, answers and connections hold; nil for no bound.
	Budget *membudget.Budget
	// MaxConns bounds the open connections; 0 for no bound.
	MaxConns int
	// Closed is told of a connection that was closed to make room, or because its caller made no
	// progress; nil for nobody.
	Closed func(cause Cause, remote string)

	draining    atomic.Bool
	ahead       atomic.Int32
	work        chan *exchange
	idleWorkers atomic.Int32
	// stopped is closed when the last connection has ended.
	stopped chan struct{}

	mu       sync.Mutex
	listener net.Listener
	// accepted is closed when no more connections are accepted, which a server that stops does
	// until acceptUntil.
	accepted    chan struct{}
	acceptUntil time.Time
	conns       map[*conn]struct{}
	open        atomic.Int32
	done        sync.WaitGroup
}

// Serve accepts connections until Shutdown or Close. It returns nil then, and
// else the listener's error. After Shutdown it takes what was made before, and ends.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener, s.conns = l, map[*conn]struct{}{}
	s.work, s.stopped = make(chan *exchange), make(chan struct{})
	accepted := make(chan struct{})
	s.accepted = accepted
	afterStop := s.draining.Load()
	if afterStop {
		s.acceptUntil = time.Now().Add(acceptLimit)
	}
	s.mu.Unlock()
	if afterStop {
		// Shutdown came first and waits for nothing here.
		defer s.done.Wait()
		defer l.Close()
	}
	defer close(accepted)
	if afterStop {
		if d, ok := l.(deadliner); !ok || d.SetDeadline(time.Now().Add(acceptDrain)) != nil {
			return nil
		}
	}
	stop := make(chan struct{})
	defer close(stop)
	go s.sweep(stop)
	pause := time.Duration(0)
	for {
		nc, err := l.Accept()
		if err != nil {
			if s.acceptsOn(l, err) {
				continue
			}
			if s.draining.Load() || errors.Is(err, net.ErrClosed) {
				return nil
			}
			// Out of descriptors, mostly: connections that end make room.
			if ne := net.Error(nil); errors.As(err, &ne) && !errors.Is(err, os.ErrDeadlineExceeded) {
				pause = min(max(2*pause, 5*time.Millisecond), 100*time.Millisecond)
				time.Sleep(pause)
				continue
			}
			return err
		}
		pause = 0
		if !s.makeRoom(nc) {
			continue
		}
		c := newConn(s, nc)
		c.limitBuffers()
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		s.done.Go(func() {
			c.serve()
			s.left()
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		})
	}
}

// acceptsOn reports whether a server that stops goes on accepting although its time for that is
// over: a process that rarely gets the processor has not come to all connections made before.
func (s *Server) acceptsOn(l net.Listener, err error) bool {
	d, ok := l.(deadliner)
	if !ok || !errors.Is(err, os.ErrDeadlineExceeded) || !tcp.Pending(l) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.acceptUntil) && d.SetDeadline(time.Now().Add(acceptDrain)) == nil
}

type deadliner interface{ SetDeadline(time.Time) error }

// sweep looks after connections that wait for too long, until stop is closed and
// the last connection has ended.
func (s *Server) sweep(stop <-chan struct{}) {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	ended := make(chan struct{})
	for {
		select {
		case <-stop:
			stop = nil
			go func() {
				s.done.Wait()
				close(ended)
			}()
		case <-ended:
			close(s.stopped)
			return
		case now := <-t.C:
			limits := s.Limits()
			s.each(func(c *conn) { c.sweep(now, limits) })
		}
	}
}

// Shutdown takes connections that were made before, then no more, closes idle
// ones and waits until all requests that were read have been answered.
//
// Errors: that of the context when it ends first.
func (s *Server) Shutdown(ctx context.Context) error {
	s.draining.Store(true)
	s.mu.Lock()
	l, accepted := s.listener, s.accepted
	s.acceptUntil = time.Now().Add(acceptLimit)
	s.mu.Unlock()
	if l == nil {
		// Serve has not begun. It will take what was made before, and end.
		return nil
	}
	if d, ok := l.(deadliner); ok && d.SetDeadline(time.Now().Add(acceptDrain)) == nil {
		if err := wait(ctx, accepted); err != nil {
			return err
		}
	}
	l.Close()
	// What was accepted is counted from then on.
	if err := wait(ctx, accepted); err != nil {
		return err
	}
	s.each((*conn).wake)
	idle := make(chan struct{})
	go func() {
		s.done.Wait()
		close(idle)
	}()
	return wait(ctx, idle)
}

// wait waits for a channel to be closed.
//
// Errors: that of the context when it ends first.
func wait(ctx context.Context, closed <-chan struct{}) error {
	select {
	case <-closed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close closes the listener and all connections at once.
func (s *Server) Close() {
	s.draining.Store(true)
	s.mu.Lock()
	l := s.listener
	s.mu.Unlock()
	if l != nil {
		l.Close()
	}
	s.each((*conn).abort)
	s.done.Wait()
}

func (s *Server) each(fn func(*conn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		fn(c)
	}
}

// mayAhead takes room for one more request that is handled ahead of its turn.
func (s *Server) mayAhead() bool {
	if s.ahead.Add(1) <= maxAheadAll {
		return true
	}
	s.ahead.Add(-1)
	return false
}
