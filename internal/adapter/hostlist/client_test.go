package hostlist

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"cassiatray/internal/port"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const whole = `{"hosts":[{"name":"s-1","address":"10.0.0.1:9000"},{"name":"s-2","address":"10.0.0.2","leaving":true}]}`

// read reads a body through the client. Length is what the server announces.
func read(t *testing.T, status int, body string, length int) ([]port.ListedHost, error) {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(length))
		w.WriteHeader(status)
		w.Write([]byte(body))
	}))
	defer srv.Close()
	return New(srv.Listener.Addr().String()).Hosts(context.Background())
}

func TestWholeList(t *testing.T) {
	hosts, err := read(t, http.StatusOK, whole, len(whole))
	if err != nil || len(hosts) != 2 || hosts[0].Leaving || !hosts[1].Leaving || hosts[1].Address != "10.0.0.2" {
		t.Fatalf("%+v, %v", hosts, err)
	}
	if hosts, err := read(t, http.StatusOK, `{"hosts":[]}`, 12); err != nil || len(hosts) != 0 {
		t.Fatalf("empty list: %+v, %v", hosts, err)
	}
}

// TestTornList cuts a list at every byte, with and without the connection
// showing it.
func TestTornList(t *testing.T) {
	for n := range len(whole) {
		for _, length := range []int{n, len(whole)} {
			refuse(t, "cut at "+strconv.Itoa(n), http.StatusOK, whole[:n], length)
		}
	}
}

// TestMalformedList checks that one fault refuses the whole list.
func TestMalformedList(t *testing.T) {
	for name, body := range map[string]string{
		"no object":       `null`,
		"no list":         `{}`,
		"null list":       `{"hosts":null}`,
		"other type":      `{"hosts":{"name":"s-1"}}`,
		"more after it":   whole + `{"hosts":[]}`,
		"no name":         strings.Replace(whole, `"name":"s-2"`, `"name":""`, 1),
		"no address":      strings.Replace(whole, `"10.0.0.2"`, `""`, 1),
		"no such address": strings.Replace(whole, `10.0.0.2`, `10.0.0.256`, 1),
		"other leaving":   strings.Replace(whole, `true`, `"yes"`, 1),
		"named twice":     strings.Replace(whole, `10.0.0.2"`, `10.0.0.1:9000"`, 1),
		"too large":       whole + strings.Repeat(" ", maxList),
	} {
		refuse(t, name, http.StatusOK, body, len(body))
	}
	refuse(t, "status", http.StatusServiceUnavailable, whole, len(whole))
}

func refuse(t *testing.T, name string, status int, body string, length int) {
	t.Helper()
	hosts, err := read(t, status, body, length)
	var typed *Error
	if hosts != nil || !errors.As(err, &typed) {
		t.Errorf("%s: %d hosts, %v", name, len(hosts), err)
	}
}
