package measure

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"cassiatray/internal/load"
	"cassiatray/internal/site"
	"cassiatray/internal/sleep"
)

// scenarios are all that can be run, in order.
var scenarios = []scenario{
	{"overhead", "the same requests straight to the servers and through the system, 20 servers x 9 slots", runOverhead},
	{"idle", "no load: what control costs", runIdle},
	{"control-4", "what control costs, 2 failure domains of 4 entry hosts, 5,000 client blocks", control(4)},
	{"control-8", "the same with 8 entry hosts each", control(8)},
	{"control-17", "the same with 17 entry hosts each", control(17)},
	{"steady-50", "sheet look-ups, sign-offs and archive pulls at 50% of the slots", steady(0.50)},
	{"steady-80", "the same at 80%", steady(0.80)},
	{"steady-95", "the same at 95%", steady(0.95)},
	{"surge", "stock checks, bookings and scale tickets at 40%, then three times that", runSurge},
	{"cold", "50% load on servers that have just started and take 5 times as long at first", runCold},
	{"drain", "a planned drain of one server at 50% load", runDrain},
	{"replace", "entry hosts stopped and started one after another at 50% load", runReplace},
	{"region-loss", "one region's servers and entry hosts killed at 50% load", runRegionLoss},
	{"store-outage", "the platform's store down for a while at 50% load, one entry host replaced meanwhile", runStoreOutage},
	{"crash", "a request that crashes each server that runs it, sent again and again", runCrash},
	{"changes", "document changes at 0.76/s and at 5/s", runChanges},
}

// Shapes of the measured sites: the users' places and servers, with work long
// enough that slots, not this machine's CPUs, are what is full.
const (
	hostsPerDomain = 4
	sheetWork      = 100 * time.Millisecond
	archiveWork    = 200 * time.Millisecond
	orderWork      = 50 * time.Millisecond
)

func coop() site.Shape {
	s := site.Coop(hostsPerDomain)
	s.Services[0].Work, s.Services[1].Work = sheetWork, archiveWork
	return s
}

func franchise() site.Shape {
	s := site.Franchise(hostsPerDomain)
	s.Services[0].Work, s.Services[1].Work = orderWork, orderWork
	return s
}

// full is the rate at which every slot of a service is taken, in requests a
// second.
func full(s site.ServiceShape) float64 {
	return float64(s.Servers*s.Slots) / s.Work.Seconds()
}

// Shares of the requests of a service that are at-most-once.
const writeShare = 0.1

// coopStreams are the co-op's streams at a share of its slots.
func coopStreams(s site.Shape, share float64) []load.Stream {
	sheets, vault := full(s.Services[0])*share, full(s.Services[1])*share
	return []load.Stream{
		{Name: "sheet", Service: "rodsheet", Method: http.MethodGet, Path: "/sheets/4711", Rate: sheets * (1 - writeShare), Timeout: 2 * time.Second},
		{Name: "signoff", Service: "rodsheet", Method: http.MethodPost, Path: "/signoffs", Once: true, Rate: sheets * writeShare, Timeout: 5 * time.Second},
		{Name: "archive", Service: "sheetvault", Method: http.MethodGet, Path: "/archive/1", Rate: vault, Timeout: 20 * time.Second},
	}
}

// franchiseStreams are the franchise's streams at a share of its slots.
func franchiseStreams(s site.Shape, share float64) []load.Stream {
	orders, ledger := full(s.Services[0])*share, full(s.Services[1])*share
	return []load.Stream{
		{Name: "stock", Service: "depot-orders", Method: http.MethodGet, Path: "/stock/salt", Rate: orders * (1 - writeShare), Timeout: 2 * time.Second},
		{Name: "booking", Service: "depot-orders", Method: http.MethodPost, Path: "/bookings", Once: true, Rate: orders * writeShare, Timeout: 5 * time.Second},
		{Name: "ticket", Service: "scale-ledger", Method: http.MethodGet, Path: "/tickets/1", Rate: ledger, Timeout: 3 * time.Second},
	}
}

// overheadWork is the work of one request in the overhead scenario.
const overheadWork = 20 * time.Millisecond

