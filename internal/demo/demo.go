// Package demo shows the whole path of a request on small systems of both
// users, and fails on the first step that does not do as it says.
package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"cassiatray/api"
	"cassiatray/client"
	"cassiatray/internal/site"
	"cassiatray/internal/standin/server"
)

// production is the environment that the demo's daemons run.
const production = "production"

// Demo is one run.
type Demo struct {
	// Bin holds the built programs.
	Bin string
	Out io.Writer
	// Up leaves the systems running until the context ends.
	Up bool
}

// StepError is a step that did not do as it says.
type StepError struct {
	Step string
	Err  error
}

func (e *StepError) Error() string { return fmt.Sprintf("%s: %v", e.Step, e.Err) }

func (e *StepError) Unwrap() error { return e.Err }

// UnexpectedError is a result other than the one that a step must give.
type UnexpectedError struct{ Want, Got string }

func (e *UnexpectedError) Error() string { return fmt.Sprintf("got %s, want %s", e.Got, e.Want) }

// Run runs the demo.
func (d *Demo) Run(ctx context.Context) (err error) {
	coop, err := site.New(site.Coop(1), d.Bin, production)
	if err != nil {
		return err
	}
	defer coop.Close()
	franchise, err := site.New(site.Franchise(1), d.Bin, production)
	if err != nil {
		return err
	}
	defer franchise.Close()
	if err := d.bring(ctx, coop); err != nil {
		return err
	}
	if err := d.bring(ctx, franchise); err != nil {
		return err
	}
	if d.Up {
		return d.stay(ctx, coop, franchise)
	}
	if err := d.showCoop(ctx, coop); err != nil {
		return err
	}
	if err := d.showFranchise(ctx, franchise); err != nil {
		return err
	}
	return d.end(coop, franchise)
}

func (d *Demo) say(s *site.Site, format string, args ...any) {
	fmt.Fprintf(d.Out, "%-10s %s\n", s.Shape.Name, fmt.Sprintf(format, args...))
}

// bring starts a site and puts its document in force.
func (d *Demo) bring(ctx context.Context, s *site.Site) error {
	d.say(s, "start %d entry hosts in %d failure domains, %d backend servers and the platform's store",
		len(s.Hosts), len(s.Document.DomainNames()), len(s.Servers))
	if err := s.StartAll(); err != nil {
		return &StepError{Step: "start", Err: err}
	}
	if err := s.AwaitServers(ctx); err != nil {
		return &StepError{Step: "start", Err: err}
	}
	if err := d.ctl(ctx, s, "apply", s.File("document.yaml"), "--reason", "first document"); err != nil {
		return err
	}
	if err := d.ctl(ctx, s, "promote", "--reason", "trial was good"); err != nil {
		return err
	}
	for _, h := range s.Hosts {
		if err := site.AwaitReady(ctx, h.EntryOperator); err != nil {
			return err
		}
	}
	d.say(s, "document in force on %d hosts", len(s.Hosts))
	return s.AwaitServing(ctx)
}

func (d *Demo) ctl(ctx context.Context, s *site.Site, args ...string) error {
	out, err := s.Ctl(ctx, args...)
	if err != nil {
		return &StepError{Step: "cassiatrayctl " + args[0], Err: err}
	}
	for line := range strings.SplitSeq(strings.TrimSpace(out), "\n") {
		d.say(s, "$ cassiatrayctl %s: %s", args[0], line)
	}
	return nil
}

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

func (d *Demo) showCoop(ctx context.Context, s *site.Site) error {
	c := d.client(s, "10.1.0.7")
	answer, err := c.Lookup(ctx, "rodsheet")
	if err != nil {
		return err
	}
	for _, h := range answer.Hosts {
		d.say(s, "look-up for 10.1.0.7: %s in %s at %s", h.Name, h.Domain, h.Address)
	}
	if _, err := d.request(ctx, s, c, &client.Request{Service: "rodsheet", Method: http.MethodGet, Path: "/sheets/4711"}); err != nil {
		return err
	}
	once := &client.Request{Service: "rodsheet", Method: http.MethodPost, Path: "/signoffs", Body: []byte(`{"sheet":4711}`), Once: true}
	a, err := d.request(ctx, s, c, once)
	if err != nil {
		return err
	}
	if err := d.checkRuns(ctx, s, a.OperationID); err != nil {
		return err
	}
	if err := d.refuse(ctx, s, c); err != nil {
		return err
	}
	if err := d.ctl(ctx, s, "explain", "rodsheet", "10.1.0.7"); err != nil {
		return err
	}
	return d.status(ctx, s)
}

