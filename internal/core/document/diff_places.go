package document

import "slices"

func (d *differ) places() {
	regions := match(d.old.Regions, d.now.Regions, func(r Region) string { return r.Name })
	for _, r := range regions.added {
		d.add(EffectPlace, SeverityHigh, "Region %s is new, with %s.", r.Name, contents(r))
	}
	for _, r := range regions.removed {
		d.add(EffectPlace, SeverityHigh, "Region %s is removed, with %s.", r.Name, contents(r))
	}
	domains := match(placedDomains(d.old), placedDomains(d.now), func(p placedDomain) string { return p.Name })
	for _, p := range domains.added {
		if d.old.hasRegion(p.region) {
			d.add(EffectPlace, SeverityHigh, "Failure domain %s is new in %s, with %s.", p.Name, p.region, count(len(p.EntryHosts), "entry host"))
		}
	}
	for _, p := range domains.removed {
		if d.now.hasRegion(p.region) {
			d.add(EffectPlace, SeverityHigh, "Failure domain %s of %s is removed, with %s.", p.Name, p.region, count(len(p.EntryHosts), "entry host"))
		}
	}
	for _, p := range domains.kept {
		changed(d, EffectPlace, SeverityHigh, p.old.region, p.now.region, "Failure domain %s moves to region %s, was in %s.", p.now.Name)
	}
	d.hosts()
}

func contents(r Region) string {
	hosts := 0
	for _, dom := range r.Domains {
		hosts += len(dom.EntryHosts)
	}
	return count(len(r.Domains), "failure domain") + " and " + count(hosts, "entry host")
}

func (d *Document) hasRegion(name string) bool {
	return slices.ContainsFunc(d.Regions, func(r Region) bool { return r.Name == name })
}

type placedDomain struct {
	Domain
	region string
}

func placedDomains(doc *Document) []placedDomain {
	var out []placedDomain
	for _, r := range doc.Regions {
		for _, dom := range r.Domains {
			out = append(out, placedDomain{Domain: dom, region: r.Name})
		}
	}
	return out
}

type placedHost struct {
	EntryHost
	domain string
}

func placedHosts(doc *Document) []placedHost {
	var out []placedHost
	for _, p := range placedDomains(doc) {
		for _, h := range p.EntryHosts {
			out = append(out, placedHost{EntryHost: h, domain: p.Name})
		}
	}
	return out
}

func (d *differ) hosts() {
	hosts := match(placedHosts(d.old), placedHosts(d.now), func(h placedHost) string { return h.Name })
	d.hostCounts(hosts.added, d.old, "%s in %s: %s.", "new entry host")
	d.hostCounts(hosts.removed, d.now, "%s in %s: %s.", "removed entry host")
	for _, h := range hosts.kept {
		changed(d, EffectPlace, SeverityHigh, h.old.domain, h.now.domain, "Entry host %s moves to failure domain %s, was in %s.", h.now.Name)
		changed(d, EffectPlace, SeverityMedium, h.old.Caller, h.now.Caller, "Callers reach entry host %s at %s, was %s.", h.now.Name)
		changed(d, EffectPlace, SeverityLow, h.old.Entry, h.now.Entry, "Other hosts reach cassiatray-entry on %s at %s, was %s.", h.now.Name)
		changed(d, EffectPlace, SeverityLow, h.old.Steer, h.now.Steer, "Other hosts reach cassiatray-steer on %s at %s, was %s.", h.now.Name)
		changed(d, EffectPlace, SeverityLow, h.old.EntryOperator, h.now.EntryOperator,
			"Operators reach cassiatray-entry on %s at %s, was %s.", h.now.Name)
		changed(d, EffectPlace, SeverityLow, h.old.SteerOperator, h.now.SteerOperator,
			"Operators reach cassiatray-steer on %s at %s, was %s.", h.now.Name)
	}
}

// hostCounts adds one effect for each failure domain that other has as well;
// hosts of a new or removed domain are counted with it.
func (d *differ) hostCounts(hosts []placedHost, other *Document, format, noun string) {
	known := other.DomainNames()
	names := map[string][]string{}
	var order []string
	for _, h := range hosts {
		if !slices.Contains(known, h.domain) {
			continue
		}
		if names[h.domain] == nil {
			order = append(order, h.domain)
		}
		names[h.domain] = append(names[h.domain], h.Name)
	}
	for _, domain := range order {
		list := names[domain]
		d.add(EffectPlace, SeverityMedium, format, count(len(list), noun), domain, examples(list))
	}
}

func linkName(l Link) string { return pairName(l.Between) }

// pairName names a pair of regions alike in both directions.
func pairName(between []string) string {
	ends := slices.Clone(between)
	slices.Sort(ends)
	return list(ends)
}

func (d *differ) links() {
	links := match(d.old.Links, d.now.Links, linkName)
	for _, l := range links.added {
		d.add(EffectLink, SeverityHigh, "The link between %s is new: %s Mbit/s each way, of which this system may use %.0f, with %s of delay.",
			linkName(l), grouped(l.Mbps), l.Allowed(), durationText(l.Delay))
	}
	for _, l := range links.removed {
		d.add(EffectLink, SeverityHigh, "The link between %s is removed.", linkName(l))
	}
	for _, l := range links.kept {
		name := linkName(l.now)
		changed(d, EffectLink, SeverityHigh, grouped(l.old.Mbps), grouped(l.now.Mbps), "The link between %s has %s Mbit/s each way, was %s.", name)
		if l.old.Share != l.now.Share {
			d.add(EffectLink, SeverityHigh, "This system may use %s of the link between %s (%.0f Mbit/s each way), was %s (%.0f Mbit/s).",
				l.now.Share, name, l.now.Allowed(), l.old.Share, l.old.Allowed())
		}
		changed(d, EffectLink, SeverityMedium, l.old.Delay, l.now.Delay, "The link between %s delays by %s, was %s.", name)
	}
}
