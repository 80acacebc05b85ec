package document

import "fmt"

func (d *differ) caps() {
	d.regionCaps()
	d.serviceCaps()
	d.linkCaps()
	d.shiftCaps()
}

func (d *differ) regionCaps() {
	caps := match(d.old.Caps.Regions, d.next.Caps.Regions, func(c RegionCap) capScope {
		return capScope{service: c.Service, from: c.From, to: c.To}
	})
	for _, c := range caps.added {
		d.add(EffectCap, SeverityHigh, "%s may take up to %s, had no cap: %s.", c.To, regionCapText(d.next, c), receiverSlotsText(d.next, c))
	}
	for _, c := range caps.removed {
		d.add(EffectCap, SeverityHigh, "%s may take %s work from %s without a cap of its own, was up to %s: %s.",
			c.To, c.Service, c.From, senderShareText(d.old, c), receiverSlotsText(d.old, c))
	}
	for _, c := range caps.kept {
		if c.old.Share != c.next.Share {
			d.add(EffectCap, SeverityHigh, "%s may take up to %s, was %s: %s, was %s.", c.next.To, regionCapText(d.next, c.next),
				senderShareText(d.old, c.old), receiverSlotsText(d.next, c.next), receiverSlotsText(d.old, c.old))
		}
	}
}

// regionCapText describes the work that a cap lets its receiving region accept.
func regionCapText(doc *Document, c RegionCap) string {
	return fmt.Sprintf("%s of %s %s work", senderShareText(doc, c), possessive(c.From), c.Service)
}

// senderShareText returns the cap as a percentage of the slots of the sending
// region. That percentage is undefined for a region without servers of the
// service.
func senderShareText(doc *Document, c RegionCap) string {
	own := doc.slotsInRegion(c.Service, c.From)
	slots := c.Share.Fraction() * float64(doc.slotsInRegion(c.Service, c.To))
	if own == 0 {
		return "any part"
	}
	return percentText(min(slots, float64(own)), float64(own))
}

// receiverSlotsText returns the cap as a number of concurrent requests, and as
// a percentage of the slots of the receiving region.
func receiverSlotsText(doc *Document, c RegionCap) string {
	all := doc.slotsInRegion(c.Service, c.To)
	return fmt.Sprintf("%s at once (%s of its own %s)", countText(int(c.Share.Fraction()*float64(all)), "request"), c.Share, groupThousands(all))
}

func (d *differ) serviceCaps() {
	caps := match(d.old.Caps.Services, d.next.Caps.Services, func(c ServiceCap) capScope {
		return capScope{service: c.Service, to: c.Region}
	})
	for _, c := range caps.added {
		d.add(EffectCap, SeverityHigh, "%s is filled up to %s of what it can run, had no cap.", serviceCapTarget(c), c.Share)
	}
	for _, c := range caps.removed {
		d.add(EffectCap, SeverityHigh, "%s may be filled wholly, was filled up to %s of what it can run.", serviceCapTarget(c), c.Share)
	}
	for _, c := range caps.kept {
		addIfChanged(d, EffectCap, SeverityHigh, c.old.Share, c.next.Share, "%s is filled up to %s of what it can run, was %s.", serviceCapTarget(c.next))
	}
}

// serviceCapTarget describes the service and region that a cap applies to.
func serviceCapTarget(c ServiceCap) string {
	if c.Region == "" {
		return c.Service + " in a region without a cap of its own"
	}
	return c.Service + " in " + c.Region
}

func (d *differ) linkCaps() {
	caps := match(d.old.Caps.Links, d.next.Caps.Links, func(c LinkCap) capScope {
		return capScope{service: c.Service, from: pairName(c.Between)}
	})
	for _, c := range caps.added {
		d.add(EffectCap, SeverityHigh, "%s between %s may use up to %s Mbit/s each way, had no cap.", linkCapTraffic(c), pairName(c.Between), groupThousands(c.Mbps))
	}
	for _, c := range caps.removed {
		d.add(EffectCap, SeverityHigh, "%s between %s has no cap of its own, was up to %s Mbit/s each way.", linkCapTraffic(c), pairName(c.Between), groupThousands(c.Mbps))
	}
	for _, c := range caps.kept {
		addIfChanged(d, EffectCap, SeverityHigh, groupThousands(c.old.Mbps), groupThousands(c.next.Mbps),
			"%s between %s may use up to %s Mbit/s each way, was %s.", linkCapTraffic(c.next), pairName(c.next.Between))
	}
}

// linkCapTraffic describes the traffic that a cap applies to.
func linkCapTraffic(c LinkCap) string {
	if c.Service == "" {
		return "All traffic"
	}
	return "Traffic of " + c.Service
}

func (d *differ) shiftCaps() {
	if d.old.Caps.Shift.Per == 0 {
		d.add(EffectCap, SeverityHigh, "A shift of traffic moves at most %s.", shiftCapText(d.next.Caps.Shift))
	} else {
		addIfChanged(d, EffectCap, SeverityHigh, shiftCapText(d.old.Caps.Shift), shiftCapText(d.next.Caps.Shift), "A shift of traffic moves at most %s, was %s.")
	}
	caps := match(d.old.Caps.Shifts, d.next.Caps.Shifts, func(c ServiceShiftCap) string { return c.Service })
	for _, c := range caps.added {
		d.add(EffectCap, SeverityHigh, "A shift of %s traffic moves at most %s, was like all others.", c.Service, shiftCapText(ShiftCap{c.Share, c.Per}))
	}
	for _, c := range caps.removed {
		d.add(EffectCap, SeverityHigh, "A shift of %s traffic moves like all others, was at most %s.", c.Service, shiftCapText(ShiftCap{c.Share, c.Per}))
	}
	for _, c := range caps.kept {
		addIfChanged(d, EffectCap, SeverityHigh, shiftCapText(ShiftCap{c.old.Share, c.old.Per}), shiftCapText(ShiftCap{c.next.Share, c.next.Per}),
			"A shift of %s traffic moves at most %s, was %s.", c.next.Service)
	}
}

func shiftCapText(s ShiftCap) string {
	return s.Share.String() + " of a region in " + durationText(s.Per)
}
