package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"net"
	"runtime"
	"testing"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

// TestHeld checks that a server reserves memory for a request before it
// allocates any, and gives it back.
func TestHeld(t *testing.T) {
	for name, c := range map[string]struct {
		size uint64
		code port.PeerCode
	}{
		"over the frame limit": {MaxFrame + 1, port.PeerTooLarge},
		"absurd":               {1 << 62, port.PeerTooLarge},
		"over what is held":    {MaxFrame, port.PeerTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			var h held
			h.bytes.Store(maxHeld - 1)
			frame := binary.AppendUvarint(nil, c.size)
			size, err := h.readRequest(bufio.NewReader(bytes.NewReader(frame)), new(peerv1.Request))
			if !port.IsPeerCode(err, c.code) || size != 0 || h.bytes.Load() != maxHeld-1 {
				t.Fatalf("size %d, held %d, error %v", size, h.bytes.Load(), err)
			}
		})
	}
	var h held
	size, err := h.readRequest(bufio.NewReader(bytes.NewReader([]byte{9, 1})), new(peerv1.Request))
	if err == nil || size != 9 {
		t.Fatalf("a frame cut short: size %d, error %v", size, err)
	}
	if h.release(size); h.bytes.Load() != 0 {
		t.Fatalf("%d bytes held after all is released", h.bytes.Load())
	}
}

// TestDrain checks that a stopping server answers what it has begun and
// refuses the rest in a way that is known to have had no effect.
func TestDrain(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	slow := slowHandler{begun: make(chan struct{}), finish: make(chan struct{})}
	srv := NewServer(Identity{Host: "b", Incarnation: 7}, slow)
	srv.Start(l)
	pool := NewPool(Identity{Host: "a", Incarnation: 3}, TCPDial)
	t.Cleanup(func() { pool.Close(); srv.Close() })
	first := make(chan error, 1)
	go func() {
		_, err := pool.Call(context.Background(), l.Addr().String(), heartbeat())
		first <- err
	}()
	<-slow.begun
	drained := make(chan struct{})
	go func() {
		srv.Drain(context.Background())
		close(drained)
	}()
	for !srv.draining.Load() {
		runtime.Gosched()
	}
	_, err = pool.Call(context.Background(), l.Addr().String(), heartbeat())
	var pe *port.PeerError
	if !errors.As(err, &pe) || pe.Code != port.PeerStopping || !pe.NoEffect() {
		t.Fatalf("error of a late exchange: %v", err)
	}
	close(slow.finish)
	if err := <-first; err != nil {
		t.Fatalf("an exchange in flight failed: %v", err)
	}
	<-drained
}

// slowHandler answers the first exchange when told to.
type slowHandler struct{ begun, finish chan struct{} }

func (s slowHandler) Serve(context.Context, *peerv1.Request) (*peerv1.Reply, error) {
	close(s.begun)
	<-s.finish
	return &peerv1.Reply{}, nil
}

func (slowHandler) ServeFollow(context.Context, *peerv1.Request, func(*peerv1.Reply) error) error {
	return nil
}

// TestHostilePeer opens streams that claim large frames and never send them:
// the server holds no more than its limits and is free again once they end.
func TestHostilePeer(t *testing.T) {
	_, address, _ := start(t)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	cfg := muxConfig()
	cfg.AcceptBacklog = 2 * maxStreams
	mux, err := yamux.Client(conn, cfg)
	if err != nil {
		t.Fatal(err)
	}
	claim := binary.AppendUvarint(nil, MaxFrame)
	for range 2 * maxHeld / MaxFrame {
		stream, err := mux.OpenStream()
		if err != nil {
			break
		}
		stream.Write(claim)
	}
	pool := NewPool(Identity{Host: "c", Incarnation: 4}, TCPDial)
	defer pool.Close()
	mux.Close()
	// Small requests of others are served while and after.
	for {
		if _, err := pool.Call(context.Background(), address, heartbeat()); err == nil {
			return
		}
	}
}

// FuzzRequest checks that no frame makes a server fail other than by an error.
func FuzzRequest(f *testing.F) {
	var valid bytes.Buffer
	protodelim.MarshalTo(&valid, heartbeat())
	f.Add(valid.Bytes())
	for _, seed := range [][]byte{{}, {0}, {1}, {5, 1, 2}, {0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f}, {2, 0x52, 0xff}} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var h held
		size, _ := h.readRequest(bufio.NewReader(bytes.NewReader(data)), new(peerv1.Request))
		if h.release(size); h.bytes.Load() != 0 {
			t.Fatalf("%d bytes still held", h.bytes.Load())
		}
	})
}
