package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cassiatray/internal/adapter/callerconn"
	"cassiatray/internal/core/document"
	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/mirror"
	"cassiatray/internal/core/routing"
	"cassiatray/internal/daemon/memory"
	"cassiatray/internal/port"
)

// lastSixth is the part of a stop's grace period before which no request is ended at whose server
// work may go on, by the users' pages.
const lastSixth = 5.0 / 6

// pipeListener accepts connections within the process.
type pipeListener struct {
	conns chan net.Conn
	ended chan struct{}
	once  sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), ended: make(chan struct{})}
}

func (l *pipeListener) dial() net.Conn {
	near, far := net.Pipe()
	l.conns <- far
	return near
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.ended:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.ended) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// stopWorld is a gateway with callers' connections that is to stop.
type stopWorld struct {
	*fixture
	listener *pipeListener
	callers  *callerconn.Server
	// began is when the stop began.
	began time.Time
	// sent counts the callers' requests.
	sent int
}

// newStopWorld returns a gateway whose routes set no time-outs, with servers that take any number of
// requests.
func newStopWorld(grace time.Duration, answer func(ctx context.Context, n int, address string) (*port.ForwardAnswer, error)) *stopWorld {
	f := newFixture(answer)
	f.node.bounds.Store(&Bounds{Grace: document.Duration(grace)})
	routes := testRoutes()
	for i := range routes {
		routes[i].Timeout = 0
	}
	var servers []mirror.Record
	for _, d := range testDomains {
		servers = append(servers, f.serverRecord(fleet.Record{ID: "i-" + d.Domain, Domain: d.Domain, Slots: 1000}, 200))
	}
	f.keeper.Apply(servers, 200, "store", time.Now())
	f.setRoutes(2, routes)
	w := &stopWorld{fixture: f}
	w.listener, w.callers = serveCallers(f.node)
	return w
}

// serveCallers serves the callers of a gateway.
func serveCallers(n *Node) (*pipeListener, *callerconn.Server) {
	l, callers := newPipeListener(), newCallerServer(n, memory.NewClosings("gateway", discardLog()), discardLog())
	go callers.Serve(l)
	return l, callers
}

func (f *fixture) setRoutes(version uint64, routes []routing.Route) {
	now := time.Now()
	f.keeper.Apply([]mirror.Record{{Key: "config", Revision: 300 + version, Read: now, Value: encode(plainConfig{
		Version: version, Services: []routing.Service{{Name: "s", ColdRate: 6}}, Routes: routes, Limits: routing.Limits{BodyBytes: 8 << 20, HeaderBytes: 4 << 10},
	})}}, 300+version, "store", now)
}

// begin begins the stop, and returns what it ends with.
func (w *stopWorld) begin() <-chan error {
	w.began = time.Now()
	ended := make(chan error, 1)
	go func() { ended <- w.node.stop(context.Background(), w.callers) }()
	return ended
}

// reply is what a caller got for a request.
type reply struct {
	id     string
	status int
	header http.Header
	// last is set if the connection ends with the answer.
	last bool
	at   time.Time
	err  error
}

// send sends a request on a connection of its own.
func (w *stopWorld) send(method, path string, body io.Reader, size int) <-chan reply {
	w.sent++
	return w.listener.send(fmt.Sprint(w.sent), method, path, body, size)
}

// send sends a request on a connection of its own.
func (l *pipeListener) send(id, method, path string, body io.Reader, size int) <-chan reply {
	c := l.dial()
	out := make(chan reply, 1)
	go func() {
		fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nLeft: 60s\r\nContent-Length: %d\r\n\r\n", method, path, id, size)
		io.Copy(c, body)
	}()
	go func() {
		defer c.Close()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			out <- reply{id: id, at: time.Now(), err: err}
			return
		}
		_, err = io.Copy(io.Discard, resp.Body)
		out <- reply{id: id, status: resp.StatusCode, header: resp.Header, last: resp.Close, at: time.Now(), err: err}
	}()
	return out
}

// holdsRequests is a server that begins to run no request, and drops it once its connection ends.
func holdsRequests(ctx context.Context, _ int, _ string) (*port.ForwardAnswer, error) {
	<-ctx.Done()
	code := port.BackendTimeout
	if errors.Is(ctx.Err(), context.Canceled) {
		code = port.BackendCanceled
	}
	return nil, &port.BackendError{Code: code, Sent: true, Err: ctx.Err()}
}

