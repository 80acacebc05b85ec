package routing

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Diff returns what changes from one configuration to another, a line for each change, in a fixed
// order. Of keys it tells the number.
func Diff(from, to *Config) []string {
	d := new(differ)
	d.value("limits", "header bytes", from.Limits.HeaderBytes, to.Limits.HeaderBytes)
	d.value("limits", "body bytes", from.Limits.BodyBytes, to.Limits.BodyBytes)
	d.value("limits", "header time-out", from.Limits.HeaderTimeout, to.Limits.HeaderTimeout)
	d.value("limits", "idle time-out", from.Limits.IdleTimeout, to.Limits.IdleTimeout)
	each(d, "service", from.Services, to.Services, d.service)
	each(d, "route", from.firstRoutes(), to.firstRoutes(), d.route)
	before, after := from.keys(), to.keys()
	each(d, "customer", from.customers.byName, to.customers.byName, func(subject string, a, b *Customer) {
		d.customer(subject, a, b)
		d.keys(subject, before[a.Name], after[b.Name])
	})
	if from.HasCustomers() != to.HasCustomers() {
		d.value("callers", "need keys", from.HasCustomers(), to.HasCustomers())
	}
	return d.lines
}

// firstRoutes returns the routes that are not hidden, by host and prefix.
func (c *Config) firstRoutes() map[string]*Route {
	out := map[string]*Route{}
	c.EachRoute(func(r *Route) {
		if at := r.Host + r.Prefix; out[at] == nil {
			out[at] = r
		}
	})
	return out
}

type differ struct{ lines []string }

func (d *differ) add(format string, args ...any) {
	d.lines = append(d.lines, fmt.Sprintf(format, args...))
}

// value tells of a value that changes.
func (d *differ) value(subject, name string, from, to any) {
	if a, b := fmt.Sprint(from), fmt.Sprint(to); a != b {
		d.add("%s: %s %s -> %s", subject, name, a, b)
	}
}

// each tells of what is added and removed, and calls fn with what both have.
func each[T any](d *differ, kind string, from, to map[string]*T, fn func(subject string, from, to *T)) {
	all := map[string]*T{}
	maps.Copy(all, from)
	maps.Copy(all, to)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		switch {
		case from[name] == nil:
			d.add("%s %s: added", kind, name)
		case to[name] == nil:
			d.add("%s %s: removed", kind, name)
		default:
			fn(kind+" "+name, from[name], to[name])
		}
	}
}

func (d *differ) service(subject string, from, to *Service) {
	d.value(subject, "health check", from.HealthPath, to.HealthPath)
	d.value(subject, "connections of a server", from.MaxConns, to.MaxConns)
	d.value(subject, "cold for", from.ColdFor, to.ColdFor)
	d.value(subject, "rate of a cold server", from.ColdRate, to.ColdRate)
}

func (d *differ) route(subject string, from, to *Route) {
	d.value(subject, "name", from.Name, to.Name)
	d.value(subject, "may run again", from.Idempotent, to.Idempotent)
	d.value(subject, "long requests", from.LongRequests, to.LongRequests)
	d.value(subject, "long responses", from.LongResponses, to.LongResponses)
	d.value(subject, "public", from.Public, to.Public)
	d.value(subject, "time-out", from.Timeout, to.Timeout)
	d.value(subject, "target latency", from.Target, to.Target)
	d.value(subject, "priority", from.Priority, to.Priority)
	d.value(subject, "attempts", from.MaxAttempts, to.MaxAttempts)
	d.value(subject, "sticky", from.Sticky, to.Sticky)
	d.value(subject, "home regions", homesText(from.Homes), homesText(to.Homes))
	d.value(subject, "services", partsText(from.Parts), partsText(to.Parts))
}

func (d *differ) customer(subject string, from, to *Customer) {
	d.value(subject, "priority", priorityText(from.Priority), priorityText(to.Priority))
	d.value(subject, "rate", from.Rate, to.Rate)
	d.value(subject, "burst", from.Burst, to.Burst)
	d.value(subject, "home regions", homesText(from.Homes), homesText(to.Homes))
}

// keys tells how many keys are added and withdrawn.
func (d *differ) keys(subject string, from, to map[keyDigest]bool) {
	kept := 0
	for digest := range from {
		if to[digest] {
			kept++
		}
	}
	if n := len(to) - kept; n > 0 {
		d.add("%s: keys added: %d", subject, n)
	}
	if n := len(from) - kept; n > 0 {
		d.add("%s: keys withdrawn: %d", subject, n)
	}
}

func homesText(homes []string) string { return cmp.Or(strings.Join(homes, ","), "all") }

func partsText(parts []Part) string {
	var out []string
	for _, p := range parts {
		out = append(out, p.Service+":"+strconv.FormatFloat(p.Weight, 'g', -1, 64))
	}
	return strings.Join(out, ",")
}

func priorityText(p *int) string {
	if p == nil {
		return "the route's"
	}
	return strconv.Itoa(*p)
}