// runOverhead sends the same stream straight to the servers and through the
// system, at 20% of the slots so that no request waits for a slot.
func runOverhead(r *Runner, ctx context.Context, s *Scenario) error {
	shape := coop()
	shape.Services[0].Work = overheadWork
	b, err := r.bring(ctx, s, shape)
	if err != nil {
		return err
	}
	defer b.end(s)
	var direct []string
	for _, srv := range b.Servers {
		if srv.Service == "rodsheet" {
			direct = append(direct, srv.Address.String())
		}
	}
	stream := load.Stream{
		Service: "rodsheet", Method: http.MethodGet, Path: "/sheets/4711", Rate: full(shape.Services[0]) * 0.2, Timeout: 2 * time.Second,
	}
	through, straight := stream, stream
	through.Name = "through"
	straight.Name, straight.Direct = "direct", direct
	b.load(ctx, r.Time/4, through)
	s.Rows = append(s.Rows, b.load(ctx, r.Time, straight)...)
	b.watch(ctx, s, "load", func() error {
		s.Rows = append(s.Rows, b.load(ctx, r.Time, through)...)
		return nil
	})
	d, t := s.Rows[0], s.Rows[1]
	s.figure("added p50", load.Millis(t.P50-d.P50), "ms")
	s.figure("added p99", load.Millis(t.P99-d.P99), "ms")
	s.figure("p50 ratio", float64(t.P50)/float64(d.P50), "")
	s.figure("p99 ratio", float64(t.P99)/float64(d.P99), "")
	return nil
}

// runIdle measures control alone.
func runIdle(r *Runner, ctx context.Context, s *Scenario) error {
	b, err := r.bring(ctx, s, coop())
	if err != nil {
		return err
	}
	defer b.end(s)
	calls, start := b.storeCounts(ctx), time.Now()
	err = b.watch(ctx, s, "idle", func() error { sleep.For(ctx, r.Time); return ctx.Err() })
	if err != nil {
		return err
	}
	took := time.Since(start)
	after := b.storeCounts(ctx)
	s.figure("store reads", float64(after.Reads-calls.Reads)/took.Minutes(), "calls/min")
	s.figure("store writes", float64(after.Writes-calls.Writes)/took.Minutes(), "calls/min")
	s.figure("store watches", float64(after.Watches-calls.Watches)/took.Minutes(), "calls/min")
	return nil
}

// steady runs the co-op at a constant share of its slots.
func steady(share float64) func(*Runner, context.Context, *Scenario) error {
	return func(r *Runner, ctx context.Context, s *Scenario) error {
		shape := coop()
		b, err := r.bring(ctx, s, shape)
		if err != nil {
			return err
		}
		defer b.end(s)
		b.warm(ctx, coopStreams(shape, share))
		b.watch(ctx, s, "load", func() error {
			s.Rows = b.load(ctx, r.Time, coopStreams(shape, share)...)
			return nil
		})
		b.serverFigures(ctx, s)
		return nil
	}
}

// serverFigures adds what the stand-in servers saw.
func (b *bed) serverFigures(ctx context.Context, s *Scenario) {
	stats := b.serverStats(ctx)
	for _, svc := range b.Shape.Services {
		s.figure("highest in flight over slots, "+svc.Name, b.busiest(stats, svc.Name), "")
	}
	operations, highest := runsPerOperation(stats)
	s.figure("operations run", float64(operations), "")
	s.figure("highest runs of an operation", float64(highest), "")
}

// runSurge triples the franchise's load.
func runSurge(r *Runner, ctx context.Context, s *Scenario) error {
	const base = 0.4
	shape := franchise()
	b, err := r.bring(ctx, s, shape)
	if err != nil {
		return err
	}
	defer b.end(s)
	b.warm(ctx, franchiseStreams(shape, base))
	for _, factor := range []float64{1, 3, 1} {
		rows := b.load(ctx, r.Time/2, franchiseStreams(shape, base*factor)...)
		for i := range rows {
			rows[i].Stream = fmt.Sprintf("%s x%.0f", rows[i].Stream, factor)
		}
		s.Rows = append(s.Rows, rows...)
	}
	b.serverFigures(ctx, s)
	return nil
}

// Cold start of the servers in the cold scenario.
const (
	coldWarmup = 5 * time.Second
	coldFactor = 5
)

func runCold(r *Runner, ctx context.Context, s *Scenario) error {
	shape := coop()
	shape.Warmup, shape.ColdFactor = coldWarmup, coldFactor
	b, err := r.bring(ctx, s, shape)
	if err != nil {
		return err
	}
	defer b.end(s)
	for _, domain := range b.Document.DomainNames() {
		b.Process(site.ServersName(domain)).Kill()
		if err := b.StartServers(domain); err != nil {
			return err
		}
	}
	if err := b.AwaitServers(ctx); err != nil {
		return err
	}
	s.Rows = b.load(ctx, r.Time, coopStreams(shape, 0.5)...)
	b.serverFigures(ctx, s)
	return nil
}
