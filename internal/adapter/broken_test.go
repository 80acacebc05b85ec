package adapter_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"cassiatray/api"
	"cassiatray/client"
	"cassiatray/internal/adapter/hostlist"
	"cassiatray/internal/adapter/platform"
	"cassiatray/internal/port"
	"cassiatray/internal/standin/rawserver"
)

// reader is a call whose answer is read, with the body of one that is whole.
type reader struct {
	body string
	call func(ctx context.Context, address string) error
}

// readers returns the clients of the product's own interfaces. Those of backend servers and of a
// gateway's store have tests beside them.
func readers() map[string]reader {
	store := func(body string, call func(context.Context, *platform.Client) error) reader {
		return reader{body, func(ctx context.Context, address string) error {
			c := platform.New(address, callTime)
			defer c.Close()
			return call(ctx, c)
		}}
	}
	const pair = `[{"Key":"k","Value":"dg==","ModifyIndex":7}]`
	return map[string]reader{
		"list of hosts": {`{"hosts":[{"name":"s-1","address":"10.0.0.1:9000"}]}`, func(ctx context.Context, address string) error {
			_, err := hostlist.New(address).Hosts(ctx)
			return err
		}},
		"look-up": {`{"service":"s"}`, func(ctx context.Context, address string) error {
			_, err := newCaller(address, nil).Lookup(ctx, "s")
			return err
		}},
		"store, a key":    store(pair, func(ctx context.Context, c *platform.Client) error { _, err := c.Get(ctx, "k"); return err }),
		"store, a list":   store(pair, func(ctx context.Context, c *platform.Client) error { _, err := c.List(ctx, "k"); return err }),
		"store, a watch":  store(pair, func(ctx context.Context, c *platform.Client) error { _, err := c.Watch(ctx, "k", 1, 0); return err }),
		"store, a write":  store("true", func(ctx context.Context, c *platform.Client) error { return c.CompareAndSwap(ctx, "k", []byte("v"), 1) }),
		"store, a delete": store("true", func(ctx context.Context, c *platform.Client) error { return c.Delete(ctx, "k", 1) }),
		"store, a lock": store("true", func(ctx context.Context, c *platform.Client) error {
			_, err := c.Acquire(ctx, "k", nil, "l")
			return err
		}),
		"store, a lease": store(`{"ID":"l"}`, func(ctx context.Context, c *platform.Client) error {
			_, err := c.GrantLease(ctx, time.Second)
			return err
		}),
		"store, a renewal": store("{}", func(ctx context.Context, c *platform.Client) error { return c.RenewLease(ctx, "l") }),
	}
}

func newCaller(address string, h *http.Client) *client.Client {
	return client.New(client.Config{Bootstrap: []string{address}, Address: netip.MustParseAddr("127.0.0.1"), HTTP: h})
}

// play makes a call to a server that gives one answer.
func play(t *testing.T, r reader, answer rawserver.Response) error {
	t.Helper()
	s, err := rawserver.Start(func(*http.Request) rawserver.Response { return answer })
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	ctx, cancel := context.WithTimeout(t.Context(), callTime)
	defer cancel()
	return r.call(ctx, s.Address)
}

// isKnown reports whether the store is taken to have said what became of a call.
func isKnown(err error) bool {
	return port.IsStoreCode(err, port.StoreConflict) || port.IsStoreCode(err, port.StoreNotFound) || port.IsStoreCode(err, port.StoreTooLarge)
}

// Guards against answers that HTTP does not allow and that are taken for what they say.
func TestMalformedAnswers(t *testing.T) {
	for name, r := range readers() {
		for _, status := range []int{http.StatusOK, http.StatusNotFound} {
			for fault, text := range rawserver.Malformed(status, "", r.body) {
				if err := play(t, r, rawserver.Response{Text: text, Ending: rawserver.Finish}); err == nil || isKnown(err) {
					t.Errorf("%s, %d, %s: error %v", name, status, fault, err)
				}
			}
		}
	}
}

