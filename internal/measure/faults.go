package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"cassiatray/client"
	"cassiatray/internal/core/document"
	"cassiatray/internal/load"
	"cassiatray/internal/site"
	"cassiatray/internal/standin/server"
	"cassiatray/internal/standin/store"
)

// during warms the site, then runs a fault while a load is on, and returns the load's rows.
func (b *bed) during(ctx context.Context, d time.Duration, streams []load.Stream, fault func(context.Context) error) ([]load.Row, error) {
	b.warm(ctx, streams)
	var wg sync.WaitGroup
	var rows []load.Row
	wg.Go(func() { rows = b.load(ctx, d, streams...) })
	err := fault(ctx)
	wg.Wait()
	return rows, err
}

// put sends JSON to a control of a stand-in.
func put(ctx context.Context, url string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func (b *bed) storeFaults(ctx context.Context, f store.Faults) error {
	return put(ctx, "http://"+b.Store.String()+"/standin/faults", f)
}

func (b *bed) apply(ctx context.Context, doc *document.Document, reason string) error {
	file := b.File("change.yaml")
	if err := site.WriteDocument(file, doc); err != nil {
		return err
	}
	_, err := b.Ctl(ctx, "apply", file, "--environment", environment, "--reason", reason)
	return err
}

// runDrain drains one server by document and watches for the last request that
// it starts.
func runDrain(r *Runner, ctx context.Context, s *Scenario) error {
	shape := coop()
	b, err := r.bring(ctx, s, shape)
	if err != nil {
		return err
	}
	defer b.end(s)
	target := b.Servers[0]
	var accepted time.Time
	s.Rows, err = b.during(ctx, r.Time, coopStreams(shape, 0.5), func(ctx context.Context) error {
		pause(ctx, r.Time/3)
		if err := b.WriteDrain("drain.yaml", target); err != nil {
			return err
		}
		_, err := b.Ctl(ctx, "apply", b.File("drain.yaml"), "--environment", environment, "--reason", "drain")
		accepted = time.Now()
		return err
	})
	if err != nil {
		return err
	}
	var stats server.Stats
	_, body := site.Get(ctx, "http://"+target.Address.String()+"/standin/stats")
	if err := json.Unmarshal(body, &stats); err != nil {
		return err
	}
	last := time.UnixMicro(stats.LastStart).Sub(accepted)
	s.figure("last new work after the change was accepted", max(0, last.Seconds()), "s")
	b.serverFigures(ctx, s)
	return nil
}

// replaceTime is the length of the load in the replace scenario: each stop
// waits out the time to live of look-up answers.
const (
	replacedHosts = 5
	replaceTime   = 40 * time.Second
	replaceGrace  = 30 * time.Second
)

// runReplace stops and starts entry processes one after another.
func runReplace(r *Runner, ctx context.Context, s *Scenario) error {
	shape := coop()
	b, err := r.bring(ctx, s, shape)
	if err != nil {
		return err
	}
	defer b.end(s)
	replaced, clean := 0, 0
	s.Rows, err = b.during(ctx, replaceTime, coopStreams(shape, 0.5), func(ctx context.Context) error {
		end := time.Now().Add(replaceTime - 5*time.Second)
		for i := 0; i < replacedHosts && time.Now().Before(end); i++ {
			h := b.Hosts[i*hostsPerDomain%len(b.Hosts)]
			p := b.Process(site.EntryName(h.Name))
			p.Signal(syscall.SIGTERM)
			stop, cancel := context.WithTimeout(ctx, replaceGrace)
			if p.Wait(stop) == 0 {
				clean++
			}
			cancel()
			if _, err := b.StartEntry(h); err != nil {
				return err
			}
			if err := site.AwaitReady(ctx, h.EntryOperator); err != nil {
				return err
			}
			replaced++
		}
		return nil
	})
	s.figure("entry hosts replaced", float64(replaced), "")
	s.figure("of them stopped with status 0", float64(clean), "")
	b.serverFigures(ctx, s)
	return err
}

// settleTime is how long caps between regions stay shut after a change of
// hosts: 10 s and the longest deadline of a class.
const settleTime = 31 * time.Second

// runRegionLoss kills a region's servers and entry hosts.
func runRegionLoss(r *Runner, ctx context.Context, s *Scenario) error {
	shape := coop()
	b, err := r.bring(ctx, s, shape)
	if err != nil {
		return err
	}
	defer b.end(s)
	lost := b.Shape.Regions[1]
	pause(ctx, settleTime)
	s.Rows = b.load(ctx, r.Time/2, coopStreams(shape, 0.5)...)
	label(s.Rows, "before")
	b.killRegion(lost)
	for _, phase := range []string{"0 s after", fmt.Sprintf("%.0f s after", (r.Time / 2).Seconds())} {
		rows := b.load(ctx, r.Time/2, coopStreams(shape, 0.5)...)
		label(rows, phase)
		s.Rows = append(s.Rows, rows...)
	}
	b.serverFigures(ctx, s)
	return nil
}

func label(rows []load.Row, phase string) {
	for i := range rows {
		rows[i].Stream += " " + phase
	}
}

func (b *bed) killRegion(region string) {
	for _, h := range b.Hosts {
		if strings.HasPrefix(h.Domain, region) {
			b.Process(site.SteerName(h.Name)).Kill()
			b.Process(site.EntryName(h.Name)).Kill()
		}
	}
	for _, domain := range b.Document.DomainNames() {
		if strings.HasPrefix(domain, region) {
			b.Process(site.ServersName(domain)).Kill()
		}
	}
}

// outageTime is how long the store is down.
const outageTime = 60 * time.Second

// runStoreOutage takes the store away and replaces an entry host meanwhile.
func runStoreOutage(r *Runner, ctx context.Context, s *Scenario) error {
	shape := coop()
	b, err := r.bring(ctx, s, shape)
	if err != nil {
		return err
	}
	defer b.end(s)
	streams := coopStreams(shape, 0.25)
	s.Rows, err = b.during(ctx, outageTime, streams, func(ctx context.Context) error {
		if err := b.storeFaults(ctx, store.Faults{Down: true}); err != nil {
			return err
		}
		h := b.Hosts[0]
		b.Process(site.SteerName(h.Name)).Kill()
		b.Process(site.EntryName(h.Name)).Kill()
		start := time.Now()
		if err := b.StartHost(h); err != nil {
			return err
		}
		if err := site.AwaitReady(ctx, h.EntryOperator); err != nil {
			return err
		}
		s.figure("replaced host ready with the store down", time.Since(start).Seconds(), "s")
		pause(ctx, outageTime-time.Since(start))
		return b.storeFaults(ctx, store.Faults{})
	})
	if err != nil {
		return err
	}
	start := time.Now()
	doc := *b.Document
	doc.Lookup.Hosts++
	if err := b.apply(ctx, &doc, "after the outage"); err != nil {
		return err
	}
	if err := site.Await(ctx, "the change everywhere", func() bool { return b.InForce(ctx, 2) }); err != nil {
		return err
	}
	s.figure("first change in force everywhere after the outage", time.Since(start).Seconds(), "s")
	b.serverFigures(ctx, s)
	return nil
}

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
	pause(ctx, crashRestWait)
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

// runChanges applies changes at two rates and times each until it is in force
// at every entry process.
func runChanges(r *Runner, ctx context.Context, s *Scenario) error {
	b, err := r.bring(ctx, s, coop())
	if err != nil {
		return err
	}
	defer b.end(s)
	sequence := uint64(1)
	for _, rate := range []float64{0.76, 5} {
		var slowest, total time.Duration
		count := int(max(3, rate*r.Time.Seconds()))
		start := time.Now()
		for i := range count {
			at := start.Add(time.Duration(float64(i) / rate * float64(time.Second)))
			if !pause(ctx, time.Until(at)) {
				return ctx.Err()
			}
			doc := *b.Document
			doc.Lookup.Hosts = 2 + i%3
			if err := b.apply(ctx, &doc, "measurement"); err != nil {
				return err
			}
			sequence++
			accepted := time.Now()
			if err := site.Await(ctx, "a change everywhere", func() bool { return b.InForce(ctx, sequence) }); err != nil {
				return err
			}
			took := time.Since(accepted)
			slowest, total = max(slowest, took), total+took
		}
		s.figure(fmt.Sprintf("mean time to force everywhere at %.2f/s", rate), (total / time.Duration(count)).Seconds(), "s")
		s.figure(fmt.Sprintf("longest time to force everywhere at %.2f/s", rate), slowest.Seconds(), "s")
		s.figure(fmt.Sprintf("changes made a second at %.2f/s", rate), float64(count)/time.Since(start).Seconds(), "1/s")
	}
	return nil
}
