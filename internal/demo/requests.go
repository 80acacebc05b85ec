package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"cassiatray/client"
	"cassiatray/internal/site"
	"cassiatray/internal/standin/server"
)

func (d *Demo) client(s *site.Site, address string) *client.Client {
	var bootstrap []string
	for _, h := range s.Hosts {
		bootstrap = append(bootstrap, h.Caller.String())
	}
	return client.New(client.Config{Bootstrap: bootstrap, Address: netip.MustParseAddr(address)})
}

// requestTime bounds one request of the demo.
const requestTime = 5 * time.Second

func (d *Demo) request(ctx context.Context, s *site.Site, c *client.Client, r *client.Request) (*client.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTime)
	defer cancel()
	start := time.Now()
	a, err := c.Do(ctx, r)
	if err != nil {
		return nil, &StepError{Step: r.Method + " " + r.Path, Err: err}
	}
	var body server.Answer
	if err := json.Unmarshal(a.Body, &body); err != nil {
		return nil, &StepError{Step: r.Method + " " + r.Path, Err: err}
	}
	d.say(s, "%s %s: %d from %s by entry host %s in %s",
		r.Method, r.Path, a.Status, body.Server, a.Host, time.Since(start).Round(time.Millisecond))
	return a, nil
}

// checkRuns asks the stand-in servers how often an operation ran.
func (d *Demo) checkRuns(ctx context.Context, s *site.Site, id string) error {
	runs := 0
	for _, b := range s.Servers {
		stats, err := b.Stats(ctx)
		if err != nil {
			return &StepError{Step: "stats of " + b.Name, Err: err}
		}
		runs += stats.Operations[id]
	}
	d.say(s, "operation %s ran %d time(s), counted at the servers", id, runs)
	if runs != 1 {
		return &StepError{Step: "runs of " + id, Err: &UnexpectedError{Want: "1", Got: fmt.Sprint(runs)}}
	}
	return nil
}
