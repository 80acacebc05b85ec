package serverconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"cassiatray/internal/port"
)

// goneSlack is how soon a server must hear that a caller has left.
const goneSlack = 500 * time.Millisecond

// brokenBody is the rest of a body that its caller breaks off after a while.
type brokenBody struct{ left int }

func (b *brokenBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		time.Sleep(20 * time.Millisecond)
		return 0, &port.BodyError{Err: io.ErrUnexpectedEOF}
	}
	n := min(len(p), b.left)
	b.left -= n
	return n, nil
}

// Guards against servers that stay at work on an upload that its caller broke off, and against
// taking that for a failure of the server: with a length and in chunks, whether or not the
// server has answered meanwhile.
func TestUploadsBrokenOffReachTheServer(t *testing.T) {
	for name, c := range map[string]struct {
		size  int64
		early bool
	}{"length": {1 << 20, false}, "chunks": {-1, false}, "length, answered early": {1 << 20, true}, "chunks, answered early": {-1, true}} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			ended := make(chan error, 1)
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				req, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					ended <- err
					return
				}
				if c.early {
					io.WriteString(conn, whole)
				}
				_, err = io.Copy(io.Discard, req.Body)
				ended <- err
			}()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			started := time.Now()
			_, err = New(dialect{}).Forward(ctx, l.Addr().String(), &port.ForwardRequest{
				Method: http.MethodPut, URI: "/", Host: "h", Header: http.Header{}, Body: []byte("begin"), Rest: &brokenBody{left: 100 << 10}, Size: c.size, ID: "1",
			})
			var body *port.BodyError
			if be := as(t, err); be.Code != port.BackendCanceled || !be.Sent || !errors.As(err, &body) {
				t.Errorf("error %v, want one that names the body", err)
			}
			if err := <-ended; err == nil || time.Since(started) > goneSlack {
				t.Errorf("the server's read ended with %v after %v", err, time.Since(started))
			}
		})
	}
}