// Guards against an answer that breaks off and is taken for less than it was to say. It is cut at
// every byte: with a length, in order without one, and by a reset.
func TestAnswersThatAreCut(t *testing.T) {
	for name, r := range readers() {
		if name == "store, a renewal" {
			// Its status says all.
			continue
		}
		for cut := range len(r.body) {
			for how, answer := range map[string]rawserver.Response{
				"with a length": {Text: "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + r.body[:cut], Ending: rawserver.Finish},
				"in order":      {Text: "HTTP/1.1 200 OK\r\n\r\n" + r.body[:cut], Ending: rawserver.Finish},
				"by a reset":    {Text: "HTTP/1.1 200 OK\r\n\r\n" + r.body[:cut], Ending: rawserver.Reset, Pause: time.Millisecond},
			} {
				if err := play(t, r, answer); err == nil || isKnown(err) {
					t.Errorf("%s, cut %s to %q: error %v", name, how, r.body[:cut], err)
				}
			}
		}
	}
}

// Checks that answers that HTTP allows are taken, however rare. Entry hosts say where each answer
// ends.
func TestUnusualAnswers(t *testing.T) {
	for name, r := range readers() {
		for fault, text := range rawserver.Unusual(http.StatusOK, "", r.body) {
			if name == "look-up" && strings.HasSuffix(fault, "no length") {
				continue
			}
			if err := play(t, r, rawserver.Response{Text: text, Ending: rawserver.Finish}); err != nil {
				t.Errorf("%s, %s: error %v", name, fault, err)
			}
		}
	}
}

// Guards against a part of an answer that a caller takes for a whole one, or for a proof that its
// request has not run, with the package's own client and with one that it is given.
func TestBrokenAnswersOfEntryHosts(t *testing.T) {
	given := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for status, outcome := range map[int]api.Outcome{http.StatusOK: api.OutcomeDone, http.StatusServiceUnavailable: api.OutcomeNotRun} {
		fields := api.HeaderOutcome + ": " + string(outcome) + "\r\n"
		const body = `{"code":"overloaded","outcome":"not-run"}`
		for fault, text := range rawserver.Malformed(status, fields, body) {
			answer := rawserver.Response{Text: text, Ending: rawserver.Finish}
			checkNoAnswer(t, fault, answer, nil, 1)
			if fault == "blank in a name" {
				checkNoAnswer(t, fault, answer, given, 1)
			}
		}
		text := fmt.Sprintf("HTTP/1.1 %d X\r\n%s\r\n%s", status, fields, body)
		early := rawserver.Response{Text: text, Early: true, Ending: rawserver.Reset, Pause: 20 * time.Millisecond}
		for range 5 {
			checkNoAnswer(t, "early and reset", early, nil, 16<<20)
			checkNoAnswer(t, "early and reset", early, given, 16<<20)
		}
	}
}

// Guards against a status that HTTP does not have and that a caller gets as an answer.
func TestStatusesThatAreNone(t *testing.T) {
	for _, status := range []int{0, 7, 99, http.StatusSwitchingProtocols} {
		text := fmt.Sprintf("HTTP/1.1 %03d X\r\n%s: done\r\nContent-Length: 0\r\n\r\n", status, api.HeaderOutcome)
		checkNoAnswer(t, fmt.Sprintf("status %03d", status), rawserver.Response{Text: text, Ending: rawserver.Finish}, nil, 1)
		for name, r := range readers() {
			err := play(t, r, rawserver.Response{Text: text, Ending: rawserver.Finish})
			isWrite := name == "store, a write" || name == "store, a delete" || name == "store, a lock"
			if err == nil || isKnown(err) || isWrite && !port.IsStoreCode(err, port.StoreUnknown) {
				t.Errorf("%s, status %03d: error %v", name, status, err)
			}
		}
	}
}

// checkNoAnswer has a caller send a body of size bytes to an entry host that gives a broken answer:
// it must be told that its request may have run.
func checkNoAnswer(t *testing.T, fault string, answer rawserver.Response, h *http.Client, size int) {
	t.Helper()
	s, err := rawserver.Start(func(r *http.Request) rawserver.Response {
		if !strings.HasPrefix(r.URL.Path, "/v1/lookup/") {
			return answer
		}
		body := fmt.Sprintf(`{"service":"s","hosts":[{"name":"a","address":%q}]}`, r.Host)
		return rawserver.Response{Text: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	ctx, cancel := context.WithTimeout(t.Context(), callTime)
	defer cancel()
	a, err := newCaller(s.Address, h).Do(ctx, &client.Request{Service: "s", Method: http.MethodPost, Path: "/", Body: make([]byte, size)})
	var failed *api.Error
	switch {
	case err == nil:
		t.Errorf("%s, given client %t: answer %d, %d bytes", fault, h != nil, a.Status, len(a.Body))
	case !errors.As(err, &failed) || failed.Outcome != api.OutcomeUnknown:
		t.Errorf("%s, given client %t: error %v", fault, h != nil, err)
	}
}
