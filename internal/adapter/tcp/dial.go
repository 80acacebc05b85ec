// Package tcp dials connections that notice a silent peer and remember that they have failed.
package tcp

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dialer opens TCP connections.
type Dialer struct {
	// Connect bounds the opening of a connection.
	Connect time.Duration
	// Unacked is how long sent bytes may stay unacknowledged before the
	// connection breaks. It stands in for the kernel's minutes of resending to
	// a peer that lost power or is cut off.
	Unacked time.Duration
	// KeepAlive is the interval of probes on an idle connection; zero for none.
	KeepAlive time.Duration
	// Source is the local address of connections; the zero value leaves it to the system.
	Source netip.Addr
}

// Dial opens a connection, a *Conn, to an address ("ip:port").
func (d Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	nd := net.Dialer{
		Timeout: d.Connect,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: d.KeepAlive > 0, Idle: d.KeepAlive, Interval: d.KeepAlive, Count: 2,
		},
		Control: func(_, _ string, c syscall.RawConn) error { return d.control(c) },
	}
	if d.Source.IsValid() {
		nd.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(d.Source, 0))
	}
	if d.KeepAlive == 0 {
		nd.KeepAlive = -1
	}
	nc, err := nd.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return NewConn(nc), nil
}

// DialNetwork is Dial in the form that net/http wants.
func (d Dialer) DialNetwork(ctx context.Context, _, address string) (net.Conn, error) {
	return d.Dial(ctx, address)
}

func (d Dialer) control(c syscall.RawConn) error {
	var fault error
	err := c.Control(func(fd uintptr) {
		fault = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Unacked.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return fault
}

// State is what an idle connection has received.
type State int

// Values of State.
const (
	// Quiet means that nothing arrived: the connection can be used.
	Quiet State = iota
	// Stray means that bytes arrived that nobody asked for.
	Stray
	// Closed means that the peer closed or reset the connection.
	Closed
)

// Peek looks at an idle connection without waiting or reading.
func Peek(conn net.Conn) State {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return Quiet
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Quiet
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == unix.EAGAIN || err == unix.EINTR:
		case err != nil || n == 0:
			state = Closed
		default:
			state = Stray
		}
	})
	if err != nil {
		return Closed
	}
	return state
}

// Pending reports whether connections wait for a listener to accept them.
func Pending(l net.Listener) bool {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	err = raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(polled, 0)
		pending = err == nil && n > 0 && polled[0].Revents&unix.POLLIN != 0
	})
	return err == nil && pending
}

// LimitUnsent bounds the bytes that the kernel takes of a connection and has not sent yet. It does
// not slow a connection down whose peer reads.
func LimitUnsent(conn net.Conn, bytes int) error {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var fault error
	err = raw.Control(func(fd uintptr) {
		fault = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, bytes)
	})
	if err != nil {
		return err
	}
	return fault
}
