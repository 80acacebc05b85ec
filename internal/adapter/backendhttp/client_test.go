package backendhttp_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cassiatray/internal/adapter/backendhttp"
	"cassiatray/internal/port"
	"cassiatray/internal/standin/server"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testConns = 4

func start(t *testing.T, work time.Duration) (*server.Server, *backendhttp.Client, string) {
	t.Helper()
	s := server.New(server.Config{Name: "s", Slots: 100, Work: work, ColdFactor: 1}, func() {})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := new(http.Server)
	s.Configure(h)
	go h.Serve(l)
	c := backendhttp.New(testConns)
	t.Cleanup(func() { c.Close(); h.Close() })
	return s, c, l.Addr().String()
}

func request(id, method string, body []byte, once bool) *port.BackendRequest {
	return &port.BackendRequest{
		Method: method, Path: "/sheets/1", Body: body, RequestID: id, Deadline: time.Now().Add(time.Minute),
		MaxAnswer: 1 << 20, AtMostOnce: once, Header: http.Header{server.HeaderOperation: {"op"}},
	}
}

func code(err error) port.BackendCode {
	var be *port.BackendError
	if errors.As(err, &be) {
		return be.Code
	}
	return ""
}

func TestOnlyWholeAnswers(t *testing.T) {
	for _, c := range []struct {
		name     string
		behavior server.Behavior
		want     port.BackendCode
	}{
		{"whole", server.Behavior{}, ""},
		{"crossed", server.Behavior{Cross: true}, port.BackendMismatch},
		{"cut short", server.Behavior{Short: true}, port.BackendShort},
		{"dropped", server.Behavior{Drop: true}, port.BackendBroken},
		{"shed", server.Behavior{Shed: true}, port.BackendShed},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, client, address := start(t, 0)
			s.SetBehavior(c.behavior)
			_, err := client.Do(context.Background(), address, request("a", http.MethodGet, nil, false))
			if code(err) != c.want || c.want == "" && err != nil {
				t.Fatalf("error %v, want code %q", err, c.want)
			}
			s.SetBehavior(server.Behavior{})
			if _, err := client.Do(context.Background(), address, request("b", http.MethodGet, nil, false)); err != nil {
				t.Fatalf("the next request failed: %v", err)
			}
		})
	}
}

func TestSecondAnswerIsNobodys(t *testing.T) {
	s, client, address := start(t, 0)
	s.SetBehavior(server.Behavior{Twice: true})
	for i := range 5 {
		_, err := client.Do(context.Background(), address, request(fmt.Sprint("r", i), http.MethodGet, nil, false))
		if err != nil && code(err) == "" {
			t.Fatal(err)
		}
	}
}

func TestShedSaysWhetherItRan(t *testing.T) {
	for _, c := range []struct {
		behavior server.Behavior
		notRun   bool
		runs     uint64
	}{
		{server.Behavior{Shed: true, ShedNotRun: true}, true, 0},
		{server.Behavior{Shed: true}, false, 0},
		{server.Behavior{Shed: true, ShedAfterRun: true}, false, 1},
	} {
		s, client, address := start(t, 0)
		s.SetBehavior(c.behavior)
		_, err := client.Do(context.Background(), address, request("a", http.MethodPost, []byte("x"), true))
		var be *port.BackendError
		if !errors.As(err, &be) || be.NotRun != c.notRun || be.RetryAfter != time.Second || s.Stats().Runs != c.runs {
			t.Errorf("%+v: error %v, runs %d", c.behavior, err, s.Stats().Runs)
		}
	}
}

// bodies are shapes of requests. The client resends none: even idempotent ones
// are retried by one layer only, which must see each failure.
var bodies = []struct {
	method string
	body   []byte
	once   bool
}{
	{http.MethodGet, nil, true}, {http.MethodPost, []byte("sign-off"), true}, {http.MethodPost, nil, true},
	{http.MethodPut, []byte{}, true}, {http.MethodGet, nil, false}, {http.MethodHead, nil, false},
}

