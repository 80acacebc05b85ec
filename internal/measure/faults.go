package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"cassiatray/internal/adapter/httpclient"
	"cassiatray/internal/load"
	"cassiatray/internal/site"
	"cassiatray/internal/sleep"
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
	resp, err := httpclient.Default.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func (b *bed) storeFaults(ctx context.Context, f store.Faults) error {
	return put(ctx, "http://"+b.Store.String()+"/standin/faults", f)
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
		sleep.For(ctx, r.Time/3)
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
	stats, err := target.Stats(ctx)
	if err != nil {
		return err
	}
	last := time.UnixMicro(stats.LastStart).Sub(accepted)
	s.figure("last new work after the change was accepted", max(0, last.Seconds()), "s")
	b.serverFigures(ctx, s)
	return nil
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
	sleep.For(ctx, settleTime)
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
		sleep.For(ctx, outageTime-time.Since(start))
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
