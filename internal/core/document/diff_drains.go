package document

import (
	"fmt"
	"strings"
)

func drainTargetKey(d Drain) string { return d.Server + "|" + d.Domain + "|" + d.Region }

// drains compares planned drains. A drain that differs only in its times or its
// reason is shown with its previous times, if it is the only changed one of its
// target.
func (d *differ) drains() {
	drains := match(d.old.Drains, d.next.Drains, func(x Drain) string {
		return drainTargetKey(x) + x.At.UTC().String() + x.Until.UTC().String() + x.Reason
	})
	before := drainsByTarget(drains.removed)
	after := drainsByTarget(drains.added)
	for _, x := range drains.added {
		t := drainTargetKey(x)
		if len(before[t]) == 1 && len(after[t]) == 1 {
			d.addDrain(x, ", was planned "+drainTimesText(before[t][0]))
			continue
		}
		d.addDrain(x, "")
	}
	for _, x := range drains.removed {
		t := drainTargetKey(x)
		if len(before[t]) == 1 && len(after[t]) == 1 {
			continue
		}
		d.add(EffectDrain, SeverityHigh, "%s is no longer planned to stop taking work %s.", drainTargetText(x), drainTimesText(x))
	}
}

func drainsByTarget(drains []Drain) map[string][]Drain {
	out := map[string][]Drain{}
	for _, x := range drains {
		out[drainTargetKey(x)] = append(out[drainTargetKey(x)], x)
	}
	return out
}

func drainTargetText(x Drain) string {
	switch {
	case x.Server != "":
		service, server, _ := strings.Cut(x.Server, "/")
		return "Server " + server + " of " + service
	case x.Domain != "":
		return "Failure domain " + x.Domain
	}
	return "Region " + x.Region
}

func drainTimesText(x Drain) string {
	out := "at " + timeText(x.At)
	if !x.Until.IsZero() {
		out += " until " + timeText(x.Until)
	}
	if x.Reason != "" {
		out += " (" + x.Reason + ")"
	}
	return out
}

// addDrain describes a planned drain and the capacity that remains during it.
func (d *differ) addDrain(x Drain, previous string) {
	d.add(EffectDrain, SeverityHigh, "%s is planned to stop taking work %s%s; %s.", drainTargetText(x), drainTimesText(x), previous, joinList(d.remainingCapacityTexts(x)))
}

// remainingCapacityTexts describes, for each affected service, how much of its
// capacity in all regions remains during a drain.
func (d *differ) remainingCapacityTexts(x Drain) []string {
	regions := map[string]string{}
	for _, p := range domainsInRegions(d.next) {
		regions[p.Name] = p.region
	}
	var out []string
	for i := range d.next.Services {
		s := &d.next.Services[i]
		lost := 0
		for _, b := range s.Servers {
			if affects(x, s.Name, b, regions[b.Domain]) {
				lost += s.Slots
			}
		}
		if lost > 0 {
			all := len(s.Servers) * s.Slots
			out = append(out, fmt.Sprintf("%s keeps %s of %s requests at once", s.Name, groupThousands(all-lost), groupThousands(all)))
		}
	}
	if len(out) == 0 {
		out = append(out, "no service runs there")
	}
	return out
}

// affects reports whether a drain applies to a server.
func affects(x Drain, service string, b BackendServer, region string) bool {
	switch {
	case x.Server != "":
		return x.Server == service+"/"+b.Name
	case x.Domain != "":
		return x.Domain == b.Domain
	}
	return x.Region != "" && x.Region == region
}
