package peer

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"

	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

const (
	// longEnough is more than any step of these tests takes on a busy machine.
	longEnough = 20 * time.Second
	// pieces is in how many pieces a rawServer sends a reply.
	pieces = 12
)

// largePage is a reply of some size, in bytes.
func largePage(size int) *peerv1.Reply {
	record := &peerv1.StoreRecord{Key: "config", Value: bytes.Repeat([]byte("c"), size)}
	return &peerv1.Reply{Body: &peerv1.Reply_MirrorPage{MirrorPage: &peerv1.MirrorPage{Records: []*peerv1.StoreRecord{record}}}}
}

func pageSize(reply *peerv1.Reply) int {
	records := reply.GetMirrorPage().GetRecords()
	if len(records) != 1 {
		return 0
	}
	return len(records[0].Value)
}

// rawServer answers requests with pages of 100 KB, whose pieces it sends by hand: before each, it
// calls next with the number of the piece, and stops when that returns false.
func rawServer(t *testing.T, wrap func(net.Conn) net.Conn, next func(req *peerv1.Request, piece int) bool) (*Pool, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		conn, err := l.Accept()
		if err != nil {
			return
		}
		mux, err := yamux.Server(wrap(conn), muxConfig())
		if err != nil {
			t.Error(err)
			return
		}
		defer mux.Close()
		stream, err := mux.AcceptStream()
		if err != nil {
			return
		}
		req := new(peerv1.Request)
		if err := readFrame(bufio.NewReader(stream), req); err != nil {
			t.Error(err)
			return
		}
		reply := largePage(100 << 10)
		reply.ExchangeId = req.ExchangeId
		var frame bytes.Buffer
		writeFrame(&frame, reply)
		size := frame.Len()/pieces + 1
		for piece := 0; frame.Len() > 0; piece++ {
			if !next(req, piece) {
				break
			}
			if _, err := stream.Write(frame.Next(size)); err != nil {
				return
			}
		}
		<-mux.CloseChan()
	}()
	pool := NewPool(Identity{Host: "a", Incarnation: 3}, TCPDial)
	t.Cleanup(func() { l.Close(); pool.Close(); <-ended })
	return pool, l.Addr().String()
}

func asIs(c net.Conn) net.Conn { return c }

// every returns what sends a piece after each pause, until it has sent some number.
func every(pause time.Duration, most int) func(*peerv1.Request, int) bool {
	return func(_ *peerv1.Request, piece int) bool {
		time.Sleep(pause)
		return piece < most
	}
}

func progress(ctx context.Context, first, stall time.Duration) context.Context {
	return port.WithProgress(ctx, port.Progress{First: first, Stall: stall})
}

// Guards against a call that is given up while its reply comes in, and whose large reply is asked
// for again elsewhere.
func TestReplyThatKeepsComingIsTaken(t *testing.T) {
	const first, pause = 500 * time.Millisecond, 80 * time.Millisecond
	pool, address := rawServer(t, asIs, every(pause, pieces))
	ctx, cancel := context.WithTimeout(t.Context(), longEnough)
	defer cancel()
	began := time.Now()
	reply, err := pool.Call(progress(ctx, first, 5*time.Second), address, heartbeat())
	if err != nil || pageSize(reply) != 100<<10 {
		t.Fatalf("%d bytes, error %v", pageSize(reply), err)
	}
	if took := time.Since(began); took < first {
		t.Errorf("the reply took %v, which shows nothing", took)
	}
}

