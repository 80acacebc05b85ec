package tcp

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"
)

// connect returns both ends of a connection; the first is one that Dial returns.
func connect(t *testing.T) (net.Conn, *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	near, err := Dialer{Connect: time.Second, Unacked: time.Second}.Dial(t.Context(), l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close(); far.Close() })
	return near, far.(*net.TCPConn)
}

// writeUntilItFails fills a connection.
func writeUntilItFails(c net.Conn) error {
	for block := make([]byte, 64<<10); ; {
		if _, err := c.Write(block); err != nil {
			return err
		}
	}
}

// Guards against a reset that a write was told of and that reads as the end of a stream.
func TestResetBeforeTheEnd(t *testing.T) {
	near, far := connect(t)
	if _, err := io.WriteString(far, "part"); err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(50*time.Millisecond, func() { far.SetLinger(0); far.Close() })
	if err := writeUntilItFails(near); !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("write: %v", err)
	}
	for range 2 {
		data, err := io.ReadAll(near)
		var broken *BrokenError
		if !errors.As(err, &broken) || !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("read %q, error %v", data, err)
		}
	}
}

// Guards against the same while one goroutine writes and another reads: either may be told.
func TestResetWhileReadingAndWriting(t *testing.T) {
	for range 200 {
		near, far := connect(t)
		if _, err := io.WriteString(far, "part"); err != nil {
			t.Fatal(err)
		}
		var wg sync.WaitGroup
		wg.Go(func() { writeUntilItFails(near) })
		wg.Go(func() { far.SetLinger(0); far.Close() })
		if data, err := io.ReadAll(near); err == nil {
			t.Fatalf("read %q as a whole stream", data)
		}
		wg.Wait()
	}
}

// Checks that a stream that its peer ends in order ends with io.EOF, and at once, while a write
// waits for the peer to read.
func TestEndInOrder(t *testing.T) {
	near, far := connect(t)
	if _, err := io.WriteString(far, "whole"); err != nil {
		t.Fatal(err)
	}
	written := make(chan error, 1)
	go func() { written <- writeUntilItFails(near) }()
	if err := far.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	near.SetReadDeadline(time.Now().Add(5 * time.Second))
	if data, err := io.ReadAll(near); err != nil || string(data) != "whole" {
		t.Errorf("read %q, error %v", data, err)
	}
	<-written
}

// Checks that a write that ran out of time does not break the stream that is read.
func TestDeadlineOfAWrite(t *testing.T) {
	near, far := connect(t)
	near.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
	if err := writeUntilItFails(near); err == nil {
		t.Fatal("no error")
	}
	far.CloseWrite()
	if data, err := io.ReadAll(near); err != nil {
		t.Errorf("read %q, error %v", data, err)
	}
	if Peek(near) != Closed {
		t.Error("an ended connection counts as open")
	}
}
