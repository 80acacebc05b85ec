package document

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
)

// blockChange is what happens alike to many client blocks. An empty old or now
// means that the blocks are new or removed.
type blockChange struct{ old, now string }

// maxBlockChanges bounds how many different changes of client blocks are told
// apart.
const maxBlockChanges = 10

func (d *differ) clients() {
	blocks := match(d.old.Clients, d.now.Clients, func(c Client) netip.Prefix { return c.Block.Prefix })
	groups := map[blockChange][]string{}
	put := func(old, now []string, c Client) {
		key := blockChange{old: strings.Join(old, ", then "), now: strings.Join(now, ", then ")}
		if key.old != key.now {
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
		put(c.old.Regions, c.now.Regions, c.now)
	}
	d.blockChanges(groups)
}

func (d *differ) blockChanges(groups map[blockChange][]string) {
	keys := make([]blockChange, 0, len(groups))
	for k := range groups {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b blockChange) int {
		return cmp.Or(cmp.Compare(len(groups[b]), len(groups[a])), cmp.Compare(a.old, b.old), cmp.Compare(a.now, b.now))
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
		d.add(EffectClient, SeverityHigh, "%s in %d other ways: %s.", count(len(rest), "client block")+" changing", len(keys)-len(shown), examples(rest))
	}
}

func (d *differ) blockChange(k blockChange, blocks []string) {
	what, which := count(len(blocks), "client block"), examples(blocks)
	switch {
	case k.old == "":
		d.add(EffectClient, SeverityHigh, "New: %s to %s: %s.", what, k.now, which)
	case k.now == "":
		d.add(EffectClient, SeverityHigh, "Removed: %s to %s: %s. The next wider block applies to their callers.", what, k.old, which)
	default:
		d.add(EffectClient, SeverityHigh, "Moved: %s to %s, was %s: %s.", what, k.now, k.old, which)
	}
}
