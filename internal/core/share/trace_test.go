package share

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestTraces replays decisions against the outcomes stated in testdata/trace.
//
//	document hosts=(g1,g2) servers=N taken=(P,P) fill=P   first document, or a newer one
//	admit host=H from=R n=N keep=D                        offer N requests that run for D
//	advance by=D                                          let time pass
//	restart host=H                                        start a new process
//	shifts / levels                                       plan shifts, show them at times
func TestTraces(t *testing.T) {
	datadriven.Walk(t, "testdata/trace", func(t *testing.T, path string) {
		p := &player{}
		datadriven.RunTest(t, path, p.run)
	})
}

type player struct {
	world    *world
	shifts   []Shift
	schedule *Schedule
}

func (p *player) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "document":
		return p.document(t, d)
	case "admit":
		return p.admit(t, d)
	case "advance":
		p.world.advance(p.duration(t, d, "by"))
		return p.state()
	case "restart":
		var host string
		d.ScanArgs(t, "host", &host)
		p.world.boot(slices.Index(pool, host))
		return p.state()
	case "shifts":
		return p.plan(t, d)
	case "levels":
		return p.levels(t, d)
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

func (p *player) duration(t *testing.T, d *datadriven.TestData, key string) time.Duration {
	var text string
	d.ScanArgs(t, key, &text)
	out, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func (p *player) document(t *testing.T, d *datadriven.TestData) string {
	var e edition
	var hosts, taken []string
	d.ScanArgs(t, "servers", &e.servers)
	d.ScanArgs(t, "fill", &e.fill)
	for _, a := range d.CmdArgs {
		switch a.Key {
		case "hosts":
			hosts = a.Vals
		case "taken":
			taken = a.Vals
		}
	}
	for i, text := range taken {
		fmt.Sscan(text, &e.taken[i])
	}
	e.hosts = hosts
	if p.world == nil {
		p.world = newWorld(e, realGrants)
	} else {
		p.world.accept(e, make([]int, len(pool)))
		p.world.deliver()
	}
	return p.state()
}

func (p *player) admit(t *testing.T, d *datadriven.TestData) string {
	var host, from string
	var n int
	d.ScanArgs(t, "host", &host)
	d.ScanArgs(t, "from", &from)
	d.ScanArgs(t, "n", &n)
	keep := p.duration(t, d, "keep")
	w, i := p.world, slices.Index(pool, host)
	reasons := map[Reason]int{}
	taken := 0
	for range n {
		f := Flow{Service: testService, From: from}
		lease, err := w.gates[i].Admit(w.now, w.now.Add(testDeadline), f, 0)
		var refused *RefusedError
		if errors.As(err, &refused) {
			reasons[refused.Reason]++
			continue
		}
		taken++
		w.running = append(w.running, running{from: slices.Index(senders, from), ends: w.now.Add(keep), host: i, lease: lease})
	}
	out := fmt.Sprintf("admitted %d", taken)
	for _, r := range []Reason{ReasonFull, ReasonNoShare, ReasonSettling, ReasonWarming} {
		if reasons[r] > 0 {
			out += fmt.Sprintf(", refused %d as %s", reasons[r], r)
		}
	}
	return out + "\n" + p.state()
}

// state is what runs in the receiving region, judged against the caps.
func (p *player) state() string {
	var n [2]int
	for _, r := range p.world.running {
		n[r.from]++
	}
	verdict := "caps hold"
	if err := p.world.judge(); err != nil {
		verdict = err.Error()
	}
	return fmt.Sprintf("%s %d, %s %d: %s\n", senders[0], n[0], senders[1], n[1], verdict)
}

// plan reads shifts, one a line: id start until size, with "-" for no end.
func (p *player) plan(t *testing.T, d *datadriven.TestData) string {
	p.shifts = nil
	for line := range strings.Lines(d.Input) {
		var id, start, until string
		var size float64
		if _, err := fmt.Sscan(line, &id, &start, &until, &size); err != nil {
			t.Fatal(err)
		}
		s := Shift{ID: id, Size: size, Start: at(parse(t, start))}
		if until != "-" {
			s.Until = at(parse(t, until))
		}
		p.shifts = append(p.shifts, s)
	}
	p.schedule = NewSchedule(p.shifts, RateOf(testCap, testTTL))
	return fmt.Sprintf("%d shifts\n", len(p.shifts))
}

func parse(t *testing.T, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func (p *player) levels(t *testing.T, d *datadriven.TestData) string {
	var out strings.Builder
	for text := range strings.Lines(d.Input) {
		text = strings.TrimSpace(text)
		now := at(parse(t, text))
		fmt.Fprintf(&out, "%s:", text)
		for _, s := range p.shifts {
			fmt.Fprintf(&out, " %s %.3f", s.ID, p.schedule.Level(s.ID, now))
		}
		out.WriteString("\n")
	}
	return out.String()
}
