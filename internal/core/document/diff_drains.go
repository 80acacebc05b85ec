package document

import (
	"fmt"
	"strings"
)

func drainTarget(d Drain) string { return d.Server + "|" + d.Domain + "|" + d.Region }

// drains compares planned stops. One that differs only in its times or its
// reason is shown as moved, when its target has no other.
func (d *differ) drains() {
	drains := match(d.old.Drains, d.now.Drains, func(x Drain) string {
		return drainTarget(x) + x.At.UTC().String() + x.Until.UTC().String() + x.Reason
	})
	before := byTarget(drains.removed)
	after := byTarget(drains.added)
	for _, x := range drains.added {
		t := drainTarget(x)
		if len(before[t]) == 1 && len(after[t]) == 1 {
			d.planned(x, ", was planned "+when(before[t][0]))
			continue
		}
		d.planned(x, "")
	}
	for _, x := range drains.removed {
		t := drainTarget(x)
		if len(before[t]) == 1 && len(after[t]) == 1 {
			continue
		}
		d.add(EffectDrain, SeverityHigh, "%s is no longer planned to stop taking work %s.", stopped(x), when(x))
	}
}

func byTarget(drains []Drain) map[string][]Drain {
	out := map[string][]Drain{}
	for _, x := range drains {
		out[drainTarget(x)] = append(out[drainTarget(x)], x)
	}
	return out
}

func stopped(x Drain) string {
	switch {
	case x.Server != "":
		service, server, _ := strings.Cut(x.Server, "/")
		return "Server " + server + " of " + service
	case x.Domain != "":
		return "Failure domain " + x.Domain
	}
	return "Region " + x.Region
}

func when(x Drain) string {
	out := "at " + moment(x.At)
	if !x.Until.IsZero() {
		out += " until " + moment(x.Until)
	}
	if x.Reason != "" {
		out += " (" + x.Reason + ")"
	}
	return out
}

// planned says what stops and how much is left to run its work.
func (d *differ) planned(x Drain, was string) {
	d.add(EffectDrain, SeverityHigh, "%s is planned to stop taking work %s%s; %s.", stopped(x), when(x), was, list(d.drainCost(x)))
}

// drainCost says, for each service touched, how much of the whole system's
// capacity the drain takes away.
func (d *differ) drainCost(x Drain) []string {
	regions := map[string]string{}
	for _, p := range placedDomains(d.now) {
		regions[p.Name] = p.region
	}
	var out []string
	for i := range d.now.Services {
		s := &d.now.Services[i]
		lost := 0
		for _, b := range s.Servers {
			if hits(x, s.Name, b, regions[b.Domain]) {
				lost += s.Slots
			}
		}
		if lost > 0 {
			all := len(s.Servers) * s.Slots
			out = append(out, fmt.Sprintf("%s keeps %s of %s requests at once", s.Name, grouped(all-lost), grouped(all)))
		}
	}
	if len(out) == 0 {
		out = append(out, "no service runs there")
	}
	return out
}

// hits reports whether a drain takes work from a server.
func hits(x Drain, service string, b BackendServer, region string) bool {
	switch {
	case x.Server != "":
		return x.Server == service+"/"+b.Name
	case x.Domain != "":
		return x.Domain == b.Domain
	}
	return x.Region != "" && x.Region == region
}
