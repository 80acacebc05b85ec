package measure

import (
	"context"
	"net/http"
	"time"

	"cassiatray/client"
	"cassiatray/internal/load"
	"cassiatray/internal/sleep"
)

// Sends of the request that crashes servers.
const (
	crashResends  = 30
	crashRate     = 8 // requests a second from many callers
	crashRestWait = 3 * time.Second
)

// runCrash sends a request that crashes servers under load: first one caller
// sends it again after each answer, then many callers send another at once.
func runCrash(r *Runner, ctx context.Context, s *Scenario) error {
	shape := coop()
	b, err := r.bring(ctx, s, shape)
	if err != nil {
		return err
	}
	defer b.end(s)
	streams := coopStreams(shape, 0.3)
	rows, err := b.during(ctx, r.Time, streams, func(ctx context.Context) error {
		b.resend(ctx, "/sheets/1?crash=1")
		return nil
	})
	label(rows, "one caller")
	s.Rows = append(s.Rows, rows...)
	one := b.crashes(ctx)
	s.figure("servers lost to one caller's resends", float64(one), "")
	sleep.For(ctx, crashRestWait)
	many := load.Stream{
		Name: "crashing", Service: "rodsheet", Method: http.MethodGet, Path: "/sheets/2?crash=1",
		Rate: crashRate, Timeout: 2 * time.Second,
	}
	rows = b.load(ctx, r.Time, append(streams, many)...)
	label(rows, "many callers")
	s.Rows = append(s.Rows, rows...)
	s.figure("servers lost to many callers at once", float64(b.crashes(ctx)-one), "")
	b.serverFigures(ctx, s)
	return err
}

// resend sends one request again and again from one caller.
func (b *bed) resend(ctx context.Context, path string) {
	c := client.New(client.Config{Bootstrap: b.bootstrap(), Address: b.callers()[0]})
	for range crashResends {
		try, cancel := context.WithTimeout(ctx, 2*time.Second)
		c.Do(try, &client.Request{Service: "rodsheet", Method: http.MethodGet, Path: path})
		cancel()
	}
}

func (b *bed) crashes(ctx context.Context) int {
	n := 0
	for _, st := range b.serverStats(ctx) {
		n += st.Crashes
	}
	return n
}
