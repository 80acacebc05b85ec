package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"cassiatray/internal/adapter/serverconn"
	"cassiatray/internal/daemon/memory"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

// signedDialect is plainDialect for servers that name the requests that they answer.
type signedDialect struct{ plainDialect }

func (signedDialect) Server(_ int, h http.Header) port.ServerMeta {
	return port.ServerMeta{ID: h.Get("Id"), Signed: true}
}

// oneServer forwards all requests to the server at an address.
type oneServer struct {
	*serverconn.Pool
	address string
}

func (s oneServer) Forward(ctx context.Context, _ string, r *port.ForwardRequest) (*port.ForwardAnswer, error) {
	return s.Pool.Forward(ctx, s.address, r)
}

func (s oneServer) Probe(ctx context.Context, _, path string) (port.ServerMeta, int, error) {
	return s.Pool.Probe(ctx, s.address, path)
}

// Guards against a status of a server that reaches the caller although HTTP has no such final
// status, and against an exchange that takes the next answer for its own or waits for it. Between
// the caller and the server are the real connections of a gateway; each status below 200 has a
// whole answer behind it.
func TestEveryStatusThroughAGateway(t *testing.T) {
	var status, arrivals atomic.Int32
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if req.Header.Get("Id") == "" {
						io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
						continue
					}
					arrivals.Add(1)
					text := fmt.Sprintf("HTTP/1.1 %03d X\r\nId: 1\r\nContent-Length: 0\r\n\r\n", status.Load())
					if status.Load() < http.StatusOK {
						text += "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"
					}
					io.WriteString(c, text)
				}
			}()
		}
	}()
	pool := serverconn.New(signedDialect{})
	defer pool.Close()
	for code := range 1000 {
		status.Store(int32(code))
		for path, idempotent := range map[string]bool{"/get/1": true, "/post/1": false} {
			f := newFixture(nil)
			f.node.dialect, f.node.forwarder = signedDialect{}, oneServer{pool, l.Addr().String()}
			f.node.prober = oneServer{pool, l.Addr().String()}
			arrivals.Store(0)
			got := callOverConn(t, f.node, path)
			want, sent := code, int32(1)
			switch {
			case code < 100 || code == http.StatusSwitchingProtocols:
				want = http.StatusBadGateway
				if idempotent {
					sent = 2
				}
			case code < http.StatusOK:
				want = http.StatusOK
			case idempotent && code >= http.StatusInternalServerError:
				sent = 2
			}
			if !idempotent && promisesNotRun(code) {
				want = http.StatusBadGateway
			}
			if got != want || arrivals.Load() != sent {
				t.Errorf("%s, status %03d: the caller got %d after %d arrivals, want %d after %d", path, code, got, arrivals.Load(), want, sent)
			}
			f.stop()
		}
	}
}

// callOverConn sends a request to a gateway over a connection of a caller, and returns the final
// status, or 0 if none came whole.
func callOverConn(t *testing.T, n *Node, path string) int {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := newCallerServer(n, memory.NewClosings("gateway", discardLog()), discardLog())
	go s.Serve(l)
	defer s.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nId: 1\r\nLeft: 1200ms\r\nObject: o\r\nConnection: close\r\n\r\n", path)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// headStream is an exchange with a helper that replies with one head.
type headStream struct {
	status  uint32
	headers []*peerv1.Header
	sent    int
}

func (s *headStream) Send(*peerv1.Request) error { return nil }
func (s *headStream) Close() error               { return nil }
func (s *headStream) Receive(time.Duration) (*peerv1.Reply, error) {
	s.sent++
	if s.sent == 1 {
		return &peerv1.Reply{Body: &peerv1.Reply_RelayHead{RelayHead: &peerv1.RelayHead{Status: s.status, Headers: s.headers, Server: "i"}}}, nil
	}
	return &peerv1.Reply{Body: &peerv1.Reply_RelayChunk{RelayChunk: &peerv1.RelayChunk{Last: true}}}, nil
}

// Guards against a status that a helper of another build passes on although it is none of a
// final response.
func TestEveryStatusOfARelayHead(t *testing.T) {
	f := newFixture(nil)
	for status := range uint32(1100) {
		req := &inflightRequest{deadline: time.Now().Add(time.Second)}
		_, a, err := f.node.exchange(t.Context(), &headStream{status: status}, req)
		if none := status < 200 || status > 999; none != (err != nil) || err == nil && a.Status != int(status) {
			t.Errorf("status %d: answer %+v, error %v", status, a, err)
		}
	}
}
