package routing

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// FindingKind says what is wrong with a part of a configuration that is taken all the same.
type FindingKind string

// Values of FindingKind. They are codes for scripts.
const (
	// FindingNotUnderstood is served as the finding says.
	FindingNotUnderstood FindingKind = "not-understood"
	// FindingNeverUsed is an entry that no request can match.
	FindingNeverUsed FindingKind = "never-used"
	// FindingContradiction is a limit that another one makes pointless, or impossible to keep.
	FindingContradiction FindingKind = "contradiction"
	// FindingNotNewer is a version that gateways ignore beside the one in force.
	FindingNotNewer FindingKind = "not-newer"
)

// Finding is something wrong with a configuration that can be decoded. It contains no key.
type Finding struct {
	Kind FindingKind `json:"kind"`
	// Subject names the route, service or customer; empty for the whole.
	Subject string `json:"subject,omitempty"`
	Text    string `json:"text"`
}

// maxNamed is how many customers a finding names; of others it tells the number.
const maxNamed = 5

// Check returns what is wrong with a configuration. Regions are those that there are; empty if
// they are not known.
func Check(c *Config, regions []string) []Finding {
	k := &checker{config: c, regions: regions, used: map[string]bool{}}
	for _, text := range c.Warnings {
		k.add(FindingNotUnderstood, "", "%s", text)
	}
	for _, host := range slices.Sorted(maps.Keys(c.hosts)) {
		k.host(host, c.hosts[host])
	}
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		if !k.used[name] {
			k.add(FindingNeverUsed, "service "+name, "no route names it")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.customers.byName)) {
		k.customer(c.customers.byName[name])
	}
	if c.HasCustomers() && k.keyed == 0 {
		k.add(FindingNeverUsed, "", "customers, but no route needs a key")
	}
	return k.out
}

type checker struct {
	config  *Config
	regions []string
	// used are the services that routes name, keyed counts the routes that need a key.
	used  map[string]bool
	keyed int
	out   []Finding
}

func (k *checker) add(kind FindingKind, subject, format string, args ...any) {
	k.out = append(k.out, Finding{Kind: kind, Subject: subject, Text: fmt.Sprintf(format, args...)})
}

func (k *checker) host(host string, routes []*Route) {
	switch {
	case strings.ToLower(host) != host:
		k.add(FindingNeverUsed, "host "+host, "hosts are compared in lower case")
	case strings.Contains(host, ":"):
		k.add(FindingNeverUsed, "host "+host, "hosts are compared without their port")
	}
	first := map[string]*Route{}
	for _, r := range routes {
		subject := "route " + r.Name
		if other := first[r.Prefix]; other != nil {
			k.add(FindingNeverUsed, subject, "hidden by route %s, which has the same host %s and prefix %s", other.Name, host, r.Prefix)
		} else {
			first[r.Prefix] = r
		}
		if strings.Contains(r.Prefix, "?") {
			k.add(FindingNeverUsed, subject, "prefixes are compared with paths, which have no %q: %s", "?", r.Prefix)
		}
		for _, part := range r.Parts {
			k.used[part.Service] = true
		}
		if !r.Public {
			k.keyed++
		}
		k.route(subject, r)
	}
}

func (k *checker) route(subject string, r *Route) {
	if r.Timeout > 0 && r.Target > r.Timeout {
		k.add(FindingContradiction, subject, "target latency %s above the time-out %s", r.Target, r.Timeout)
	}
	if r.Idempotent && r.MaxAttempts <= 1 {
		k.add(FindingContradiction, subject, "may run again, but on one server only: the retry budget is not used")
	}
	k.homes(subject, r.Homes)
	if r.Public || len(r.Homes) == 0 {
		return
	}
	var none []string
	for name, customer := range k.config.customers.byName {
		if len(customer.Homes) > 0 && !slices.ContainsFunc(r.Homes, customer.AllowsRegion) {
			none = append(none, name)
		}
	}
	if len(none) > 0 {
		k.add(FindingContradiction, subject, "no home region in common with %s", listOf(none))
	}
}

// listOf returns names for a text.
func listOf(names []string) string {
	slices.Sort(names)
	if len(names) <= maxNamed {
		return "customers " + strings.Join(names, ", ")
	}
	return fmt.Sprintf("customers %s and %d more", strings.Join(names[:maxNamed], ", "), len(names)-maxNamed)
}

// homes checks home regions. A part that has one region that exists is served there.
func (k *checker) homes(subject string, homes []string) {
	if len(k.regions) == 0 {
		return
	}
	for _, home := range homes {
		if !slices.Contains(k.regions, home) {
			k.add(FindingContradiction, subject, "home region %q is no region", home)
		}
	}
}

func (k *checker) customer(c *Customer) {
	subject := "customer " + c.Name
	if c.KeyCount == 0 {
		k.add(FindingNeverUsed, subject, "no keys")
	}
	if c.Burst > 0 && c.Rate == 0 {
		k.add(FindingContradiction, subject, "a burst without a rate: there is no limit")
	}
	k.homes(subject, c.Homes)
}