// Guards against requests that are reset at the end of a stop while they wait at their servers, so
// that their callers learn nothing, and against servers that are told of more time than there is.
func TestStopAnswersRequestsThatWaitAtServers(t *testing.T) {
	for _, grace := range []time.Duration{1500 * time.Millisecond, 3 * time.Second, 6 * time.Second, 30 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newStopWorld(grace, holdsRequests)
				defer w.stop()
				var replies []<-chan reply
				send := func() {
					for range 100 {
						replies = append(replies, w.send(http.MethodPost, "/post/1", strings.NewReader("body"), 4), w.send(http.MethodGet, "/get/1", strings.NewReader(""), 0))
					}
				}
				send()
				time.Sleep(grace / 10)
				early := w.servers.count()
				ended := w.begin()
				for range 3 {
					time.Sleep(grace / 8)
					send()
				}
				if early == 0 {
					t.Fatal("no request was sent on before the stop")
				}
				var got []reply
				for _, c := range replies {
					got = append(got, <-c)
				}
				sentOn := map[string]bool{}
				for _, s := range w.servers.sent {
					sentOn[s.req.ID] = true
				}
				for _, r := range got {
					after := r.at.Sub(w.began)
					switch {
					case r.err != nil:
						t.Fatalf("no answer, %v after the signal: %v", after, r.err)
					case !sentOn[r.id] && r.status == http.StatusServiceUnavailable:
						// Its servers are taken for full.
					case r.status != http.StatusGatewayTimeout || !r.last:
						t.Fatalf("status %d %v after the signal, the connection's last: %t", r.status, after, r.last)
					case after < time.Duration(lastSixth*float64(grace)):
						t.Fatalf("ended %v after the signal, its server may have been at work", after)
					}
				}
				if err := <-ended; time.Since(w.began) >= grace || !errors.As(err, new(*CutError)) {
					t.Errorf("ended after %v with %v, want that requests were cut off", time.Since(w.began), err)
				}
				for _, s := range w.servers.sent {
					left, err := time.ParseDuration(s.req.Header.Get("Left"))
					if by := s.at.Add(left).Sub(w.began); err != nil || s.at.After(w.began) && by >= grace {
						t.Fatalf("a server was told that it has until %v after the signal", by)
					}
				}
			})
		})
	}
}

// Guards against requests that a stopping gateway takes although it knows that they cannot end
// before it does, and against callers that are told to wait although other gateways serve them.
func TestStopRefusesRequestsThatEndTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const run = 4 * time.Second
		w := newStopWorld(6*time.Second, func(context.Context, int, string) (*port.ForwardAnswer, error) {
			time.Sleep(run)
			return okAnswer(), nil
		})
		defer w.stop()
		routes := testRoutes()
		for i := range routes {
			// Of a route without measurements half of the target is taken for the run's time.
			routes[i].Timeout, routes[i].Target = 0, 2*run
		}
		w.setRoutes(3, routes)
		ended := w.begin()
		time.Sleep(500 * time.Millisecond)
		inTime := w.send(http.MethodPost, "/post/1", strings.NewReader(""), 0)
		time.Sleep(time.Second)
		before := w.servers.count()
		for _, path := range []string{"/post/1", "/get/1"} {
			r := <-w.send(http.MethodPost, path, strings.NewReader(""), 0)
			if r.status != http.StatusServiceUnavailable || r.header.Get("Retry-After") != "0" || w.servers.count() > before {
				t.Errorf("%s with too little time: status %d, header %v, %d requests sent on", path, r.status, r.header, w.servers.count()-before)
			}
		}
		if r := <-inTime; r.status != http.StatusOK {
			t.Errorf("while there was time: status %d, %v", r.status, r.err)
		}
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

