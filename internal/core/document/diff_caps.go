package document

import "fmt"

func (d *differ) caps() {
	d.regionCaps()
	d.serviceCaps()
	d.linkCaps()
	d.shiftCaps()
}

func (d *differ) regionCaps() {
	caps := match(d.old.Caps.Regions, d.now.Caps.Regions, func(c RegionCap) capPlace {
		return capPlace{service: c.Service, from: c.From, to: c.To}
	})
	for _, c := range caps.added {
		d.add(EffectCap, SeverityHigh, "%s may take up to %s, had no cap: %s.", c.To, takenWork(d.now, c), takenSlots(d.now, c))
	}
	for _, c := range caps.removed {
		d.add(EffectCap, SeverityHigh, "%s may take %s work from %s without a cap of its own, was up to %s: %s.",
			c.To, c.Service, c.From, takenShare(d.old, c), takenSlots(d.old, c))
	}
	for _, c := range caps.kept {
		if c.old.Share != c.now.Share {
			d.add(EffectCap, SeverityHigh, "%s may take up to %s, was %s: %s, was %s.", c.now.To, takenWork(d.now, c.now),
				takenShare(d.old, c.old), takenSlots(d.now, c.now), takenSlots(d.old, c.old))
		}
	}
}

func takenWork(doc *Document, c RegionCap) string {
	return fmt.Sprintf("%s of %s %s work", takenShare(doc, c), possessive(c.From), c.Service)
}

// takenShare is the cap in percent of what the sending region itself can run.
// A region without servers of the service has no such measure.
func takenShare(doc *Document, c RegionCap) string {
	own := doc.slotsIn(c.Service, c.From)
	slots := c.Share.Fraction() * float64(doc.slotsIn(c.Service, c.To))
	if own == 0 {
		return "any part"
	}
	return share(min(slots, float64(own)), float64(own))
}

func takenSlots(doc *Document, c RegionCap) string {
	all := doc.slotsIn(c.Service, c.To)
	return fmt.Sprintf("%s at once (%s of its own %s)", count(int(c.Share.Fraction()*float64(all)), "request"), c.Share, grouped(all))
}

func (d *differ) serviceCaps() {
	caps := match(d.old.Caps.Services, d.now.Caps.Services, func(c ServiceCap) capPlace {
		return capPlace{service: c.Service, to: c.Region}
	})
	for _, c := range caps.added {
		d.add(EffectCap, SeverityHigh, "%s is filled up to %s of what it can run, had no cap.", filled(c), c.Share)
	}
	for _, c := range caps.removed {
		d.add(EffectCap, SeverityHigh, "%s may be filled wholly, was filled up to %s of what it can run.", filled(c), c.Share)
	}
	for _, c := range caps.kept {
		changed(d, EffectCap, SeverityHigh, c.old.Share, c.now.Share, "%s is filled up to %s of what it can run, was %s.", filled(c.now))
	}
}

func filled(c ServiceCap) string {
	if c.Region == "" {
		return c.Service + " in a region without a cap of its own"
	}
	return c.Service + " in " + c.Region
}

func (d *differ) linkCaps() {
	caps := match(d.old.Caps.Links, d.now.Caps.Links, func(c LinkCap) capPlace {
		return capPlace{service: c.Service, from: pairName(c.Between)}
	})
	for _, c := range caps.added {
		d.add(EffectCap, SeverityHigh, "%s between %s may use up to %s Mbit/s each way, had no cap.", carried(c), pairName(c.Between), grouped(c.Mbps))
	}
	for _, c := range caps.removed {
		d.add(EffectCap, SeverityHigh, "%s between %s has no cap of its own, was up to %s Mbit/s each way.", carried(c), pairName(c.Between), grouped(c.Mbps))
	}
	for _, c := range caps.kept {
		changed(d, EffectCap, SeverityHigh, grouped(c.old.Mbps), grouped(c.now.Mbps),
			"%s between %s may use up to %s Mbit/s each way, was %s.", carried(c.now), pairName(c.now.Between))
	}
}

func carried(c LinkCap) string {
	if c.Service == "" {
		return "All traffic"
	}
	return "Traffic of " + c.Service
}

func (d *differ) shiftCaps() {
	if d.old.Caps.Shift.Per == 0 {
		d.add(EffectCap, SeverityHigh, "A shift of traffic moves at most %s.", pace(d.now.Caps.Shift))
	} else {
		changed(d, EffectCap, SeverityHigh, pace(d.old.Caps.Shift), pace(d.now.Caps.Shift), "A shift of traffic moves at most %s, was %s.")
	}
	caps := match(d.old.Caps.Shifts, d.now.Caps.Shifts, func(c ServiceShiftCap) string { return c.Service })
	for _, c := range caps.added {
		d.add(EffectCap, SeverityHigh, "A shift of %s traffic moves at most %s, was like all others.", c.Service, pace(ShiftCap{c.Share, c.Per}))
	}
	for _, c := range caps.removed {
		d.add(EffectCap, SeverityHigh, "A shift of %s traffic moves like all others, was at most %s.", c.Service, pace(ShiftCap{c.Share, c.Per}))
	}
	for _, c := range caps.kept {
		changed(d, EffectCap, SeverityHigh, pace(ShiftCap{c.old.Share, c.old.Per}), pace(ShiftCap{c.now.Share, c.now.Per}),
			"A shift of %s traffic moves at most %s, was %s.", c.now.Service)
	}
}

func pace(s ShiftCap) string { return s.Share.String() + " of a region in " + durationText(s.Per) }
