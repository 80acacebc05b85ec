// Package load sends requests on a schedule that does not depend on the
// answers (open loop) and measures each from its scheduled time, so that a
// slow system cannot hide its delays.
package load

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cassiatray/api"
	"cassiatray/client"
	"cassiatray/internal/adapter/httpclient"
)

// Plan is one load of several streams.
type Plan struct {
	// Bootstrap are caller addresses ("ip:port") of entry hosts.
	Bootstrap []string
	// Callers are the addresses that look-ups are made for; each has a client
	// of its own.
	Callers  []netip.Addr
	Streams  []Stream
	Duration time.Duration
	// Seed fixes the arrival times and the choice of callers.
	Seed uint64
}

// Stream is a sequence of like requests with exponential intervals.
type Stream struct {
	Name    string
	Service string
	Method  string
	Path    string
	Body    []byte
	// Once gives each request an operation ID.
	Once bool
	// Rate is the mean rate in requests a second.
	Rate float64
	// Timeout bounds one request.
	Timeout time.Duration
	// Deadline is the time within which an answer is of use; zero means Timeout.
	Deadline time.Duration
	// Direct are addresses of backend servers, used in turn in place of the
	// system; empty means through the system.
	Direct []string
}

// Range of latencies kept, in microseconds, and their precision.
const (
	minLatency  = 1
	maxLatency  = 120_000_000
	significant = 3
	// maxConns bounds the connections to one address.
	maxConns = 1024
)

// Run sends the load, waits for all answers and returns a row for each stream.
func Run(ctx context.Context, p Plan) []Row {
	transport := &http.Transport{MaxIdleConnsPerHost: maxConns, MaxConnsPerHost: maxConns}
	defer transport.CloseIdleConnections()
	h := httpclient.New(transport)
	callers := make([]*client.Client, 0, len(p.Callers))
	for _, a := range p.Callers {
		callers = append(callers, client.New(client.Config{Bootstrap: p.Bootstrap, Address: a, HTTP: h}))
	}
	runs := make([]*run, 0, len(p.Streams))
	var wg sync.WaitGroup
	for i, s := range p.Streams {
		r := &run{
			stream: s, callers: callers, http: h, rng: rand.New(rand.NewPCG(p.Seed, uint64(i))),
			hist: hdrhistogram.New(minLatency, maxLatency, significant),
		}
		runs = append(runs, r)
		wg.Go(func() { r.schedule(ctx, p.Duration) })
	}
	wg.Wait()
	rows := make([]Row, 0, len(runs))
	for _, r := range runs {
		rows = append(rows, r.result())
	}
	return rows
}

// run is one stream under way. mu guards hist and row.
type run struct {
	stream  Stream
	callers []*client.Client
	http    *http.Client
	rng     *rand.Rand

	mu   sync.Mutex
	hist *hdrhistogram.Histogram
	row  Row
}

// schedule starts requests at random intervals whatever their answers do.
func (r *run) schedule(ctx context.Context, d time.Duration) {
	at := time.Now()
	end := at.Add(d)
	var wg sync.WaitGroup
	for i := 0; ; i++ {
		at = at.Add(time.Duration(r.rng.ExpFloat64() / r.stream.Rate * float64(time.Second)))
		if at.After(end) || ctx.Err() != nil {
			break
		}
		scheduled, caller := at, r.pick()
		time.Sleep(time.Until(scheduled))
		wg.Go(func() { r.one(ctx, caller, i, scheduled) })
	}
	wg.Wait()
}

func (r *run) pick() *client.Client {
	if len(r.callers) == 0 {
		return nil
	}
	return r.callers[r.rng.IntN(len(r.callers))]
}

func (r *run) one(ctx context.Context, c *client.Client, i int, at time.Time) {
	ctx, cancel := context.WithTimeout(ctx, r.stream.Timeout)
	defer cancel()
	err := r.send(ctx, c, i)
	r.record(time.Since(at), err)
}

func (r *run) send(ctx context.Context, c *client.Client, i int) error {
	if len(r.stream.Direct) > 0 {
		return r.sendDirect(ctx, i)
	}
	_, err := c.Do(ctx, &client.Request{
		Service: r.stream.Service, Method: r.stream.Method, Path: r.stream.Path, Body: r.stream.Body, Once: r.stream.Once,
	})
	return err
}

func (r *run) record(took time.Duration, err error) {
	deadline := r.stream.Deadline
	if deadline == 0 {
		deadline = r.stream.Timeout
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.row.Sent++
	r.count(err)
	if err != nil {
		return
	}
	if took <= deadline {
		r.row.InTime++
	}
	r.hist.RecordValue(max(minLatency, min(took.Microseconds(), maxLatency)))
}

func (r *run) count(err error) {
	var fail *api.Error
	switch {
	case err == nil:
		r.row.Done++
	case errors.As(err, &fail) && fail.Outcome == api.OutcomeNotRun:
		r.row.NotRun++
		r.row.fail(fail)
	case errors.As(err, &fail):
		r.row.Unknown++
		r.row.fail(fail)
	default:
		r.row.Unknown++
	}
}

func (r *run) result() Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.row
	out.Stream, out.Service, out.Rate = r.stream.Name, r.stream.Service, r.stream.Rate
	out.P50 = r.hist.ValueAtQuantile(50)
	out.P99 = r.hist.ValueAtQuantile(99)
	out.P999 = r.hist.ValueAtQuantile(99.9)
	out.Max = r.hist.Max()
	return out
}
