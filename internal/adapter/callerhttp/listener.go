package callerhttp

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"cassiatray/api"
)

// Limits of the connections of callers.
const (
	// MaxPerSource bounds the connections of one address.
	MaxPerSource = 1024
	// MaxConnections bounds those of all.
	MaxConnections = 16384
	// refuseTimeout bounds the sending of a refusal.
	refuseTimeout = time.Second
)

// Listener bounds the connections of callers. It remembers only sources with
// open connections.
type Listener struct {
	net.Listener
	perSource int
	all       int

	mu      sync.Mutex
	sources map[netip.Addr]int
	total   int
}

// NewListener wraps a listener. At most perSource connections of one address,
// and all together, are open at once; what is over is answered with a typed
// failure and closed.
func NewListener(l net.Listener, perSource, all int) *Listener {
	return &Listener{Listener: l, perSource: perSource, all: all, sources: map[netip.Addr]int{}}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		source := sourceOf(c)
		if l.enter(source) {
			return newConn(c, func() { l.leave(source) }), nil
		}
		refuse(c)
	}
}

func sourceOf(c net.Conn) netip.Addr {
	a, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return a.Addr().Unmap()
}

func (l *Listener) enter(source netip.Addr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.total >= l.all || l.sources[source] >= l.perSource {
		return false
	}
	l.total++
	l.sources[source]++
	return true
}

func (l *Listener) leave(source netip.Addr) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total--
	if l.sources[source]--; l.sources[source] == 0 {
		delete(l.sources, source)
	}
}

// refuse answers before any request is read: nothing of it was run. The answer
// fits the send buffer of a new connection, so this does not wait.
func refuse(c net.Conn) {
	defer c.Close()
	c.SetWriteDeadline(time.Now().Add(refuseTimeout))
	c.Write(rawFailure(http.StatusServiceUnavailable, tooManyConnections("too many connections from this address")))
}

func tooManyConnections(message string) *api.Error {
	return &api.Error{
		Code: api.CodeTooManyConnections, Message: message,
		Outcome: api.OutcomeNotRun, RetryAfterMillis: time.Second.Milliseconds(),
	}
}

// rawFailure is a whole HTTP answer with a typed failure.
func rawFailure(status int, e *api.Error) []byte {
	body, _ := json.Marshal(e)
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n%s: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n",
		status, http.StatusText(status), api.HeaderOutcome, e.Outcome, len(body))
	out.Write(body)
	return out.Bytes()
}

// conn is an accepted connection of a caller.
type conn struct {
	net.Conn
	once  sync.Once
	leave func()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(c.leave)
	return c.Conn.Close()
}

// tcpConn is conn with what only TCP connections have.
type tcpConn struct {
	*net.TCPConn
	counted *conn
}

// Close implements net.Conn.
func (c *tcpConn) Close() error { return c.counted.Close() }

// newConn returns a connection that calls leave when it is closed.
func newConn(c net.Conn, leave func()) net.Conn {
	counted := &conn{Conn: c, leave: leave}
	if t, ok := c.(*net.TCPConn); ok {
		return &tcpConn{TCPConn: t, counted: counted}
	}
	return counted
}
