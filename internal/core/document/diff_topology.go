package document

import "slices"

func (d *differ) topology() {
	regions := match(d.old.Regions, d.next.Regions, func(r Region) string { return r.Name })
	for _, r := range regions.added {
		d.add(EffectTopology, SeverityHigh, "Region %s is new, with %s.", r.Name, regionSizeText(r))
	}
	for _, r := range regions.removed {
		d.add(EffectTopology, SeverityHigh, "Region %s is removed, with %s.", r.Name, regionSizeText(r))
	}
	domains := match(domainsInRegions(d.old), domainsInRegions(d.next), func(p domainInRegion) string { return p.Name })
	for _, p := range domains.added {
		if d.old.hasRegion(p.region) {
			d.add(EffectTopology, SeverityHigh, "Failure domain %s is new in %s, with %s.", p.Name, p.region, countText(len(p.EntryHosts), "entry host"))
		}
	}
	for _, p := range domains.removed {
		if d.next.hasRegion(p.region) {
			d.add(EffectTopology, SeverityHigh, "Failure domain %s of %s is removed, with %s.", p.Name, p.region, countText(len(p.EntryHosts), "entry host"))
		}
	}
	for _, p := range domains.kept {
		addIfChanged(d, EffectTopology, SeverityHigh, p.old.region, p.next.region, "Failure domain %s moves to region %s, was in %s.", p.next.Name)
	}
	d.hosts()
}

func regionSizeText(r Region) string {
	hosts := 0
	for _, dom := range r.Domains {
		hosts += len(dom.EntryHosts)
	}
	return countText(len(r.Domains), "failure domain") + " and " + countText(hosts, "entry host")
}

func (d *Document) hasRegion(name string) bool {
	return slices.ContainsFunc(d.Regions, func(r Region) bool { return r.Name == name })
}

// domainInRegion is a failure domain with the name of its region.
type domainInRegion struct {
	Domain
	region string
}

func domainsInRegions(doc *Document) []domainInRegion {
	var out []domainInRegion
	for _, r := range doc.Regions {
		for _, dom := range r.Domains {
			out = append(out, domainInRegion{Domain: dom, region: r.Name})
		}
	}
	return out
}

// hostInDomain is an entry host with the name of its failure domain.
type hostInDomain struct {
	EntryHost
	domain string
}

func hostsInDomains(doc *Document) []hostInDomain {
	var out []hostInDomain
	for _, p := range domainsInRegions(doc) {
		for _, h := range p.EntryHosts {
			out = append(out, hostInDomain{EntryHost: h, domain: p.Name})
		}
	}
	return out
}

func (d *differ) hosts() {
	hosts := match(hostsInDomains(d.old), hostsInDomains(d.next), func(h hostInDomain) string { return h.Name })
	d.addHostCounts(hosts.added, d.old, "%s in %s: %s.", "new entry host")
	d.addHostCounts(hosts.removed, d.next, "%s in %s: %s.", "removed entry host")
	for _, h := range hosts.kept {
		addIfChanged(d, EffectTopology, SeverityHigh, h.old.domain, h.next.domain, "Entry host %s moves to failure domain %s, was in %s.", h.next.Name)
		addIfChanged(d, EffectTopology, SeverityMedium, h.old.Caller, h.next.Caller, "Callers reach entry host %s at %s, was %s.", h.next.Name)
		addIfChanged(d, EffectTopology, SeverityLow, h.old.Entry, h.next.Entry, "Other hosts reach cassiatray-entry on %s at %s, was %s.", h.next.Name)
		addIfChanged(d, EffectTopology, SeverityLow, h.old.Steer, h.next.Steer, "Other hosts reach cassiatray-steer on %s at %s, was %s.", h.next.Name)
		addIfChanged(d, EffectTopology, SeverityLow, h.old.EntryOperator, h.next.EntryOperator,
			"Operators reach cassiatray-entry on %s at %s, was %s.", h.next.Name)
		addIfChanged(d, EffectTopology, SeverityLow, h.old.SteerOperator, h.next.SteerOperator,
			"Operators reach cassiatray-steer on %s at %s, was %s.", h.next.Name)
	}
}

// addHostCounts adds one effect for each failure domain that also exists in
// other. The hosts of a new or removed domain are counted in the effect for
// that domain.
func (d *differ) addHostCounts(hosts []hostInDomain, other *Document, format, noun string) {
	domains := other.DomainNames()
	names := map[string][]string{}
	var order []string
	for _, h := range hosts {
		if !slices.Contains(domains, h.domain) {
			continue
		}
		if names[h.domain] == nil {
			order = append(order, h.domain)
		}
		names[h.domain] = append(names[h.domain], h.Name)
	}
	for _, domain := range order {
		domainHosts := names[domain]
		d.add(EffectTopology, SeverityMedium, format, countText(len(domainHosts), noun), domain, joinExamples(domainHosts))
	}
}

func linkName(l Link) string { return pairName(l.Between) }

// pairName names a pair of regions independently of their order.
func pairName(between []string) string {
	ends := slices.Clone(between)
	slices.Sort(ends)
	return joinList(ends)
}

func (d *differ) links() {
	links := match(d.old.Links, d.next.Links, linkName)
	for _, l := range links.added {
		d.add(EffectLink, SeverityHigh, "The link between %s is new: %s Mbit/s each way, of which this system may use %.0f, with %s of delay.",
			linkName(l), groupThousands(l.Mbps), l.AllowedMbps(), durationText(l.Delay))
	}
	for _, l := range links.removed {
		d.add(EffectLink, SeverityHigh, "The link between %s is removed.", linkName(l))
	}
	for _, l := range links.kept {
		name := linkName(l.next)
		addIfChanged(d, EffectLink, SeverityHigh, groupThousands(l.old.Mbps), groupThousands(l.next.Mbps), "The link between %s has %s Mbit/s each way, was %s.", name)
		if l.old.Share != l.next.Share {
			d.add(EffectLink, SeverityHigh, "This system may use %s of the link between %s (%.0f Mbit/s each way), was %s (%.0f Mbit/s).",
				l.next.Share, name, l.next.AllowedMbps(), l.old.Share, l.old.AllowedMbps())
		}
		addIfChanged(d, EffectLink, SeverityMedium, l.old.Delay, l.next.Delay, "The link between %s delays by %s, was %s.", name)
	}
}
