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

// TestTraces runs the commands in testdata/trace and compares their results with
// the expected output there.
//
//	document hosts=(g1,g2) servers=N taken=(P,P) fill=P   put the first or a newer document in force
//	admit host=H from=R n=N keep=D                        send N requests that run for D
//	advance by=D                                          advance the clock
//	restart host=H                                        start a new process on a host
//	shifts / levels                                       plan shifts; print their levels at given times
//
// The percentages of document are the caps on the senders (taken) and on all of
// them together (fill).
func TestTraces(t *testing.T) {
	datadriven.Walk(t, "testdata/trace", func(t *testing.T, path string) {
		p := &traceRunner{}
		datadriven.RunTest(t, path, p.run)
	})
}

type traceRunner struct {
	sim      *simulation
	shifts   []Shift
	schedule *Schedule
}

func (p *traceRunner) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "document":
		return p.document(t, d)
	case "admit":
		return p.admit(t, d)
	case "advance":
		p.sim.advance(p.duration(t, d, "by"))
		return p.state()
	case "restart":
		var host string
		d.ScanArgs(t, "host", &host)
		p.sim.startHost(slices.Index(hostNames, host))
		return p.state()
	case "shifts":
		return p.planShifts(t, d)
	case "levels":
		return p.levels(t, d)
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

func (p *traceRunner) duration(t *testing.T, d *datadriven.TestData, key string) time.Duration {
	var text string
	d.ScanArgs(t, key, &text)
	out, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func (p *traceRunner) document(t *testing.T, d *datadriven.TestData) string {
	var e testDocument
	var hosts, taken []string
	d.ScanArgs(t, "servers", &e.servers)
	d.ScanArgs(t, "fill", &e.totalCap)
	for _, a := range d.CmdArgs {
		switch a.Key {
		case "hosts":
			hosts = a.Vals
		case "taken":
			taken = a.Vals
		}
	}
	for i, text := range taken {
		fmt.Sscan(text, &e.flowCaps[i])
	}
	e.hosts = hosts
	if p.sim == nil {
		p.sim = newSimulation(e, newRealGrants)
	} else {
		p.sim.accept(e, make([]int, len(hostNames)))
		p.sim.deliver()
	}
	return p.state()
}

func (p *traceRunner) admit(t *testing.T, d *datadriven.TestData) string {
	var host, from string
	var n int
	d.ScanArgs(t, "host", &host)
	d.ScanArgs(t, "from", &from)
	d.ScanArgs(t, "n", &n)
	runFor := p.duration(t, d, "keep")
	w, i := p.sim, slices.Index(hostNames, host)
	reasons := map[Reason]int{}
	admitted := 0
	for range n {
		f := Flow{Service: testService, From: from}
		lease, err := w.admitters[i].Admit(w.now, w.now.Add(testDeadline), f, 0)
		var refused *RefusedError
		if errors.As(err, &refused) {
			reasons[refused.Reason]++
			continue
		}
		admitted++
		w.running = append(w.running, running{from: slices.Index(senders, from), endsAt: w.now.Add(runFor), host: i, lease: lease})
	}
	out := fmt.Sprintf("admitted %d", admitted)
	for _, r := range []Reason{ReasonFull, ReasonNoShare, ReasonSettling, ReasonWarming} {
		if reasons[r] > 0 {
			out += fmt.Sprintf(", refused %d as %s", reasons[r], r)
		}
	}
	return out + "\n" + p.state()
}

// state returns the number of requests that run in the receiving region, by
// sender, and whether they exceed a cap.
func (p *traceRunner) state() string {
	var n [2]int
	for _, r := range p.sim.running {
		n[r.from]++
	}
	result := "caps hold"
	if err := p.sim.checkCaps(); err != nil {
		result = err.Error()
	}
	return fmt.Sprintf("%s %d, %s %d: %s\n", senders[0], n[0], senders[1], n[1], result)
}

// planShifts parses one shift per line: ID, start, until and size, with "-" for no
// until.
func (p *traceRunner) planShifts(t *testing.T, d *datadriven.TestData) string {
	p.shifts = nil
	for line := range strings.Lines(d.Input) {
		var id, start, until string
		var size float64
		if _, err := fmt.Sscan(line, &id, &start, &until, &size); err != nil {
			t.Fatal(err)
		}
		s := Shift{ID: id, Size: size, Start: at(parseDuration(t, start))}
		if until != "-" {
			s.Until = at(parseDuration(t, until))
		}
		p.shifts = append(p.shifts, s)
	}
	p.schedule = NewSchedule(p.shifts, RateOf(testCap, testTTL))
	return fmt.Sprintf("%d shifts\n", len(p.shifts))
}

func parseDuration(t *testing.T, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func (p *traceRunner) levels(t *testing.T, d *datadriven.TestData) string {
	var out strings.Builder
	for text := range strings.Lines(d.Input) {
		text = strings.TrimSpace(text)
		now := at(parseDuration(t, text))
		fmt.Fprintf(&out, "%s:", text)
		for _, s := range p.shifts {
			fmt.Fprintf(&out, " %s %.3f", s.ID, p.schedule.Level(s.ID, now))
		}
		out.WriteString("\n")
	}
	return out.String()
}
