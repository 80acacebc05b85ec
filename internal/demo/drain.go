package demo

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"cassiatray/client"
	"cassiatray/internal/site"
)

// drain plans the drain of one server, by document, and counts its runs after.
func (d *Demo) drain(ctx context.Context, s *site.Site) error {
	target := s.Servers[0]
	c, err := d.clientOf(ctx, s, target.Service, target.Domain)
	if err != nil {
		return err
	}
	before, err := d.runsOf(ctx, c, target)
	if err != nil {
		return err
	}
	d.say(s, "drain %s by a document change", target.Name)
	if err := s.WriteDrain("drain.yaml", target); err != nil {
		return err
	}
	if err := d.ctl(ctx, s, "apply", s.File("drain.yaml"), "--reason", "service "+target.Name); err != nil {
		return err
	}
	if err := d.ctl(ctx, s, "promote", "--reason", "service "+target.Name); err != nil {
		return err
	}
	if err := site.Await(ctx, "the drain everywhere", func() bool { return s.InForce(ctx, 2) }); err != nil {
		return err
	}
	after, err := d.runsOf(ctx, c, target)
	if err != nil {
		return err
	}
	d.say(s, "%s ran %d of %d requests before its drain, %d after", target.Name, before, drainRequests, after)
	if before == 0 || after != 0 {
		got := fmt.Sprintf("%d before and %d after", before, after)
		return &StepError{Step: "drain", Err: &UnexpectedError{Want: "some before and 0 after", Got: got}}
	}
	return nil
}

// drainRequests is how many requests are sent before and after a drain.
const drainRequests = 40

// runsOf sends requests and returns how many of them a server ran.
func (d *Demo) runsOf(ctx context.Context, c *client.Client, b site.ServerPlan) (uint64, error) {
	before, err := d.runs(ctx, b)
	if err != nil {
		return 0, err
	}
	for range drainRequests {
		if _, err := c.Do(ctx, &client.Request{Service: b.Service, Method: http.MethodGet, Path: "/stock/salt"}); err != nil {
			return 0, &StepError{Step: "request to " + b.Service, Err: err}
		}
	}
	after, err := d.runs(ctx, b)
	return after - before, err
}

// clientOf returns a client whose look-ups name a host of a domain first. It
// waits for the domain: right after the start its hosts may not be named yet.
func (d *Demo) clientOf(ctx context.Context, s *site.Site, service, domain string) (*client.Client, error) {
	var found *client.Client
	var fail error
	err := site.Await(ctx, "a caller of "+domain, func() bool {
		found, fail = d.findClient(ctx, s, service, domain)
		return found != nil || fail != nil
	})
	return found, errors.Join(err, fail)
}

// maxCallers is how many caller addresses are tried.
const maxCallers = 254

func (d *Demo) findClient(ctx context.Context, s *site.Site, service, domain string) (*client.Client, error) {
	for i := range maxCallers {
		c := d.client(s, fmt.Sprintf("10.0.0.%d", i+1))
		answer, err := c.Lookup(ctx, service)
		if err != nil {
			return nil, err
		}
		if len(answer.Hosts) > 0 && answer.Hosts[0].Domain == domain {
			return c, nil
		}
	}
	return nil, nil
}

func (d *Demo) runs(ctx context.Context, b site.ServerPlan) (uint64, error) {
	stats, err := b.Stats(ctx)
	if err != nil {
		return 0, &StepError{Step: "stats of " + b.Name, Err: err}
	}
	return stats.Runs, nil
}
