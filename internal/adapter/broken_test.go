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
	"cassiatray/internal/standin/rawserver"
)

func newCaller(address string, h *http.Client) *client.Client {
	return client.New(client.Config{Bootstrap: []string{address}, Address: netip.MustParseAddr("127.0.0.1"), HTTP: h})
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
