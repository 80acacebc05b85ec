package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cassiatray/api"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// system is a few entry hosts that answer requests as each test says.
type system struct {
	t     *testing.T
	hosts []*httptest.Server
	// answer is given the number of the host and of the request, from 1.
	answer func(w http.ResponseWriter, r *http.Request, host, n int)

	mu      sync.Mutex
	lookups int
	ids     []string
}

func newSystem(t *testing.T, hosts int, answer func(w http.ResponseWriter, r *http.Request, host, n int)) *system {
	s := &system{t: t, answer: answer}
	for i := range hosts {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, i) }))
		t.Cleanup(srv.Close)
		s.hosts = append(s.hosts, srv)
	}
	return s
}

func (s *system) serve(w http.ResponseWriter, r *http.Request, host int) {
	s.mu.Lock()
	if r.URL.Path == "/v1/lookup/orders" {
		s.lookups++
		s.mu.Unlock()
		json.NewEncoder(w).Encode(s.lookup())
		return
	}
	s.ids = append(s.ids, r.Header.Get(api.HeaderOperationID))
	n := len(s.ids)
	s.mu.Unlock()
	s.answer(w, r, host, n)
}

// sent returns the IDs that reached a host, in order.
func (s *system) sent() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ids
}

func (s *system) lookup() *api.Lookup {
	out := &api.Lookup{Service: "orders", TTLMillis: time.Minute.Milliseconds()}
	for i, h := range s.hosts {
		name := fmt.Sprintf("a-%d", i)
		out.Hosts = append(out.Hosts, api.Host{
			Name: name, Address: h.Listener.Addr().String(), Operation: api.OperationPrefix(name, 7, time.Now()),
		})
	}
	return out
}

func (s *system) client() *Client {
	var bootstrap []string
	for _, h := range s.hosts {
		bootstrap = append(bootstrap, h.Listener.Addr().String())
	}
	transport := new(http.Transport)
	s.t.Cleanup(transport.CloseIdleConnections)
	return New(Config{Bootstrap: bootstrap, Address: netip.MustParseAddr("10.0.0.1"), HTTP: &http.Client{Transport: transport}})
}

func done(w http.ResponseWriter) {
	w.Header().Set(api.HeaderOutcome, string(api.OutcomeDone))
	fmt.Fprint(w, "ok")
}

func fail(w http.ResponseWriter, code api.Code, o api.Outcome) {
	w.Header().Set(api.HeaderOutcome, string(o))
	w.WriteHeader(http.StatusBadGateway)
	json.NewEncoder(w).Encode(api.Error{Code: code, Outcome: o})
}

func cut() { panic(http.ErrAbortHandler) }

// TestOnce checks which IDs are sent for one at-most-once request: the same
// while it may have run, and a new one only when it provably did not.
func TestOnce(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(w http.ResponseWriter, n int)
		ids    string
		code   api.Code
		want   api.Outcome
	}{
		"done":                     {func(w http.ResponseWriter, _ int) { done(w) }, "A", "", api.OutcomeDone},
		"lost reply, then done":    {pick(cutter, doner), "AA", "", api.OutcomeDone},
		"lost reply, then not run": {pick(cutter, failer(api.CodeOverloaded, api.OutcomeNotRun)), "AA", api.CodeOverloaded, api.OutcomeNotRun},
		"owner gone at first":      {pick(failer(api.CodeOwnerGone, api.OutcomeUnknown), doner), "AB", "", api.OutcomeDone},
		"owner gone after a copy":  {pick(cutter, failer(api.CodeOwnerGone, api.OutcomeUnknown)), "AAAAAA", api.CodeOwnerGone, api.OutcomeUnknown},
		"stopping":                 {pick(failer(api.CodeStopping, api.OutcomeNotRun), doner), "AB", "", api.OutcomeDone},
		"refused":                  {pick(failer(api.CodeSuspect, api.OutcomeNotRun)), "A", api.CodeSuspect, api.OutcomeNotRun},
		"final unknown":            {pick(failer(api.CodeBackend, api.OutcomeUnknown)), "A", api.CodeBackend, api.OutcomeUnknown},
		"always lost":              {pick(cutter), "AAAAAA", api.CodePeer, api.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, 2, func(w http.ResponseWriter, _ *http.Request, _, n int) { c.answer(w, n) })
			a, err := s.client().Do(context.Background(), &Request{Service: "orders", Method: http.MethodPost, Path: "/bookings", Once: true})
			var failed *Error
			switch {
			case err == nil && (c.want != api.OutcomeDone || string(a.Body) != "ok" || a.OperationID != s.sent()[len(s.sent())-1]):
				t.Fatalf("answer %+v", a)
			case err != nil && (!errors.As(err, &failed) || failed.Err.Code != c.code || failed.Err.Outcome != c.want):
				t.Fatalf("error %v", err)
			}
			if got := letters(s.sent()); got != c.ids {
				t.Fatalf("IDs sent %s, want %s", got, c.ids)
			}
		})
	}
}