// checkRuns asks the stand-in servers how often an operation ran.
func (d *Demo) checkRuns(ctx context.Context, s *site.Site, id string) error {
	runs := 0
	for _, b := range s.Servers {
		_, body := site.Get(ctx, "http://"+b.Address.String()+"/standin/stats")
		var stats server.Stats
		if err := json.Unmarshal(body, &stats); err != nil {
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

// refuse shows a typed refusal.
func (d *Demo) refuse(ctx context.Context, s *site.Site, c *client.Client) error {
	_, err := c.Lookup(ctx, "no-such-service")
	var refused *api.Error
	if !errors.As(err, &refused) || refused.Code != api.CodeUnknownService {
		return &StepError{Step: "unknown service", Err: &UnexpectedError{Want: string(api.CodeUnknownService), Got: fmt.Sprint(err)}}
	}
	d.say(s, "look-up of an unknown service is refused: %v", refused)
	return nil
}

func (d *Demo) showFranchise(ctx context.Context, s *site.Site) error {
	c := d.client(s, "10.2.0.9")
	if _, err := d.request(ctx, s, c, &client.Request{Service: "depot-orders", Method: http.MethodGet, Path: "/stock/salt"}); err != nil {
		return err
	}
	booking := &client.Request{Service: "depot-orders", Method: http.MethodPost, Path: "/bookings", Body: []byte(`{"tonnes":20}`), Once: true}
	a, err := d.request(ctx, s, c, booking)
	if err != nil {
		return err
	}
	if err := d.checkRuns(ctx, s, a.OperationID); err != nil {
		return err
	}
	if err := d.drain(ctx, s); err != nil {
		return err
	}
	return d.status(ctx, s)
}

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

// clientOf returns a client whose look-ups name a host of a domain first.
func (d *Demo) clientOf(ctx context.Context, s *site.Site, service, domain string) (*client.Client, error) {
	for i := 1; i < 255; i++ {
		c := d.client(s, fmt.Sprintf("10.0.0.%d", i))
		answer, err := c.Lookup(ctx, service)
		if err != nil {
			return nil, err
		}
		if answer.Hosts[0].Domain == domain {
			return c, nil
		}
	}
	return nil, &StepError{Step: "look-up", Err: &UnexpectedError{Want: "a caller of " + domain, Got: "none"}}
}

func (d *Demo) runs(ctx context.Context, b site.ServerPlan) (uint64, error) {
	_, body := site.Get(ctx, "http://"+b.Address.String()+"/standin/stats")
	var stats server.Stats
	if err := json.Unmarshal(body, &stats); err != nil {
		return 0, &StepError{Step: "stats of " + b.Name, Err: err}
	}
	return stats.Runs, nil
}

func (d *Demo) status(ctx context.Context, s *site.Site) error { return d.ctl(ctx, s, "status") }

// end stops everything in order.
func (d *Demo) end(sites ...*site.Site) error {
	for _, s := range sites {
		if bad := s.Stop(); len(bad) > 0 {
			return &StepError{Step: "stop", Err: &UnexpectedError{Want: "exit status 0", Got: strings.Join(bad, ", ")}}
		}
		d.say(s, "all processes stopped with status 0")
	}
	return nil
}

// stay leaves the systems running and prints their addresses.
func (d *Demo) stay(ctx context.Context, sites ...*site.Site) error {
	for _, s := range sites {
		d.say(s, "platform store %s, files in %s", s.Store, s.Dir)
		for _, h := range s.Hosts {
			d.say(s, "%s callers %s, operators %s (entry) and %s (steer)", h.Name, h.Caller, h.EntryOperator, h.SteerOperator)
		}
	}
	fmt.Fprintln(d.Out, "running until interrupted")
	<-ctx.Done()
	return d.end(sites...)
}
