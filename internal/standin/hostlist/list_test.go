package hostlist

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	client "cassiatray/internal/adapter/hostlist"
	"cassiatray/internal/port"
)

const lag = 5 * time.Second

// served reads the list as its clients do.
func served(t *testing.T, l *List) []port.ListedHost {
	t.Helper()
	w := httptest.NewRecorder()
	l.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, client.Path, nil))
	hosts, err := client.Decode(w.Body)
	if err != nil {
		t.Fatal(err)
	}
	return hosts
}

// put replaces the list and returns the status.
func put(l *List, body string) int {
	w := httptest.NewRecorder()
	l.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/standin/hosts", strings.NewReader(body)))
	return w.Code
}

// TestLag checks that a leaving host and a host that is gone show one lag
// later, each in its turn.
func TestLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(lag, []port.ListedHost{{Name: "s-1", Address: "10.0.0.1:9000"}})
		put(l, `{"hosts":[{"name":"s-1","address":"10.0.0.1:9000","leaving":true}]}`)
		time.Sleep(time.Second)
		put(l, `{"hosts":[]}`)
		time.Sleep(lag - time.Second - 1)
		if got := served(t, l); len(got) != 1 || got[0].Leaving {
			t.Fatalf("before the lag: %+v", got)
		}
		time.Sleep(time.Nanosecond)
		if got := served(t, l); len(got) != 1 || !got[0].Leaving {
			t.Fatalf("after the lag: %+v", got)
		}
		time.Sleep(time.Second)
		if got := served(t, l); len(got) != 0 {
			t.Fatalf("after both: %+v", got)
		}
	})
}

// TestBadReplacement checks that a malformed list replaces nothing.
func TestBadReplacement(t *testing.T) {
	l := New(0, []port.ListedHost{{Name: "s-1", Address: "10.0.0.1:9000"}})
	for _, body := range []string{``, `{}`, `{"hosts":[`, `{"hosts":[{"name":"s-2"}]}`, `{"hosts":[]} {}`} {
		if status := put(l, body); status != http.StatusBadRequest {
			t.Errorf("%q: status %d", body, status)
		}
	}
	if got := served(t, l); len(got) != 1 || got[0].Name != "s-1" {
		t.Fatalf("%+v", got)
	}
}