func doner(w http.ResponseWriter) { done(w) }
func cutter(http.ResponseWriter)  { cut() }
func failer(c api.Code, o api.Outcome) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) { fail(w, c, o) }
}

// pick answers the nth request with the nth step, and all later ones with the
// last.
func pick(steps ...func(http.ResponseWriter)) func(http.ResponseWriter, int) {
	return func(w http.ResponseWriter, n int) { steps[min(n, len(steps))-1](w) }
}

// letters names IDs by the order in which they first appear.
func letters(ids []string) string {
	names := map[string]byte{}
	out := make([]byte, 0, len(ids))
	for _, id := range ids {
		if _, ok := names[id]; !ok {
			names[id] = byte('A' + len(names))
		}
		out = append(out, names[id])
	}
	return string(out)
}

// TestUnreachableHost checks that a request goes to the next host, under an ID
// of its own, when the first cannot be reached.
func TestUnreachableHost(t *testing.T) {
	for _, once := range []bool{true, false} {
		s := newSystem(t, 2, func(w http.ResponseWriter, _ *http.Request, _, _ int) { done(w) })
		cl := s.client()
		if _, err := cl.Lookup(context.Background(), "orders"); err != nil {
			t.Fatal(err)
		}
		s.hosts[0].Close()
		// No kept connection: the request cannot be sent at all.
		cl.http.CloseIdleConnections()
		a, err := cl.Do(context.Background(), &Request{Service: "orders", Method: http.MethodPost, Path: "/x", Once: once})
		if err != nil || once && a.OperationID[:4] != "a-1:" {
			t.Fatalf("once %t: answer %+v, error %v", once, a, err)
		}
	}
}

// TestLookupCache checks that one look-up serves until its time to live ends.
func TestLookupCache(t *testing.T) {
	s := newSystem(t, 1, func(w http.ResponseWriter, _ *http.Request, _, _ int) { done(w) })
	cl := s.client()
	for range 3 {
		if _, err := cl.Do(context.Background(), &Request{Service: "orders", Method: http.MethodGet, Path: "/x"}); err != nil {
			t.Fatal(err)
		}
	}
	cl.expire("orders")
	if _, err := cl.Lookup(context.Background(), "orders"); err != nil || s.lookups != 2 {
		t.Fatalf("%d look-ups, error %v", s.lookups, err)
	}
}

// TestDeadlineAndCancel checks that the time left is passed on and that
// cancelling reaches the host.
func TestDeadlineAndCancel(t *testing.T) {
	reached, canceled := make(chan string, 1), make(chan struct{})
	s := newSystem(t, 1, func(_ http.ResponseWriter, r *http.Request, _, _ int) {
		reached <- r.Header.Get(api.HeaderTimeout)
		<-r.Context().Done()
		close(canceled)
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	result := make(chan error, 1)
	go func() {
		_, err := s.client().Do(ctx, &Request{Service: "orders", Method: http.MethodGet, Path: "/x"})
		result <- err
	}()
	if text := <-reached; text == "" {
		t.Error("no time left was passed on")
	}
	cancel()
	<-canceled
	var failed *Error
	if err := <-result; !errors.As(err, &failed) || failed.Err.Code != api.CodeCanceled {
		t.Fatalf("error %v", err)
	}
}

func TestNoHostAnswers(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	cl := New(Config{Bootstrap: []string{l.Addr().String()}, Address: netip.MustParseAddr("10.0.0.1")})
	_, err = cl.Do(context.Background(), &Request{Service: "orders", Method: http.MethodGet, Path: "/x"})
	var failed *LookupError
	if !errors.As(err, &failed) {
		t.Fatalf("error %v", err)
	}
}

// ExampleClient_Do books a load at most once, whatever fails on the way.
func ExampleClient_Do() {
	hosts := newExampleSystem()
	defer hosts.Close()
	c := New(Config{
		Bootstrap: []string{hosts.Listener.Addr().String()},
		Address:   netip.MustParseAddr("10.0.0.1"),
		HTTP:      hosts.Client(),
	})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	answer, err := c.Do(ctx, &Request{
		Service: "orders", Method: http.MethodPost, Path: "/bookings", Body: []byte(`{"tonnes":20}`), Once: true,
	})
	var failed *Error
	switch {
	case err == nil:
		fmt.Println("booked:", string(answer.Body))
	case errors.As(err, &failed) && failed.Err.Outcome == api.OutcomeNotRun:
		fmt.Println("not booked, and it will not be:", failed.Err.Code)
	case errors.As(err, &failed):
		fmt.Println("ask again with ID", failed.OperationID)
	default:
		fmt.Println(err)
	}
	// Output: booked: ok
}

func newExampleSystem() *httptest.Server {
	s := new(system)
	s.answer = func(w http.ResponseWriter, _ *http.Request, _, _ int) { done(w) }
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, 0) }))
	s.hosts = append(s.hosts, srv)
	return srv
}
