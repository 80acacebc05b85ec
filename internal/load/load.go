// Package load sends requests on a fixed schedule, whatever the answers do
// (open loop), and measures each from its scheduled time, so that a slow
// system cannot hide its delays.
package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cassiatray/api"
	"cassiatray/client"
	"cassiatray/internal/adapter/backendhttp"
)

// Plan is one load.
type Plan struct {
	// Bootstrap are caller addresses of entry hosts; Direct are addresses of
	// backend servers, used instead to bypass the system.
	Bootstrap []string
	Direct    []string
	Client    netip.Addr
	Service   string
	Method    string
	Path      string
	Once      bool
	// Rate is in requests a second.
	Rate     float64
	Duration time.Duration
	// Timeout bounds one request.
	Timeout time.Duration
}

// Row is the result of a load. Latencies are in microseconds.
type Row struct {
	Service string  `json:"service"`
	Rate    float64 `json:"rate"`
	Sent    int     `json:"sent"`
	Done    int     `json:"done"`
	NotRun  int     `json:"notRun"`
	Unknown int     `json:"unknown"`
	P50     int64   `json:"p50"`
	P99     int64   `json:"p99"`
	P999    int64   `json:"p999"`
	Max     int64   `json:"max"`
}

// Header names the columns of a Row's text.
const Header = "service          rate     sent     done   notrun  unknown   p50 ms   p99 ms  p999 ms   max ms"

func (r Row) String() string {
	ms := func(v int64) float64 { return float64(v) / 1000 }
	return fmt.Sprintf("%-12s %8.0f %8d %8d %8d %8d %8.2f %8.2f %8.2f %8.2f",
		r.Service, r.Rate, r.Sent, r.Done, r.NotRun, r.Unknown, ms(r.P50), ms(r.P99), ms(r.P999), ms(r.Max))
}

// Range of latencies kept, in microseconds, and their precision.
const (
	minLatency  = 1
	maxLatency  = 120_000_000
	significant = 3
	// maxConns bounds the connections to one address.
	maxConns = 512
)

type run struct {
	plan Plan
	send func(ctx context.Context, i int) error

	mu   sync.Mutex
	hist *hdrhistogram.Histogram
	row  Row
}

// Run sends the load and waits for all answers.
func Run(ctx context.Context, p Plan) Row {
	transport := &http.Transport{MaxIdleConnsPerHost: maxConns, MaxConnsPerHost: maxConns}
	defer transport.CloseIdleConnections()
	h := &http.Client{Transport: transport}
	r := &run{plan: p, hist: hdrhistogram.New(minLatency, maxLatency, significant)}
	if len(p.Direct) > 0 {
		r.send = r.direct(h)
	} else {
		r.send = r.through(client.New(client.Config{Bootstrap: p.Bootstrap, Address: p.Client, HTTP: h}))
	}
	r.schedule(ctx)
	r.row.Service, r.row.Rate = p.Service, p.Rate
	r.row.P50 = r.hist.ValueAtQuantile(50)
	r.row.P99 = r.hist.ValueAtQuantile(99)
	r.row.P999 = r.hist.ValueAtQuantile(99.9)
	r.row.Max = r.hist.Max()
	return r.row
}

func (r *run) through(c *client.Client) func(context.Context, int) error {
	return func(ctx context.Context, _ int) error {
		_, err := c.Do(ctx, &client.Request{Service: r.plan.Service, Method: r.plan.Method, Path: r.plan.Path, Once: r.plan.Once})
		return err
	}
}

// direct sends to backend servers in turn.
func (r *run) direct(h *http.Client) func(context.Context, int) error {
	return func(ctx context.Context, i int) error {
		address := r.plan.Direct[i%len(r.plan.Direct)]
		req, err := http.NewRequestWithContext(ctx, r.plan.Method, "http://"+address+r.plan.Path, nil)
		if err != nil {
			return err
		}
		req.Header.Set(backendhttp.HeaderRequestID, fmt.Sprint(i))
		resp, err := h.Do(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
}

func (r *run) schedule(ctx context.Context) {
	start := time.Now()
	interval := time.Duration(float64(time.Second) / r.plan.Rate)
	total := int(r.plan.Duration.Seconds() * r.plan.Rate)
	var wg sync.WaitGroup
	for i := range total {
		at := start.Add(time.Duration(i) * interval)
		time.Sleep(time.Until(at))
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() { r.one(ctx, i, at) })
	}
	wg.Wait()
}

func (r *run) one(ctx context.Context, i int, at time.Time) {
	ctx, cancel := context.WithTimeout(ctx, r.plan.Timeout)
	defer cancel()
	err := r.send(ctx, i)
	took := time.Since(at).Microseconds()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.row.Sent++
	r.count(err)
	r.hist.RecordValue(max(minLatency, min(took, maxLatency)))
}

func (r *run) count(err error) {
	var fail *api.Error
	switch {
	case err == nil:
		r.row.Done++
	case errors.As(err, &fail) && fail.Outcome == api.OutcomeNotRun:
		r.row.NotRun++
	default:
		r.row.Unknown++
	}
}
