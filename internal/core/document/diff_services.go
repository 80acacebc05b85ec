package document

import (
	"slices"
	"strings"
)

func (d *differ) services() {
	services := match(d.old.Services, d.now.Services, func(s Service) string { return s.Name })
	for _, s := range services.added {
		d.add(EffectService, SeverityHigh, "Service %s is new: %s, %s at once in all, %s.", s.Name,
			count(len(s.Servers), "server"), count(len(s.Servers)*s.Slots, "request"), classNames(s))
	}
	for _, s := range services.removed {
		d.add(EffectService, SeverityHigh, "Service %s is removed, with %s: its requests are refused.", s.Name, count(len(s.Servers), "server"))
	}
	for _, s := range services.kept {
		d.service(s.old, s.now)
		d.capacity(s.old, s.now)
		d.servers(s.old, s.now)
		d.classes(s.old, s.now)
	}
}

func classNames(s Service) string {
	var names []string
	for _, c := range s.Classes {
		names = append(names, c.Name)
	}
	noun := "class"
	if len(names) != 1 {
		noun = "classes"
	}
	return noun + " " + list(names)
}

func (d *differ) service(old, now Service) {
	name := now.Name
	changed(d, EffectService, SeverityHigh, old.Slots, now.Slots, "Each server of %s runs up to %d requests at once, was %d.", name)
	changed(d, EffectService, SeverityMedium, old.Connections, now.Connections, "Each server of %s accepts %d connections, was %d.", name)
	changed(d, EffectService, SeverityLow, durationText(old.ColdStart.Connection), durationText(now.ColdStart.Connection),
		"A new connection to a server of %s costs %s, was %s.", name)
	changed(d, EffectService, SeverityMedium, durationText(old.ColdStart.Warmup), durationText(now.ColdStart.Warmup),
		"A new server of %s reaches its full load in %s, was %s.", name)
	changed(d, EffectService, SeverityMedium, max(1, old.ColdStart.InitialSlots), max(1, now.ColdStart.InitialSlots),
		"A new server of %s begins with %d requests at once, was %d.", name)
}

// slotsIn returns how many requests of a service a region runs at once.
func (d *Document) slotsIn(service, region string) int {
	for i := range d.Services {
		if d.Services[i].Name == service {
			return d.Services[i].slotsBy(d)[region]
		}
	}
	return 0
}

// slotsBy returns how many requests each region runs at once.
func (s *Service) slotsBy(d *Document) map[string]int {
	regions := map[string]string{}
	for _, p := range placedDomains(d) {
		regions[p.Name] = p.region
	}
	out := map[string]int{}
	for _, b := range s.Servers {
		out[regions[b.Domain]] += s.Slots
	}
	return out
}

// capacity adds an effect for each region that can run more or less.
func (d *differ) capacity(old, now Service) {
	before, after := old.slotsBy(d.old), now.slotsBy(d.now)
	for _, r := range d.now.Regions {
		changed(d, EffectService, SeverityHigh, grouped(before[r.Name]), grouped(after[r.Name]),
			"%s can run %[3]s %[2]s requests at once, was %[4]s.", r.Name, now.Name)
	}
}

func (d *differ) servers(old, now Service) {
	servers := match(old.Servers, now.Servers, func(b BackendServer) string { return b.Name })
	d.serverCount("new", now.Name, servers.added)
	d.serverCount("removed", now.Name, servers.removed)
	for _, b := range servers.kept {
		changed(d, EffectServer, SeverityHigh, b.old.Domain, b.now.Domain,
			"Server %s of %s is in failure domain %s, was in %s.", b.now.Name, now.Name)
		changed(d, EffectServer, SeverityMedium, b.old.Address, b.now.Address,
			"Server %s of %s is reached at %s, was %s.", b.now.Name, now.Name)
	}
}

func (d *differ) serverCount(what, service string, servers []BackendServer) {
	if len(servers) == 0 {
		return
	}
	var names []string
	for _, b := range servers {
		names = append(names, b.Name+" in "+b.Domain)
	}
	d.add(EffectServer, SeverityHigh, "%s of %s: %s.", count(len(servers), what+" server"), service, examples(names))
}

func (d *differ) classes(old, now Service) {
	classes := match(old.Classes, now.Classes, func(c Class) string { return c.Name })
	for _, c := range classes.added {
		d.add(EffectClass, SeverityHigh, "Class %s of %s is new: %s %s, %s, within %s.", c.Name, now.Name,
			strings.Join(c.Methods, "/"), c.Path, runs(c.Execution), durationText(c.Deadline))
	}
	for _, c := range classes.removed {
		d.add(EffectClass, SeverityHigh, "Class %s of %s is removed: its requests are refused unless another class takes them.", c.Name, now.Name)
	}
	var before, after []string
	for _, c := range classes.kept {
		after = append(after, c.now.Name)
		d.class(now.Name, c.old, c.now)
	}
	for _, c := range old.Classes {
		if slices.Contains(after, c.Name) {
			before = append(before, c.Name)
		}
	}
	changed(d, EffectClass, SeverityMedium, list(before), list(after), "Requests of %s are matched with classes %s in this order, was %s.", now.Name)
}

func runs(e Execution) string {
	switch e {
	case AtMostOnce:
		return "runs at most once"
	case Idempotent:
		return "may run more than once"
	}
	return string(e)
}

func (d *differ) class(service string, old, now Class) {
	what := now.Name + " requests of " + service
	changed(d, EffectClass, SeverityHigh, runs(old.Execution), runs(now.Execution), "Each of the %s %s, was: %s.", what)
	changed(d, EffectClass, SeverityHigh, strings.Join(old.Methods, "/"), strings.Join(now.Methods, "/"), "%s are those with method %s, was %s.", what)
	changed(d, EffectClass, SeverityHigh, old.Path, now.Path, "%s are those under %s, was %s.", what)
	changed(d, EffectClass, SeverityMedium, durationText(old.Deadline), durationText(now.Deadline), "%s may take %s in all, was %s.", what)
	changed(d, EffectClass, SeverityMedium, old.Priority, now.Priority, "%s wait with priority %d (0 goes first), was %d.", what)
	changed(d, EffectClass, SeverityMedium, old.Retries, now.Retries, "Retries of %s stay under %s of them, was %s.", what)
	changed(d, EffectClass, SeverityMedium, old.MaxBody, now.MaxBody, "%s may carry up to %s, was %s.", what)
	changed(d, EffectClass, SeverityMedium, old.MaxAnswer, now.MaxAnswer, "Answers to %s may have up to %s, was %s.", what)
	changed(d, EffectClass, SeverityMedium, hedge(old), hedge(now), "%s: %s, was: %s.", what)
	changed(d, EffectClass, SeverityMedium, needsID(old), needsID(now), "%s %s an operation ID, was: %s.", what)
}

func hedge(c Class) string {
	if c.HedgeAfter == 0 {
		return "no second copy is sent"
	}
	return "a second copy may be sent after " + durationText(c.HedgeAfter)
}

func needsID(c Class) string {
	if c.RequireOperationID {
		return "need"
	}
	return "do not need"
}
