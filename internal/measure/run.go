package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"runtime"
	"slices"
	"time"

	"cassiatray/internal/load"
	"cassiatray/internal/site"
	"cassiatray/internal/standin/server"
	"cassiatray/internal/standin/store"
)

// Runner runs scenarios one after another.
type Runner struct {
	// Bin holds the built programs.
	Bin string
	// Out receives progress, a line for each step.
	Out io.Writer
	// Only names the scenarios to run; empty means all.
	Only []string
	// Time is the length of one load.
	Time time.Duration
	// Seed fixes arrival times and choices.
	Seed uint64
}

// scenarioTime bounds one scenario, with the start and stop of its site.
const scenarioTime = 3 * time.Minute

// entry names a scenario and how it runs.
type scenario struct {
	name string
	note string
	run  func(r *Runner, ctx context.Context, s *Scenario) error
}

// Run runs the scenarios and returns what they saw. A scenario that fails is
// reported as such and does not stop the others.
func (r *Runner) Run(ctx context.Context) *Results {
	out := &Results{Started: time.Now().UTC().Format(time.RFC3339), CPUs: runtime.NumCPU()}
	for _, sc := range scenarios {
		if !r.wanted(sc.name) || ctx.Err() != nil {
			continue
		}
		out.Scenarios = append(out.Scenarios, r.one(ctx, sc))
	}
	return out
}

func (r *Runner) wanted(name string) bool {
	if len(r.Only) == 0 {
		return true
	}
	for _, w := range r.Only {
		if w == name {
			return true
		}
	}
	return false
}

func (r *Runner) one(ctx context.Context, sc scenario) Scenario {
	fmt.Fprintf(r.Out, "%s: %s\n", sc.name, sc.note)
	ctx, cancel := context.WithTimeout(ctx, scenarioTime)
	defer cancel()
	s := Scenario{Name: sc.name, Note: sc.note}
	if err := sc.run(r, ctx, &s); err != nil {
		s.Failed = err.Error()
	}
	if s.Failed != "" {
		fmt.Fprintf(r.Out, "  failed: %s\n", s.Failed)
	}
	for _, row := range s.Rows {
		fmt.Fprintf(r.Out, "  %s\n", row)
	}
	for _, f := range s.Figures {
		fmt.Fprintf(r.Out, "  %-40s %10.4g %s\n", f.Name, f.Value, f.Unit)
	}
	return s
}

// bed is a running site with its document in force.
type bed struct {
	*site.Site
	runner *Runner
}

// environment is the one that the daemons run.
const environment = "production"

// bring starts a site and waits until every entry process serves.
func (r *Runner) bring(ctx context.Context, s *Scenario, shape site.Shape) (*bed, error) {
	st, err := site.New(shape, r.Bin, environment)
	if err != nil {
		return nil, err
	}
	s.Site = fmt.Sprintf("%s, %d entry hosts", shape.Name, len(st.Hosts))
	b := &bed{Site: st, runner: r}
	if err := b.start(ctx); err != nil {
		st.Close()
		return nil, err
	}
	return b, nil
}

func (b *bed) start(ctx context.Context) error {
	if err := b.StartAll(); err != nil {
		return err
	}
	if err := b.AwaitServers(ctx); err != nil {
		return err
	}
	if _, err := b.Ctl(ctx, "apply", b.File("document.yaml"), "--environment", environment, "--reason", "measurement"); err != nil {
		return err
	}
	return b.AwaitServing(ctx)
}

// end stops the site, and marks the scenario as failed when a process of the
// site ended by itself.
func (b *bed) end(s *Scenario) {
	if err := b.Running(); err != nil {
		s.Failed = err.Error()
	}
	b.Stop()
	b.Close()
}

func (b *bed) bootstrap() []string {
	var out []string
	for _, h := range b.Hosts {
		out = append(out, h.Caller.String())
	}
	return out
}

// callersPerRegion is how many caller addresses of each region send load.
const callersPerRegion = 16

// callers returns caller addresses in every region's block.
func (b *bed) callers() []netip.Addr {
	var out []netip.Addr
	for i := range b.Shape.Regions {
		for j := range callersPerRegion {
			out = append(out, netip.AddrFrom4([4]byte{10, byte(i), byte(j), 9}))
		}
	}
	return out
}

func (b *bed) load(ctx context.Context, d time.Duration, streams ...load.Stream) []load.Row {
	return load.Run(ctx, load.Plan{
		Bootstrap: b.bootstrap(), Callers: b.callers(), Streams: streams, Duration: d, Seed: b.runner.Seed,
	})
}

// warmTime is the length of the load that goes before a measured one: entry
// hosts gather their grants, servers start slowly and callers look up.
const warmTime = 6 * time.Second

// warmShare is the part of the measured rates that the load before has.
const warmShare = 0.5

// warm sends a load that is not measured.
func (b *bed) warm(ctx context.Context, streams []load.Stream) {
	slower := slices.Clone(streams)
	for i := range slower {
		slower[i].Rate *= warmShare
	}
	b.load(ctx, warmTime, slower...)
}

// serverStats reads what each stand-in server has seen.
func (b *bed) serverStats(ctx context.Context) []server.Stats {
	var out []server.Stats
	for _, s := range b.Servers {
		if stats, err := s.Stats(ctx); err == nil {
			out = append(out, stats)
		}
	}
	return out
}

func (b *bed) storeCounts(ctx context.Context) store.Counts {
	var out store.Counts
	_, body := site.Get(ctx, "http://"+b.Store.String()+"/standin/counts")
	json.Unmarshal(body, &out)
	return out
}

// busiest returns the highest number of requests held over slots on any server
// of a service.
func (b *bed) busiest(stats []server.Stats, service string) float64 {
	slots := map[string]int{}
	for _, s := range b.Servers {
		if s.Service == service {
			slots[s.Name] = s.Slots
		}
	}
	highest := 0.0
	for _, st := range stats {
		if n := slots[st.Name]; n > 0 {
			highest = max(highest, float64(st.MaxInFlight)/float64(n))
		}
	}
	return highest
}

// runsPerOperation returns the number of operations seen and the highest
// number of runs of one.
func runsPerOperation(stats []server.Stats) (operations, highest int) {
	total := map[string]int{}
	for _, st := range stats {
		for id, n := range st.Operations {
			total[id] += n
		}
	}
	for _, n := range total {
		highest = max(highest, n)
	}
	return len(total), highest
}
