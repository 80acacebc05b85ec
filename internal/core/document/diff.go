package document

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Diff returns the effects of a change from old to next, the most important
// first. Old is nil if there is no document yet. Documents with the same JSON
// have no effects; if only the order of lists differs, the result is one
// EffectOrder.
func Diff(old, next *Document) []Effect {
	d := &differ{old: old, next: next}
	if old == nil {
		d.old = new(Document)
		d.firstDocument()
	} else {
		d.topLevel()
	}
	d.topology()
	d.links()
	d.services()
	d.caps()
	d.clients()
	d.drains()
	if len(d.effects) == 0 && old != nil && !sameJSON(old, next) {
		d.add(EffectOrder, SeverityLow, "Only the order in which things are written changes; no traffic moves.")
	}
	sortEffects(d.effects)
	return d.effects
}

// sameJSON reports whether two documents have the same JSON encoding.
func sameJSON(a, b *Document) bool {
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && bytes.Equal(x, y)
}

// differ collects the effects of a change.
type differ struct {
	old, next *Document
	effects   []Effect
}

func (d *differ) add(kind EffectKind, severity Severity, format string, args ...any) {
	d.effects = append(d.effects, Effect{Kind: kind, Severity: severity, Text: fmt.Sprintf(format, args...)})
}

// addIfChanged adds an effect if a value differs. After args, format takes the
// new value and then the old one.
func addIfChanged[T comparable](d *differ, kind EffectKind, severity Severity, old, next T, format string, args ...any) {
	if old != next {
		d.add(kind, severity, format, append(args, next, old)...)
	}
}

func (d *differ) firstDocument() {
	d.add(EffectWeigh, SeverityHigh, "This is the first document. The environment weighs %s most.", d.next.Weigh)
	d.add(EffectLookup, SeverityLow, "Callers may keep a look-up answer for %s; it names %s.",
		durationText(d.next.Lookup.TTL), countText(d.next.Lookup.Hosts, "entry host"))
}

func (d *differ) topLevel() {
	addIfChanged(d, EffectWeigh, SeverityHigh, d.old.Weigh, d.next.Weigh, "The environment weighs %s most, was %s.")
	addIfChanged(d, EffectLookup, SeverityMedium, durationText(d.old.Lookup.TTL), durationText(d.next.Lookup.TTL),
		"Callers may keep a look-up answer for %s, was %s.")
	addIfChanged(d, EffectLookup, SeverityMedium, d.old.Lookup.Hosts, d.next.Lookup.Hosts,
		"A look-up answer names %d entry hosts, was %d.")
}

// pair is an item in the old and in the new document.
type pair[T any] struct{ old, next T }

// matchResult is the result of matching two lists by key.
type matchResult[K comparable, T any] struct {
	added, removed []T
	kept           []pair[T]
}

// match pairs the items of two lists by key, keeping the order of the lists.
func match[K comparable, T any](old, next []T, key func(T) K) matchResult[K, T] {
	var out matchResult[K, T]
	before := make(map[K]T, len(old))
	for _, item := range old {
		before[key(item)] = item
	}
	after := make(map[K]bool, len(next))
	for _, item := range next {
		k := key(item)
		after[k] = true
		if b, ok := before[k]; ok {
			out.kept = append(out.kept, pair[T]{old: b, next: item})
		} else {
			out.added = append(out.added, item)
		}
	}
	for _, item := range old {
		if !after[key(item)] {
			out.removed = append(out.removed, item)
		}
	}
	return out
}

// HoldsClients reports whether a section contains client blocks or is a page of
// sections that do.
func HoldsClients(name string) bool { return isClients(name) }
