package backendhttp_test

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"cassiatray/internal/adapter/backendhttp"
	"cassiatray/internal/port"
	"cassiatray/internal/standin/rawserver"
)

// respondWith returns the address of a server that answers every request with one response.
func respondWith(t *testing.T, r rawserver.Response) string {
	t.Helper()
	s, err := rawserver.Start(func(*http.Request) rawserver.Response { return r })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s.Address
}

// refusalFields say that request "a" has not run.
const refusalFields = backendhttp.HeaderRequestID + ": a\r\nRetry-After: 1\r\n" + backendhttp.HeaderNotRun + ": true\r\n"

// checkFailed fails unless an exchange failed with what a broken answer to request "a" leaves open.
func checkFailed(t *testing.T, name string, a *port.BackendAnswer, err error) {
	t.Helper()
	var be *port.BackendError
	switch {
	case err == nil:
		t.Errorf("%s: delivered %d, %d bytes, %v", name, a.Status, len(a.Body), a.Header)
	case !errors.As(err, &be) || be.Code != port.BackendBroken && be.Code != port.BackendShort || !be.Sent || be.NotRun:
		t.Errorf("%s: error %v", name, err)
	}
}

// Guards against responses that HTTP does not allow and that are delivered, or believed when they
// say that a request has not run or that a server is healthy.
func TestMalformedResponses(t *testing.T) {
	for status, fields := range map[int]string{
		http.StatusOK: backendhttp.HeaderRequestID + ": a\r\n", http.StatusServiceUnavailable: refusalFields,
	} {
		for name, text := range rawserver.Malformed(status, fields, "ok") {
			client := backendhttp.New(1)
			a, err := client.Do(t.Context(), respondWith(t, rawserver.Response{Text: text, Ending: rawserver.Finish}), request("a", http.MethodPost, []byte("x"), true))
			checkFailed(t, name, a, err)
			client.Close()
		}
	}
	for name, text := range rawserver.Malformed(http.StatusOK, "", "ok") {
		if name == "blank in a name, trailer" {
			// What is behind the head of a health answer changes nothing of it.
			continue
		}
		client := backendhttp.New(1)
		if h, err := client.Probe(t.Context(), respondWith(t, rawserver.Response{Text: text, Ending: rawserver.Finish})); err == nil {
			t.Errorf("health check, %s: %+v", name, h)
		}
		client.Close()
	}
}

// Checks that responses that HTTP allows are delivered, however rare, and on kept connections.
func TestUnusualResponses(t *testing.T) {
	for name, text := range rawserver.Unusual(http.StatusOK, backendhttp.HeaderRequestID+": a\r\n", "ok") {
		r := rawserver.Response{Text: text}
		if !strings.Contains(text, "Content-Length") && !strings.Contains(text, "chunked") {
			r.Ending = rawserver.Finish
		}
		address := respondWith(t, r)
		client := backendhttp.New(1)
		for range 3 {
			a, err := client.Do(t.Context(), address, request("a", http.MethodPost, []byte("x"), true))
			if err != nil || a.Status != http.StatusOK || string(a.Body) != "ok" {
				t.Errorf("%s: answer %+v, error %v", name, a, err)
			}
		}
		client.Close()
	}
}

// Guards against a malformed response that is taken where the one before, on the same connection,
// was whole.
func TestMalformedResponseOnAKeptConnection(t *testing.T) {
	fields := backendhttp.HeaderRequestID + ": a\r\n"
	for name, text := range rawserver.Malformed(http.StatusOK, fields, "ok") {
		n := 0
		s, err := rawserver.Start(func(*http.Request) rawserver.Response {
			if n++; n == 1 {
				return rawserver.Response{Text: "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 2\r\n\r\nok"}
			}
			return rawserver.Response{Text: text, Ending: rawserver.Finish}
		})
		if err != nil {
			t.Fatal(err)
		}
		client := backendhttp.New(1)
		if _, err := client.Do(t.Context(), s.Address, request("a", http.MethodPost, nil, true)); err != nil {
			t.Fatal(err)
		}
		a, err := client.Do(t.Context(), s.Address, request("a", http.MethodPost, nil, true))
		checkFailed(t, name, a, err)
		client.Close()
		s.Close()
	}
}

// Guards against a part of an answer that is delivered as complete, or believed as a refusal: the
// server answers an upload at once, without a length, and resets the connection while it is written.
func TestEarlyAnswerThatIsReset(t *testing.T) {
	// The transport reads and writes at once, so that either may be told of the reset.
	const plays = 10
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for status, fields := range map[string]string{"200 OK": backendhttp.HeaderRequestID + ": a\r\n", "503 X": refusalFields} {
			text := version + " " + status + "\r\n" + fields + "\r\nabcde"
			address := respondWith(t, rawserver.Response{Text: text, Early: true, Ending: rawserver.Reset, Pause: 20 * time.Millisecond})
			for range plays {
				client := backendhttp.New(1)
				a, err := client.Do(t.Context(), address, request("a", http.MethodPost, make([]byte, 16<<20), true))
				checkFailed(t, version+" "+status, a, err)
				client.Close()
			}
		}
	}
}

// Checks that an early answer that is whole is delivered: one that says itself where it ends, and
// one without a length that ends in order.
func TestEarlyAnswerThatIsWhole(t *testing.T) {
	const plays = 10
	for name, r := range map[string]rawserver.Response{
		"length, reset":       {Text: "Content-Length: 5\r\n\r\nabcde", Ending: rawserver.Reset},
		"chunks, reset":       {Text: "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n", Ending: rawserver.Reset},
		"no length, in order": {Text: "\r\nabcde", Ending: rawserver.Finish},
	} {
		r.Text = "HTTP/1.1 200 OK\r\n" + backendhttp.HeaderRequestID + ": a\r\n" + r.Text
		r.Early, r.Pause = true, 20*time.Millisecond
		address := respondWith(t, r)
		for range plays {
			client := backendhttp.New(1)
			if a, err := client.Do(t.Context(), address, request("a", http.MethodPost, make([]byte, 16<<20), true)); err != nil || string(a.Body) != "abcde" {
				t.Errorf("%s: answer %+v, error %v", name, a, err)
			}
			client.Close()
		}
	}
}
