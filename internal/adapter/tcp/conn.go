package tcp

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// BrokenError is the end of a stream whose connection has failed: the peer may have had more to
// send.
type BrokenError struct{ Err error }

func (e *BrokenError) Error() string {
	return fmt.Sprintf("stream ends on a connection that failed: %v", e.Err)
}

// Unwrap returns the failure.
func (e *BrokenError) Unwrap() error { return e.Err }

// Conn is a connection whose stream ends with io.EOF only if the peer ended it in order. The kernel
// reports a reset once, to a read or to a write, and says afterwards that the stream has ended.
type Conn struct {
	net.Conn
	// writing is held by a write.
	writing sync.Mutex
	// failed is the first failure of a read or a write.
	failed atomic.Pointer[BrokenError]
}

// NewConn returns a connection that remembers the failures of nc.
func NewConn(nc net.Conn) *Conn { return &Conn{Conn: nc} }

// Read implements io.Reader.
//
// Errors: *BrokenError at the end of the stream of a connection that has failed, and those of the
// network.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		c.note(err)
		return n, err
	}
	if failed := c.settle(); failed != nil {
		return n, failed
	}
	return n, err
}

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.note(err)
	return n, err
}

// note keeps the first failure. A deadline that has passed is none of the connection.
func (c *Conn) note(err error) {
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.failed.CompareAndSwap(nil, &BrokenError{Err: err})
	}
}

// settle returns the failure of the connection once the stream has ended. A write in progress may
// have been told of a reset: it is interrupted and waited for.
func (c *Conn) settle() *BrokenError {
	if err := c.SetWriteDeadline(time.Unix(1, 0)); err != nil && !errors.Is(err, net.ErrClosed) {
		c.note(err)
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.failed.Load()
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSOCK
	}
	return sc.SyscallConn()
}
