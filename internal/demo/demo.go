// Package demo shows the whole path of a request on small systems of both
// users, and fails on the first step that does not do as it says.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"cassiatray/api"
	"cassiatray/client"
	"cassiatray/internal/site"
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
