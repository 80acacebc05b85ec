package document

import (
	"slices"
	"strings"
)

func (d *differ) services() {
	services := match(d.old.Services, d.next.Services, func(s Service) string { return s.Name })
	for _, s := range services.added {
		d.add(EffectService, SeverityHigh, "Service %s is new: %s, %s at once in all, %s.", s.Name,
			countText(len(s.Servers), "server"), countText(len(s.Servers)*s.Slots, "request"), classNamesText(s))
	}
	for _, s := range services.removed {
		d.add(EffectService, SeverityHigh, "Service %s is removed, with %s: its requests are refused.", s.Name, countText(len(s.Servers), "server"))
	}
	for _, s := range services.kept {
		d.service(s.old, s.next)
		d.capacity(s.old, s.next)
		d.servers(s.old, s.next)
		d.classes(s.old, s.next)
	}
}

func classNamesText(s Service) string {
	var names []string
	for _, c := range s.Classes {
		names = append(names, c.Name)
	}
	noun := "class"
	if len(names) != 1 {
		noun = "classes"
	}
	return noun + " " + joinList(names)
}

func (d *differ) service(old, next Service) {
	name := next.Name
	addIfChanged(d, EffectService, SeverityHigh, old.Slots, next.Slots, "Each server of %s runs up to %d requests at once, was %d.", name)
	addIfChanged(d, EffectService, SeverityMedium, old.Connections, next.Connections, "Each server of %s accepts %d connections, was %d.", name)
	addIfChanged(d, EffectService, SeverityLow, durationText(old.ColdStart.Connection), durationText(next.ColdStart.Connection),
		"A new connection to a server of %s costs %s, was %s.", name)
	addIfChanged(d, EffectService, SeverityMedium, durationText(old.ColdStart.Warmup), durationText(next.ColdStart.Warmup),
		"A new server of %s reaches its full load in %s, was %s.", name)
	addIfChanged(d, EffectService, SeverityMedium, max(1, old.ColdStart.InitialSlots), max(1, next.ColdStart.InitialSlots),
		"A new server of %s begins with %d requests at once, was %d.", name)
}

// slotsInRegion returns how many requests of a service a region runs
// concurrently.
func (d *Document) slotsInRegion(service, region string) int {
	for i := range d.Services {
		if d.Services[i].Name == service {
			return d.Services[i].slotsByRegion(d)[region]
		}
	}
	return 0
}

// slotsByRegion returns how many requests each region runs concurrently.
func (s *Service) slotsByRegion(d *Document) map[string]int {
	regions := map[string]string{}
	for _, p := range domainsInRegions(d) {
		regions[p.Name] = p.region
	}
	out := map[string]int{}
	for _, b := range s.Servers {
		out[regions[b.Domain]] += s.Slots
	}
	return out
}

// capacity adds an effect for each region whose capacity for the service
// changes.
func (d *differ) capacity(old, next Service) {
	before, after := old.slotsByRegion(d.old), next.slotsByRegion(d.next)
	for _, r := range d.next.Regions {
		addIfChanged(d, EffectService, SeverityHigh, groupThousands(before[r.Name]), groupThousands(after[r.Name]),
			"%s can run %[3]s %[2]s requests at once, was %[4]s.", r.Name, next.Name)
	}
}

func (d *differ) servers(old, next Service) {
	servers := match(old.Servers, next.Servers, func(b BackendServer) string { return b.Name })
	d.addServerCount("new", next.Name, servers.added)
	d.addServerCount("removed", next.Name, servers.removed)
	for _, b := range servers.kept {
		addIfChanged(d, EffectServer, SeverityHigh, b.old.Domain, b.next.Domain,
			"Server %s of %s is in failure domain %s, was in %s.", b.next.Name, next.Name)
		addIfChanged(d, EffectServer, SeverityMedium, b.old.Address, b.next.Address,
			"Server %s of %s is reached at %s, was %s.", b.next.Name, next.Name)
	}
}

func (d *differ) addServerCount(change, service string, servers []BackendServer) {
	if len(servers) == 0 {
		return
	}
	var names []string
	for _, b := range servers {
		names = append(names, b.Name+" in "+b.Domain)
	}
	d.add(EffectServer, SeverityHigh, "%s of %s: %s.", countText(len(servers), change+" server"), service, joinExamples(names))
}

func (d *differ) classes(old, next Service) {
	classes := match(old.Classes, next.Classes, func(c Class) string { return c.Name })
	for _, c := range classes.added {
		d.add(EffectClass, SeverityHigh, "Class %s of %s is new: %s %s, %s, within %s.", c.Name, next.Name,
			strings.Join(c.Methods, "/"), c.Path, executionText(c.Execution), durationText(c.Deadline))
	}
	for _, c := range classes.removed {
		d.add(EffectClass, SeverityHigh, "Class %s of %s is removed: its requests are refused unless another class takes them.", c.Name, next.Name)
	}
	var before, after []string
	for _, c := range classes.kept {
		after = append(after, c.next.Name)
		d.class(next.Name, c.old, c.next)
	}
	for _, c := range old.Classes {
		if slices.Contains(after, c.Name) {
			before = append(before, c.Name)
		}
	}
	addIfChanged(d, EffectClass, SeverityMedium, joinList(before), joinList(after), "Requests of %s are matched with classes %s in this order, was %s.", next.Name)
}

func executionText(e Execution) string {
	switch e {
	case AtMostOnce:
		return "runs at most once"
	case Idempotent:
		return "may run more than once"
	}
	return string(e)
}

func (d *differ) class(service string, old, next Class) {
	what := next.Name + " requests of " + service
	addIfChanged(d, EffectClass, SeverityHigh, executionText(old.Execution), executionText(next.Execution), "Each of the %s %s, was: %s.", what)
	addIfChanged(d, EffectClass, SeverityHigh, strings.Join(old.Methods, "/"), strings.Join(next.Methods, "/"), "%s are those with method %s, was %s.", what)
	addIfChanged(d, EffectClass, SeverityHigh, old.Path, next.Path, "%s are those under %s, was %s.", what)
	addIfChanged(d, EffectClass, SeverityMedium, durationText(old.Deadline), durationText(next.Deadline), "%s may take %s in all, was %s.", what)
	addIfChanged(d, EffectClass, SeverityMedium, old.Priority, next.Priority, "%s wait with priority %d (0 goes first), was %d.", what)
	addIfChanged(d, EffectClass, SeverityMedium, old.Retries, next.Retries, "Retries of %s stay under %s of them, was %s.", what)
	addIfChanged(d, EffectClass, SeverityMedium, old.MaxBody, next.MaxBody, "%s may carry up to %s, was %s.", what)
	addIfChanged(d, EffectClass, SeverityMedium, old.MaxAnswer, next.MaxAnswer, "Answers to %s may have up to %s, was %s.", what)
	addIfChanged(d, EffectClass, SeverityMedium, hedgeText(old), hedgeText(next), "%s: %s, was: %s.", what)
	addIfChanged(d, EffectClass, SeverityMedium, operationIDText(old), operationIDText(next), "%s %s an operation ID, was: %s.", what)
}

func hedgeText(c Class) string {
	if c.HedgeAfter == 0 {
		return "no second copy is sent"
	}
	return "a second copy may be sent after " + durationText(c.HedgeAfter)
}

func operationIDText(c Class) string {
	if c.RequireOperationID {
		return "need"
	}
	return "do not need"
}
