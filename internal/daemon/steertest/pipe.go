package steertest

import (
	"io"
	"net"
	"sync"
	"time"
)

// buffer is one direction of a connection, without a bound, as the kernels of
// both hosts hold what a frozen process does not read.
type buffer struct {
	mu     sync.Mutex
	data   []byte
	closed bool
	more   chan struct{} // closed and replaced on each change
}

func newBuffer() *buffer { return &buffer{more: make(chan struct{})} }

// wake needs b.mu.
func (b *buffer) wake() {
	close(b.more)
	b.more = make(chan struct{})
}

func (b *buffer) write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0, io.ErrClosedPipe
	}
	b.data = append(b.data, p...)
	b.wake()
	return len(p), nil
}

func (b *buffer) read(p []byte) (int, error) {
	for {
		b.mu.Lock()
		if len(b.data) > 0 {
			n := copy(p, b.data)
			b.data = b.data[n:]
			b.mu.Unlock()
			return n, nil
		}
		closed, more := b.closed, b.more
		b.mu.Unlock()
		if closed {
			return 0, io.EOF
		}
		<-more
	}
}

func (b *buffer) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.closed {
		b.closed = true
		b.wake()
	}
}

// pipe is one end of a connection.
type pipe struct{ in, out *buffer }

func newPipe() (net.Conn, net.Conn) {
	a, b := newBuffer(), newBuffer()
	return &pipe{in: a, out: b}, &pipe{in: b, out: a}
}

// Read implements net.Conn.
func (p *pipe) Read(b []byte) (int, error) { return p.in.read(b) }

// Write implements net.Conn.
func (p *pipe) Write(b []byte) (int, error) { return p.out.write(b) }

// Close implements net.Conn.
func (p *pipe) Close() error {
	p.in.close()
	p.out.close()
	return nil
}

// LocalAddr implements net.Conn.
func (p *pipe) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr implements net.Conn.
func (p *pipe) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// SetDeadline implements net.Conn. Deadlines are those of streams.
func (p *pipe) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn.
func (p *pipe) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn.
func (p *pipe) SetWriteDeadline(time.Time) error { return nil }
