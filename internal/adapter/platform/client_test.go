package platform

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cassiatray/internal/port"
	"cassiatray/internal/standin/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// callLimit is far above what any call here takes.
const callLimit = time.Minute

func newClient(t *testing.T) (*Client, *store.Store, *httptest.Server) {
	kv := store.New()
	srv := httptest.NewServer(kv.Handler())
	c := New(strings.TrimPrefix(srv.URL, "http://"), callLimit).Named("h1")
	t.Cleanup(func() { c.Close(); srv.Close() })
	return c, kv, srv
}

// TestCodes: a write that may have taken effect is told from one that did not.
func TestCodes(t *testing.T) {
	ctx := context.Background()
	write := func(c *Client) error { return c.CompareAndSwap(ctx, "k", []byte("v"), 0) }
	read := func(c *Client) error { _, err := c.Get(ctx, "k"); return err }
	for _, x := range []struct {
		name    string
		faults  store.Faults
		call    func(*Client) error
		code    port.StoreCode
		written bool
	}{
		{"write", store.Faults{}, write, "", true},
		{"absent", store.Faults{}, read, port.StoreNotFound, false},
		{"conflict", store.Faults{}, func(c *Client) error { return c.CompareAndSwap(ctx, "k", nil, 7) }, port.StoreConflict, false},
		{"too large", store.Faults{}, func(c *Client) error { return c.CompareAndSwap(ctx, "k", make([]byte, MaxValue+1), 0) }, port.StoreTooLarge, false},
		{"down, write", store.Faults{Down: true}, write, port.StoreUnavailable, false},
		{"down, read", store.Faults{Down: true}, read, port.StoreUnavailable, false},
		{"reply lost", store.Faults{LoseReplies: 1}, write, port.StoreUnknown, true},
		{"cut, write", store.Faults{Cut: []string{"h1"}}, write, port.StoreUnknown, false},
		{"cut, read", store.Faults{Cut: []string{"h1"}}, read, port.StoreUnavailable, false},
		{"lapsed lease", store.Faults{}, func(c *Client) error { return c.RenewLease(ctx, "none") }, port.StoreNotFound, false},
	} {
		c, kv, _ := newClient(t)
		kv.SetFaults(x.faults)
		err := x.call(c)
		if x.code == "" && err != nil || x.code != "" && !port.IsStoreCode(err, x.code) {
			t.Errorf("%s: %v", x.name, err)
		}
		kv.SetFaults(store.Faults{})
		if written := read(c) == nil; written != x.written {
			t.Errorf("%s: written %t", x.name, written)
		}
	}
}

// TestUnreachable: a call that finds no listener had no effect.
func TestUnreachable(t *testing.T) {
	c, _, srv := newClient(t)
	srv.Close()
	if err := c.CompareAndSwap(context.Background(), "k", nil, 0); !port.IsStoreCode(err, port.StoreUnavailable) {
		t.Error(err)
	}
}

// TestWritesAreSentOnce loses the reply of a write on a connection that was
// used before, where HTTP transports repeat some requests.
func TestWritesAreSentOnce(t *testing.T) {
	ctx := context.Background()
	for name, write := range map[string]func(*Client) error{
		"swap":   func(c *Client) error { return c.CompareAndSwap(ctx, "k", []byte("v"), 0) },
		"delete": func(c *Client) error { return c.Delete(ctx, "k", 0) },
		"grant":  func(c *Client) error { _, err := c.GrantLease(ctx, time.Second); return err },
	} {
		c, kv, _ := newClient(t)
		if _, err := c.List(ctx, ""); err != nil {
			t.Fatal(err)
		}
		kv.SetFaults(store.Faults{LoseReplies: 2})
		if err := write(c); !port.IsStoreCode(err, port.StoreUnknown) {
			t.Errorf("%s: %v", name, err)
		}
		if n := kv.Counts().Writes; n != 1 {
			t.Errorf("%s: sent %d times", name, n)
		}
	}
}
