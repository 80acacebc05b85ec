package drill

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"cassiatray/api"
	"cassiatray/client"
	"cassiatray/internal/site"
	"cassiatray/internal/sleep"
)

// Callers send requests in a closed loop until they are stopped.
type Callers struct {
	site    *site.Site
	record  *record
	http    *http.Client
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	spread  int
	pace    time.Duration
	only    Kind
	ended   atomic.Int64
	failed  atomic.Int64
	mu      sync.Mutex
	failure map[string]int
}

// Load is what callers send.
type Load struct {
	// Callers is how many send at once; every other one sends at-most-once
	// requests.
	Callers int
	// Pace is the pause of a caller between two requests.
	Pace time.Duration
	// Spread makes every Spread-th at-most-once request a copy to every entry
	// host at once; zero means none.
	Spread int
	// Only restricts what is sent.
	Only Kind
}

// Kind is a kind of request.
type Kind int

// Values of Kind.
const (
	// Both is at-most-once and idempotent requests.
	Both Kind = iota
	// Reads is idempotent requests.
	Reads
)

// callTimeout bounds one request.
const callTimeout = 8 * time.Second

// Start starts callers of a running site.
func Start(ctx context.Context, s *site.Site, l Load) *Callers {
	ctx, cancel := context.WithCancel(ctx)
	transport := &http.Transport{MaxIdleConnsPerHost: l.Callers}
	r := newRecord(transport)
	c := &Callers{
		site: s, record: r, http: &http.Client{Transport: r}, cancel: cancel, spread: l.Spread, pace: l.Pace, only: l.Only,
		failure: map[string]int{},
	}
	context.AfterFunc(ctx, transport.CloseIdleConnections)
	for i := range l.Callers {
		c.wg.Go(func() { c.loop(ctx, i) })
	}
	return c
}

// Ended is how many requests have ended.
func (c *Callers) Ended() int64 { return c.ended.Load() }

// Failed is how many requests ended without an answer.
func (c *Callers) Failed() int64 { return c.failed.Load() }

// Failures counts failed requests by their error.
func (c *Callers) Failures() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}

// Stop waits for the requests in flight and judges.
func (c *Callers) Stop(ctx context.Context) (Verdict, error) {
	c.cancel()
	c.wg.Wait()
	return c.record.judge(ctx, c.site)
}

func (c *Callers) loop(ctx context.Context, i int) {
	cl := c.client(i)
	for n := 0; ctx.Err() == nil; n++ {
		// A request in flight is not cut when the drill ends.
		c.one(context.WithoutCancel(ctx), cl, i, n)
		sleep.For(ctx, c.pace)
	}
}

func (c *Callers) client(i int) *client.Client {
	var bootstrap []string
	for j := range c.site.Hosts {
		bootstrap = append(bootstrap, c.site.Hosts[(i+j)%len(c.site.Hosts)].Caller.String())
	}
	address := netip.AddrFrom4([4]byte{10, byte(i % len(c.site.Shape.Regions)), 0, byte(i)})
	return client.New(client.Config{Bootstrap: bootstrap, Address: address, HTTP: c.http})
}

func (c *Callers) one(ctx context.Context, cl *client.Client, i, n int) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r := &client.Request{Service: service, Method: http.MethodGet, Path: "/stock/salt"}
	if i%2 == 1 && c.only == Both {
		r = &client.Request{Service: service, Method: http.MethodPost, Path: "/bookings", Once: true, Body: fmt.Appendf(nil, "%d/%d", i, n)}
	}
	var err error
	if r.Once && c.spread > 0 && n%c.spread == c.spread-1 {
		err = c.everywhere(ctx, cl, r)
	} else {
		_, err = cl.Do(ctx, r)
	}
	c.end(err)
}

func (c *Callers) end(err error) {
	c.ended.Add(1)
	if err == nil {
		return
	}
	c.failed.Add(1)
	text := "look-up"
	var failed *client.Error
	if errors.As(err, &failed) {
		text = string(failed.Err.Code) + " " + string(failed.Err.Outcome)
		if failed.OperationID != "" {
			c.record.tell(failed.OperationID, failed.Err.Outcome)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failure[text]++
}

// everywhere sends one operation to every entry host at once and asks for its
// outcome again after that.
func (c *Callers) everywhere(ctx context.Context, cl *client.Client, r *client.Request) error {
	lookup, err := cl.Lookup(ctx, r.Service)
	if err != nil || len(lookup.Hosts) == 0 {
		return err
	}
	id, err := api.NewOperationID(lookup.Hosts[0])
	if err != nil {
		return err
	}
	again := *r
	again.OperationID = id.String()
	var wg sync.WaitGroup
	for _, h := range c.site.Hosts {
		wg.Go(func() { c.copy(ctx, h.Caller.String(), &again) })
	}
	wg.Wait()
	_, err = cl.Do(ctx, &again)
	return err
}

// copy sends one copy of an operation to one host, by plain HTTP.
func (c *Callers) copy(ctx context.Context, address string, r *client.Request) {
	target := "http://" + address + "/v1/request/" + r.Service + r.Path
	req, err := http.NewRequestWithContext(ctx, r.Method, target, nil)
	if err != nil {
		return
	}
	req.Header.Set(api.HeaderOperationID, r.OperationID)
	resp, err := c.http.Do(req)
	if err != nil {
		return
	}
	resp.Body.Close()
}
