package slots

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Site is a service spread over the failure domains.
type Site struct {
	Name    string
	Slots   int
	Domains []int
}

// Sites are the services of both users that differ in size.
var Sites = []Site{
	{"180 slots (20 x 9)", 9, []int{4, 4, 3, 3, 3, 3}},
	{"60 slots (20 x 3)", 3, []int{4, 4, 3, 3, 3, 3}},
	{"42 slots (14 x 3)", 3, []int{3, 3, 2, 2, 2, 2}},
}

// RunSite runs every domain of a site and joins the rows.
func RunSite(site Site, policy string, scenario Scenario, load float64, seed uint64) *Row {
	rows := make([]*Row, len(site.Domains))
	var wg sync.WaitGroup
	for i, servers := range site.Domains {
		wg.Go(func() {
			rows[i] = Run(Setup{
				Policy: policy, Scenario: scenario, Servers: servers, Slots: site.Slots, Load: load, Seed: seed + uint64(i),
			})
		})
	}
	wg.Wait()
	out := rows[0]
	for _, r := range rows[1:] {
		out.join(r)
	}
	return out
}

func (r *Row) join(o *Row) {
	for c := range classes {
		r.Wait[c].Merge(o.Wait[c])
		r.Latency[c].Merge(o.Latency[c])
		r.Sent[c] += o.Sent[c]
		r.Met[c] += o.Met[c]
		r.Refused[c] += o.Refused[c]
	}
	r.High = max(r.High, o.High)
	r.LastWork = max(r.LastWork, o.LastWork)
	r.busy += o.busy
	r.Servers += o.Servers
}

// headroom is the share of the slots left over the run, in percent.
func (r *Row) headroom() float64 {
	return 100 * (1 - r.busy.Seconds()/(runTime.Seconds()*float64(r.Servers*r.Slots)))
}

// shared returns a part of all requests, in percent.
func (r *Row) shared(n [2]int) float64 {
	return 100 * float64(n[0]+n[1]) / float64(r.Sent[0]+r.Sent[1])
}

// Write runs all policies at the given loads and scenarios and writes a table.
func Write(w io.Writer, sites []Site, scenarios []Scenario, loads []float64, seed uint64) error {
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "site\tload\tscenario\tpolicy\twait p50\tp99\turgent p50\tp99\tpatient p50\tp99\tmet %\trefused %\thigh/slots\theadroom %\tlast work\t\n")
	for _, site := range sites {
		for _, load := range loads {
			for _, scenario := range scenarios {
				for _, p := range Policies {
					fmt.Fprint(t, RunSite(site, p, scenario, load, seed).line(site))
				}
			}
		}
	}
	return t.Flush()
}

func (r *Row) line(site Site) string {
	wait := hdrhistogram.Import(r.Wait[0].Export())
	wait.Merge(r.Wait[1])
	out := fmt.Sprintf("%s\t%.0f\t%s\t%s\t%s\t%s", site.Name, 100*r.Load, r.Scenario, r.Policy, millis(wait, 50), millis(wait, 99))
	for c := range classes {
		out += "\t" + millis(r.Latency[c], 50) + "\t" + millis(r.Latency[c], 99)
	}
	last := "-"
	if r.Scenario == Leaving {
		last = r.LastWork.Round(time.Millisecond / 10).String()
	}
	return out + fmt.Sprintf("\t%.2f\t%.2f\t%d/%d\t%.1f\t%s\t\n", r.shared(r.Met), r.shared(r.Refused), r.High, r.Slots, r.headroom(), last)
}

func millis(h *hdrhistogram.Histogram, q float64) string {
	return fmt.Sprintf("%.1f", float64(h.ValueAtQuantile(q))/1000)
}
