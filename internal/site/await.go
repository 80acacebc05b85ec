package site

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"cassiatray/internal/adapter/httpclient"
	"cassiatray/internal/core/document"
)

// poll is the interval at which conditions are looked at.
const poll = 50 * time.Millisecond

// WaitError is a condition that did not come about in time.
type WaitError struct{ What string }

func (e *WaitError) Error() string { return "gave up waiting for " + e.What }

// Await waits until a condition holds.
func Await(ctx context.Context, what string, cond func() bool) error {
	t := time.NewTicker(poll)
	defer t.Stop()
	for !cond() {
		select {
		case <-t.C:
		case <-ctx.Done():
			return &WaitError{What: what}
		}
	}
	return nil
}

// Get reads a URL and reports the status, or 0 when it cannot be reached.
func Get(ctx context.Context, url string) (int, []byte) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil
	}
	resp, err := httpclient.Default.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, body
}

// AwaitReady waits until an operator address reports that its process is ready.
func AwaitReady(ctx context.Context, operator document.Address) error {
	return Await(ctx, "readiness of "+operator.String(), func() bool {
		status, _ := Get(ctx, "http://"+operator.String()+"/readyz")
		return status == http.StatusOK
	})
}

// AwaitServers waits until the store, the list of hosts and every backend
// server accept connections.
func (s *Site) AwaitServers(ctx context.Context) error {
	addresses := []document.Address{s.Store, s.HostList}
	for _, b := range s.Servers {
		addresses = append(addresses, b.Address)
	}
	for _, a := range addresses {
		err := Await(ctx, a.String(), func() bool { return s.Running() != nil || accepts(ctx, a.String()) })
		if err != nil {
			return err
		}
	}
	return s.Running()
}

func accepts(ctx context.Context, address string) bool {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}
