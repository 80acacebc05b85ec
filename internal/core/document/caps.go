package document

// ShiftOf returns the cap on shifts of a service.
func (c *Caps) ShiftOf(service string) ShiftCap {
	for _, s := range c.Shifts {
		if s.Service == service {
			return ShiftCap{Share: s.Share, Per: s.Per}
		}
	}
	return c.Shift
}

// fullShare is a share that bounds nothing.
const fullShare Percent = 100

// Fill returns how much of a region's slots for a service steering may plan to
// fill.
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

// Taken returns how much of its slots for a service a region may give to work
// of another region, and whether the document bounds it.
func (c *Caps) Taken(service, from, to string) (Percent, bool) {
	for _, r := range c.Regions {
		if r.Service == service && r.From == from && r.To == to {
			return r.Share, true
		}
	}
	return fullShare, false
}

// LinkMbps returns what a service may send each way over the link of two
// regions, in Mbit/s, and whether the document has such a link. All services
// together stay under the value for an empty service.
func (d *Document) LinkMbps(service, a, b string) (float64, bool) {
	link := d.Link(a, b)
	if link == nil {
		return 0, false
	}
	limit := link.Allowed()
	for _, c := range d.Caps.Links {
		if joins(c.Between, a, b) && (c.Service == "" || c.Service == service) {
			limit = min(limit, float64(c.Mbps))
		}
	}
	return limit, true
}

// Allowed returns what this system may send over the link each way, in Mbit/s.
func (l *Link) Allowed() float64 { return float64(l.Mbps) * l.Share.Fraction() }

// Link returns the link between two regions, or nil.
func (d *Document) Link(a, b string) *Link {
	for i := range d.Links {
		if joins(d.Links[i].Between, a, b) {
			return &d.Links[i]
		}
	}
	return nil
}

func joins(between []string, a, b string) bool {
	return len(between) == 2 && (between[0] == a && between[1] == b || between[0] == b && between[1] == a)
}