// Guards against a call that waits until its deadline for the rest of a reply that was broken off.
func TestReplyThatStallsIsGivenUp(t *testing.T) {
	const stall = 300 * time.Millisecond
	for name, wrap := range map[string]func(net.Conn) net.Conn{
		"between frames": asIs,
		// 30 KB of the connection end within a frame of the stream.
		"within a frame": func(c net.Conn) net.Conn { return &brokenOff{Conn: c, left: 30 << 10, closed: make(chan struct{})} },
	} {
		t.Run(name, func(t *testing.T) {
			pool, address := rawServer(t, wrap, every(10*time.Millisecond, 5))
			ctx, cancel := context.WithTimeout(t.Context(), longEnough)
			defer cancel()
			began := time.Now()
			_, err := pool.Call(progress(ctx, 5*time.Second, stall), address, heartbeat())
			took := time.Since(began)
			if !port.IsPeerCode(err, port.PeerTimeout) || !errors.Is(err, port.ErrStalled) {
				t.Errorf("error = %v", err)
			}
			if took < stall || took > stall+4*time.Second {
				t.Errorf("given up after %v", took)
			}
		})
	}
}

// brokenOff is a connection that writes some bytes, and then nothing until it is closed.
type brokenOff struct {
	net.Conn
	left   int
	closed chan struct{}
}

func (b *brokenOff) Write(p []byte) (int, error) {
	n, err := b.Conn.Write(p[:min(len(p), b.left)])
	if b.left -= n; err != nil || n == len(p) {
		return n, err
	}
	<-b.closed
	return n, net.ErrClosed
}

func (b *brokenOff) Close() error {
	close(b.closed)
	return b.Conn.Close()
}

// Guards against a call that goes on after its context has ended, since bytes of its reply come, or
// since a frame of the stream is partly received.
func TestContextEndsCallAmidReply(t *testing.T) {
	broken := func(c net.Conn) net.Conn { return &brokenOff{Conn: c, left: 30 << 10, closed: make(chan struct{})} }
	for name, c := range map[string]struct {
		wrap func(net.Conn) net.Conn
		// cancel is after how long the context is canceled; deadline is its own.
		cancel, deadline time.Duration
	}{
		"canceled":                {asIs, 500 * time.Millisecond, longEnough},
		"canceled within a frame": {broken, 500 * time.Millisecond, longEnough},
		"deadline":                {asIs, longEnough, 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			pool, address := rawServer(t, c.wrap, every(80*time.Millisecond, pieces))
			ctx, cancel := context.WithTimeout(t.Context(), c.deadline)
			defer cancel()
			timer := time.AfterFunc(c.cancel, cancel)
			defer timer.Stop()
			began := time.Now()
			_, err := pool.Call(progress(ctx, longEnough, longEnough), address, heartbeat())
			took := time.Since(began)
			if !port.IsPeerCode(err, port.PeerTimeout) || ctx.Err() == nil {
				t.Fatalf("error = %v, context: %v", err, ctx.Err())
			}
			if at := min(c.cancel, c.deadline); took > at+4*time.Second {
				t.Errorf("returned after %v, the context ended after %v", took, at)
			}
		})
	}
}

// Guards against a silent receiver that is waited for as long as a reply may take, and against one
// that is told of that time and answers too late.
func TestFirstByteIsAwaitedForItsTimeOnly(t *testing.T) {
	const first = 200 * time.Millisecond
	told := make(chan time.Duration, 1)
	pool, address := rawServer(t, asIs, func(req *peerv1.Request, _ int) bool {
		told <- time.Duration(req.RemainingMicros) * time.Microsecond
		return false
	})
	ctx, cancel := context.WithTimeout(t.Context(), longEnough)
	defer cancel()
	began := time.Now()
	_, err := pool.Call(progress(ctx, first, 10*time.Second), address, heartbeat())
	if took := time.Since(began); took < first || took > first+4*time.Second {
		t.Errorf("given up after %v", took)
	}
	if !port.IsPeerCode(err, port.PeerTimeout) || !errors.Is(err, port.ErrNoReply) {
		t.Errorf("error = %v", err)
	}
	if d := <-told; d <= 0 || d > first {
		t.Errorf("the receiver is told that it has %v", d)
	}
}

