package document

// ShiftOf returns the shift cap that applies to a service.
func (c *Caps) ShiftOf(service string) ShiftCap {
	for _, s := range c.Shifts {
		if s.Service == service {
			return ShiftCap{Share: s.Share, Per: s.Per}
		}
	}
	return c.Shift
}

// fullShare is a share that limits nothing.
const fullShare Percent = 100

// Fill returns the share of a region's slots for a service that steering may
// plan to use.
func (c *Caps) Fill(service, region string) Percent {
	share := fullShare
	for _, s := range c.Services {
		if s.Service != service {
			continue
		}
		if s.Region == region {
			return s.Share
		}
		if s.Region == "" {
			share = s.Share
		}
	}
	return share
}

// Taken returns the share of its slots for a service that region to may use for
// work of region from, and whether the document has a cap for it.
func (c *Caps) Taken(service, from, to string) (Percent, bool) {
	for _, r := range c.Regions {
		if r.Service == service && r.From == from && r.To == to {
			return r.Share, true
		}
	}
	return fullShare, false
}

// LinkMbps returns the rate at which a service may send over the link between
// two regions in each direction, in Mbit/s, and whether the document has such a
// link. The value for an empty service is the limit on the sum of all services.
func (d *Document) LinkMbps(service, a, b string) (float64, bool) {
	link := d.Link(a, b)
	if link == nil {
		return 0, false
	}
	limit := link.AllowedMbps()
	for _, c := range d.Caps.Links {
		if connects(c.Between, a, b) && (c.Service == "" || c.Service == service) {
			limit = min(limit, float64(c.Mbps))
		}
	}
	return limit, true
}

// AllowedMbps returns the rate at which this system may send over the link in
// each direction, in Mbit/s.
func (l *Link) AllowedMbps() float64 { return float64(l.Mbps) * l.Share.Fraction() }

// Link returns the link between two regions, or nil.
func (d *Document) Link(a, b string) *Link {
	for i := range d.Links {
		if connects(d.Links[i].Between, a, b) {
			return &d.Links[i]
		}
	}
	return nil
}

// connects reports whether a pair of regions is a and b, in either order.
func connects(between []string, a, b string) bool {
	return len(between) == 2 && (between[0] == a && between[1] == b || between[0] == b && between[1] == a)
}
