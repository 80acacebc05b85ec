package serverconn

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"cassiatray/internal/port"
	"cassiatray/internal/standin/rawserver"
)

const (
	// uploadSize is more than the buffers of both ends of a connection hold, in bytes.
	uploadSize = 60 << 20
	// resetAfter is how long a server waits between the last byte that it sends and a reset.
	resetAfter = 200 * time.Millisecond
)

// startRaw returns the address of a server that answers every request with one response.
func startRaw(t *testing.T, r rawserver.Response) string {
	t.Helper()
	s, err := rawserver.Start(func(*http.Request) rawserver.Response { return r })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s.Address
}

// readWhole reads what is left of an answer, and returns its body, or why it is none.
func readWhole(a *port.ForwardAnswer, err error) (string, error) {
	if err != nil || a.Rest == nil {
		if err != nil {
			return "", err
		}
		return string(a.Body), nil
	}
	defer a.Rest.Close()
	rest, err := io.ReadAll(a.Rest)
	return string(a.Body) + string(rest), err
}

// zeros is a body that has no end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// uploads returns requests with a large body, by how they carry it.
func uploads() map[string]*port.ForwardRequest {
	request := func(body []byte, rest io.Reader, size int64) *port.ForwardRequest {
		return &port.ForwardRequest{Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: body, Rest: rest, Size: size, ID: "1"}
	}
	return map[string]*port.ForwardRequest{
		"in memory":     request(make([]byte, uploadSize), nil, uploadSize),
		"with a length": request([]byte("begin"), io.LimitReader(zeros{}, uploadSize-5), uploadSize),
		"in chunks":     request([]byte("begin"), io.LimitReader(zeros{}, uploadSize-5), -1),
	}
}

func upload(p *Pool, address string, r *port.ForwardRequest) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return readWhole(p.Forward(ctx, address, r))
}

// Guards against a part of an answer that is delivered as complete, or believed as a refusal: the
// server answers before it has read the request, without a length, sends a part and resets the
// connection while the body is being written.
func TestEarlyAnswerThatIsReset(t *testing.T) {
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, status := range []string{"200 OK", "404 X", "503 X\r\nNot-Run: 1"} {
			for _, size := range []int{5, 400 << 10} {
				text := version + " " + status + "\r\nId: 1\r\n\r\n" + strings.Repeat("a", size)
				address := startRaw(t, rawserver.Response{Text: text, Early: true, Ending: rawserver.Reset, Pause: resetAfter})
				for name, r := range uploads() {
					p := New(dialect{})
					body, err := upload(p, address, r)
					if err == nil {
						t.Errorf("%s %q, %s: delivered %d of %d bytes as complete", version, status, name, len(body), size)
					} else if be := as(t, err); be.Code != port.BackendShort && be.Code != port.BackendBroken || !be.Sent || be.ResetAtOnce {
						t.Errorf("%s %q, %s: error %v", version, status, name, err)
					}
					p.Close()
				}
			}
		}
	}
}

// Checks that an early answer that says itself where it ends is delivered, its connection not used
// again, and that one that ends in order is delivered, too.
func TestEarlyAnswerThatIsWhole(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		ending rawserver.Ending
	}{
		"length, reset":       {whole, rawserver.Reset},
		"chunks, reset":       {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", rawserver.Reset},
		"no length, in order": {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nok", rawserver.Finish},
	} {
		address := startRaw(t, rawserver.Response{Text: c.text, Early: true, Ending: c.ending, Pause: resetAfter})
		for kind, r := range uploads() {
			p := New(dialect{})
			if body, err := upload(p, address, r); err != nil || body != "ok" {
				t.Errorf("%s, upload %s: body %q, error %v", name, kind, body, err)
			}
			if p.Kept(address) != port.KeptNone {
				t.Errorf("%s, upload %s: the connection is kept", name, kind)
			}
			p.Close()
		}
	}
}

// Guards against a part of an answer to a request without a body that is delivered as complete.
func TestAnswerThatIsReset(t *testing.T) {
	for _, size := range []int{5, 400 << 10} {
		text := "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n" + strings.Repeat("a", size)
		address := startRaw(t, rawserver.Response{Text: text, Ending: rawserver.Reset, Pause: resetAfter})
		p := New(dialect{})
		if body, err := readWhole(forward(p, address, "1")); err == nil {
			t.Errorf("delivered %d of %d bytes as complete", len(body), size)
		}
		p.Close()
	}
}

// BenchmarkForward measures one exchange with a server on a kept connection.
func BenchmarkForward(b *testing.B) {
	var head bytes.Buffer
	for i := range 8 {
		fmt.Fprintf(&head, "X-Field-%d: some value of a field\r\n", i)
	}
	s, err := rawserver.Start(func(*http.Request) rawserver.Response {
		return rawserver.Response{Text: "HTTP/1.1 200 OK\r\nId: 1\r\n" + head.String() + "Content-Length: 2\r\n\r\nok"}
	})
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	p := New(dialect{})
	defer p.Close()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := forward(p, s.Address, "1"); err != nil {
			b.Fatal(err)
		}
	}
}