// Guards against calls without Progress that outlast their deadline because their reply comes in.
func TestDeadlineAloneBoundsCall(t *testing.T) {
	const deadline = 400 * time.Millisecond
	pool, address := rawServer(t, asIs, every(80*time.Millisecond, pieces))
	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	defer cancel()
	began := time.Now()
	_, err := pool.Call(ctx, address, heartbeat())
	if took := time.Since(began); took < deadline || took > deadline+4*time.Second || !port.IsPeerCode(err, port.PeerTimeout) {
		t.Errorf("ended after %v: %v", took, err)
	}
}

// pageHandler answers each request with a page of a size, in bytes.
type pageHandler int

func (h pageHandler) Serve(context.Context, *peerv1.Request) (*peerv1.Reply, error) {
	return largePage(int(h)), nil
}

func (pageHandler) ServeFollow(context.Context, *peerv1.Request, func(*peerv1.Reply) error) error {
	return nil
}

// slowListener accepts connections that write a number of bytes a second.
type slowListener struct {
	net.Listener
	rate int
}

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &slowConn{c, l.rate}, err
}

type slowConn struct {
	net.Conn
	rate int
}

func (c *slowConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		n, err := c.Conn.Write(p[written:min(len(p), written+4<<10)])
		written += n
		if err != nil {
			return written, err
		}
		time.Sleep(time.Duration(n) * time.Second / time.Duration(c.rate))
	}
	return written, nil
}

// Guards against replies sent in frames so large that they seem to stall on a slow link: the
// receiver of a frame sees none of it before the last byte.
func TestReplyOverSlowLinkShowsProgress(t *testing.T) {
	const size, rate, stall = 512 << 10, 300 << 10, 600 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := NewServer(Identity{Host: "b", Incarnation: 7}, pageHandler(size))
	srv.Start(slowListener{l, rate})
	pool := NewPool(Identity{Host: "a", Incarnation: 3}, TCPDial)
	defer func() { pool.Close(); srv.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), longEnough)
	defer cancel()
	reply, err := pool.Call(progress(ctx, stall, stall), l.Addr().String(), heartbeat())
	if err != nil || pageSize(reply) != size {
		t.Fatalf("%d bytes, error %v", pageSize(reply), err)
	}
}

// deadlines is a deadlineWriter that takes a time for each write, and notes its sizes and deadlines.
type deadlines struct {
	bytes.Buffer
	sizes []int
	at    []time.Time
}

func (d *deadlines) Write(p []byte) (int, error) {
	d.sizes = append(d.sizes, len(p))
	time.Sleep(time.Millisecond)
	return d.Buffer.Write(p)
}

func (d *deadlines) SetWriteDeadline(t time.Time) error {
	d.at = append(d.at, t)
	return nil
}

// Guards against a server that breaks off a reply its peer keeps taking in, and against one that
// sends a reply without end.
func TestReplyDeadlineMovesWithinItsBound(t *testing.T) {
	to := new(deadlines)
	w := newReplyWriter(to)
	if most := time.Until(w.until); most > ReplyMost || most < ReplyMost-longEnough/4 {
		t.Errorf("a reply may take %v", most)
	}
	w.until = time.Now().Add(writeTimeout + 4*time.Millisecond)
	reply := bytes.Repeat([]byte("r"), 20*replyPiece+1)
	if n, err := w.Write(reply); n != len(reply) || err != nil || !bytes.Equal(to.Bytes(), reply) {
		t.Fatalf("wrote %d bytes, error %v", n, err)
	}
	if !to.at[0].Before(to.at[1]) {
		t.Error("the deadline does not move")
	}
	for i, at := range to.at {
		if at.After(w.until) || to.sizes[i] > replyPiece {
			t.Errorf("piece %d: %d bytes until %v", i, to.sizes[i], at)
		}
	}
	if last := to.at[len(to.at)-1]; !last.Equal(w.until) {
		t.Errorf("the last piece is written until %v, not until %v", last, w.until)
	}
}
