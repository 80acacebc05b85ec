package document

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
)

// blockChange is a change that is the same for a group of client blocks: their
// regions before and after. An empty old means that the blocks are new, an
// empty next that they are removed.
type blockChange struct{ old, next string }

// maxBlockChanges is the maximum number of different changes of client blocks
// that are described separately.
const maxBlockChanges = 10

func (d *differ) clients() {
	blocks := match(d.old.Clients, d.next.Clients, func(c Client) netip.Prefix { return c.Block.Prefix })
	groups := map[blockChange][]string{}
	put := func(old, next []string, c Client) {
		key := blockChange{old: strings.Join(old, ", then "), next: strings.Join(next, ", then ")}
		if key.old != key.next {
			groups[key] = append(groups[key], c.Block.String())
		}
	}
	for _, c := range blocks.added {
		put(nil, c.Regions, c)
	}
	for _, c := range blocks.removed {
		put(c.Regions, nil, c)
	}
	for _, c := range blocks.kept {
		put(c.old.Regions, c.next.Regions, c.next)
	}
	d.blockChanges(groups)
}

func (d *differ) blockChanges(groups map[blockChange][]string) {
	keys := make([]blockChange, 0, len(groups))
	for k := range groups {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b blockChange) int {
		return cmp.Or(cmp.Compare(len(groups[b]), len(groups[a])), cmp.Compare(a.old, b.old), cmp.Compare(a.next, b.next))
	})
	shown := keys[:min(len(keys), maxBlockChanges)]
	for _, k := range shown {
		d.blockChange(k, groups[k])
	}
	var rest []string
	for _, k := range keys[len(shown):] {
		rest = append(rest, groups[k]...)
	}
	if len(rest) > 0 {
		d.add(EffectClient, SeverityHigh, "%s in %d other ways: %s.", countText(len(rest), "client block")+" changing", len(keys)-len(shown), joinExamples(rest))
	}
}

func (d *differ) blockChange(k blockChange, blocks []string) {
	what, which := countText(len(blocks), "client block"), joinExamples(blocks)
	switch {
	case k.old == "":
		d.add(EffectClient, SeverityHigh, "New: %s to %s: %s.", what, k.next, which)
	case k.next == "":
		d.add(EffectClient, SeverityHigh, "Removed: %s to %s: %s. The next wider block applies to their callers.", what, k.old, which)
	default:
		d.add(EffectClient, SeverityHigh, "Moved: %s to %s, was %s: %s.", what, k.next, k.old, which)
	}
}