func TestReusedConnectionThatClosesIsNotRetried(t *testing.T) {
	for _, b := range bodies {
		s, client, address := start(t, 0)
		if _, err := client.Do(context.Background(), address, request("a", b.method, b.body, b.once)); err != nil {
			t.Fatal(err)
		}
		s.SetBehavior(server.Behavior{CloseReused: true})
		_, err := client.Do(context.Background(), address, request("b", b.method, b.body, b.once))
		var be *port.BackendError
		if !errors.As(err, &be) || !be.Sent || s.Stats().Runs != 1 {
			t.Errorf("%s with %d bytes: error %v, runs %d", b.method, len(b.body), err, s.Stats().Runs)
		}
	}
}

// TestPlainTransportRetries shows that the library's transport by itself runs
// a request again in the same place.
func TestPlainTransportRetries(t *testing.T) {
	s, _, address := start(t, 0)
	transport := new(http.Transport)
	defer transport.CloseIdleConnections()
	get := func() {
		resp, err := (&http.Client{Transport: transport}).Get("http://" + address + "/sheets/1")
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	get()
	s.SetBehavior(server.Behavior{CloseReused: true})
	get()
	if s.Stats().Runs != 2 {
		t.Fatalf("%d runs", s.Stats().Runs)
	}
}

func TestRefusedConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	client := backendhttp.New(testConns)
	_, err = client.Do(context.Background(), l.Addr().String(), request("a", http.MethodPost, nil, true))
	var be *port.BackendError
	if !errors.As(err, &be) || be.Code != port.BackendRefused || be.Sent {
		t.Fatalf("error %v", err)
	}
	if _, err = client.Probe(context.Background(), l.Addr().String()); code(err) != port.BackendRefused {
		t.Fatalf("probe error %v", err)
	}
}

func TestConnectionsAreReusedAndBounded(t *testing.T) {
	s, client, address := start(t, time.Millisecond)
	for i := range 50 {
		if _, err := client.Do(context.Background(), address, request(fmt.Sprint(i), http.MethodGet, nil, false)); err != nil {
			t.Fatal(err)
		}
	}
	if st := s.Stats(); st.Accepted != 1 {
		t.Fatalf("%d connections for 50 requests in turn", st.Accepted)
	}
	var wg sync.WaitGroup
	for i := range 50 {
		wg.Go(func() {
			if _, err := client.Do(context.Background(), address, request(fmt.Sprint("p", i), http.MethodGet, nil, false)); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if st := s.Stats(); st.MaxConnections > testConns {
		t.Fatalf("%d connections at once, limit %d", st.MaxConnections, testConns)
	}
}

// await polls the stand-in until a condition holds.
func await(t *testing.T, s *server.Server, what string, ok func(server.Stats) bool) {
	t.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	limit := time.After(30 * time.Second)
	for !ok(s.Stats()) {
		select {
		case <-tick.C:
		case <-limit:
			t.Fatalf("%s: %+v", what, s.Stats())
		}
	}
}

func TestCancellationReachesTheServer(t *testing.T) {
	s, client, address := start(t, time.Hour)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() {
		_, err := client.Do(ctx, address, request("a", http.MethodPost, []byte("x"), true))
		done <- err
	}()
	await(t, s, "not begun", func(st server.Stats) bool { return st.Runs == 1 })
	cancel()
	if err := <-done; code(err) != port.BackendCanceled {
		t.Fatalf("error %v", err)
	}
	await(t, s, "not cancelled", func(st server.Stats) bool { return st.Canceled == 1 && st.InFlight == 0 && st.Connections == 0 })
}

func TestProbe(t *testing.T) {
	s, client, address := start(t, 0)
	first, err := client.Probe(context.Background(), address)
	if err != nil || !first.Healthy || first.Leaving || first.Boot == "" {
		t.Fatalf("%+v, %v", first, err)
	}
	s.SetBehavior(server.Behavior{Draining: true})
	if h, err := client.Probe(context.Background(), address); err != nil || h.Healthy || !h.Leaving {
		t.Fatalf("%+v, %v", h, err)
	}
	s.SetBehavior(server.Behavior{Draining: true, LieHealthy: true})
	if h, err := client.Probe(context.Background(), address); err != nil || !h.Healthy {
		t.Fatalf("%+v, %v", h, err)
	}
	s.Restart(func() {})
	if h, err := client.Probe(context.Background(), address); err != nil || h.Boot == first.Boot {
		t.Fatalf("%+v, %v", h, err)
	}
}