// Guards against promises of callers' requests that the end of a stop breaks: what servers have
// certainly not run is refused as such, the rest is not.
func TestStopPromisesNotRunOnlyWithProof(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer func(ctx context.Context, n int, address string) (*port.ForwardAnswer, error)
		status int
	}{
		{"refused by the server at its deadline", func(ctx context.Context, _ int, _ string) (*port.ForwardAnswer, error) {
			deadline, _ := ctx.Deadline()
			time.Sleep(time.Until(deadline.Add(-answerGrace)))
			return notRunAnswer(), nil
		}, http.StatusServiceUnavailable},
		{"no byte sent", func(ctx context.Context, _ int, _ string) (*port.ForwardAnswer, error) {
			<-ctx.Done()
			return nil, &port.BackendError{Code: port.BackendCanceled, Err: ctx.Err()}
		}, http.StatusServiceUnavailable},
		{"sent", holdsRequests, http.StatusGatewayTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newStopWorld(6*time.Second, c.answer)
				defer w.stop()
				ended := w.begin()
				time.Sleep(time.Second)
				replies := []<-chan reply{w.send(http.MethodPost, "/post/1", strings.NewReader(""), 0), w.send(http.MethodGet, "/get/1", strings.NewReader(""), 0)}
				for _, replied := range replies {
					if r := <-replied; r.err != nil || r.status != c.status || r.status == http.StatusServiceUnavailable && r.header.Get("Retry-After") != "0" {
						t.Errorf("status %d, header %v, %v", r.status, r.header, r.err)
					}
				}
				<-ended
			})
		})
	}
}

// Guards against requests whose bodies are on their way at the end of a stop, and which end without
// an answer.
func TestStopAnswersUnfinishedUploads(t *testing.T) {
	for _, c := range []struct {
		name         string
		size, status int
	}{
		{"none of it sent on", 1000, http.StatusServiceUnavailable},
		{"a part sent on", 1 << 20, http.StatusGatewayTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newStopWorld(6*time.Second, nil)
				defer w.stop()
				w.servers.answer = func(ctx context.Context, n int, _ string) (*port.ForwardAnswer, error) {
					w.servers.mu.Lock()
					rest := w.servers.sent[n-1].req.Rest
					w.servers.mu.Unlock()
					if _, err := io.Copy(io.Discard, rest); err != nil {
						return nil, &port.BackendError{Code: port.BackendCanceled, Sent: true, Err: err}
					}
					return okAnswer(), nil
				}
				upload, caller := io.Pipe()
				replied := w.send(http.MethodPost, "/post/1", upload, c.size)
				go func() {
					// The caller makes progress all the while.
					for piece := make([]byte, c.size/3); ; time.Sleep(4 * time.Second) {
						if _, err := caller.Write(piece); err != nil {
							return
						}
					}
				}()
				time.Sleep(100 * time.Millisecond)
				ended := w.begin()
				r := <-replied
				if after := r.at.Sub(w.began); r.err != nil || r.status != c.status || after < 5*time.Second || after >= 6*time.Second {
					t.Errorf("status %d, %v, %v after the signal", r.status, r.err, after)
				}
				<-ended
				caller.Close()
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// Guards against gateways that stop and leave the ones whose requests they relay, or the callers of
// requests that others relay for them, without a word.
func TestStopAnswersWhatIsRelayed(t *testing.T) {
	for name, stopping := range map[string]string{"the helper stops": "a1-1", "the origin stops": "a1-0"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newRelayWorld(t, "a1-1")
				defer w.stopAll()
				routes := testRoutes()
				for i := range routes {
					routes[i].Timeout = 0
				}
				w.setRoutes(2, routes)
				time.Sleep(time.Second)
				w.answer = func(context.Context, int, string) (*port.ForwardAnswer, error) {
					time.Sleep(20 * time.Second)
					return okAnswer(), nil
				}
				listener, callers := serveCallers(w.hosts["a1-0"].node)
				defer callers.Close()
				replied := listener.send("1", http.MethodPost, "/post/", strings.NewReader(""), 0)
				time.Sleep(time.Second)
				began, node := time.Now(), w.hosts[stopping].node
				if stopping == "a1-1" {
					callers = &callerconn.Server{Handler: node}
				}
				ended := make(chan error, 1)
				go func() { ended <- node.stop(t.Context(), callers) }()
				r := <-replied
				if at := r.at.Sub(began); r.err != nil || r.status != http.StatusGatewayTimeout || at < 5*time.Second || at > 6*time.Second {
					t.Errorf("status %d, %v, %v after the signal", r.status, r.err, at)
				}
				<-ended
				time.Sleep(time.Second)
				if n := node.relayed.Load(); n > 0 {
					t.Errorf("%d relayed requests left without an answer", n)
				}
				time.Sleep(20 * time.Second)
			})
		})
	}
}
