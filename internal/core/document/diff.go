package document

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Diff returns what a change from old to new does, most important first. Old
// is nil when there is no document yet. Two documents that mean the same give
// nothing.
func Diff(old, now *Document) []Effect {
	d := &differ{old: old, now: now}
	if old == nil {
		d.old = new(Document)
		d.first()
	} else {
		d.top()
	}
	d.places()
	d.links()
	d.services()
	d.caps()
	d.clients()
	d.drains()
	if len(d.out) == 0 && old != nil && !sameText(old, now) {
		d.add(EffectOrder, SeverityLow, "Only the order in which things are written changes; no traffic moves.")
	}
	sortEffects(d.out)
	return d.out
}

// sameText reports whether two documents are written alike.
func sameText(a, b *Document) bool {
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && bytes.Equal(x, y)
}

type differ struct {
	old, now *Document
	out      []Effect
}

func (d *differ) add(kind EffectKind, severity Severity, format string, args ...any) {
	d.out = append(d.out, Effect{Kind: kind, Severity: severity, Text: fmt.Sprintf(format, args...)})
}

// changed adds an effect when a value differs. Format takes the new value,
// then the old one.
func changed[T comparable](d *differ, kind EffectKind, severity Severity, old, now T, format string, args ...any) {
	if old != now {
		d.add(kind, severity, format, append(args, now, old)...)
	}
}

func (d *differ) first() {
	d.add(EffectWeigh, SeverityHigh, "This is the first document. The environment weighs %s most.", d.now.Weigh)
	d.add(EffectLookup, SeverityLow, "Callers may keep a look-up answer for %s; it names %s.",
		durationText(d.now.Lookup.TTL), count(d.now.Lookup.Hosts, "entry host"))
}

func (d *differ) top() {
	changed(d, EffectWeigh, SeverityHigh, d.old.Weigh, d.now.Weigh, "The environment weighs %s most, was %s.")
	changed(d, EffectLookup, SeverityMedium, durationText(d.old.Lookup.TTL), durationText(d.now.Lookup.TTL),
		"Callers may keep a look-up answer for %s, was %s.")
	changed(d, EffectLookup, SeverityMedium, d.old.Lookup.Hosts, d.now.Lookup.Hosts,
		"A look-up answer names %d entry hosts, was %d.")
}

// both is one item in the old and the new document.
type both[T any] struct{ old, now T }

// matched is the result of comparing two lists by key.
type matched[K comparable, T any] struct {
	added, removed []T
	kept           []both[T]
}

// match pairs the items of two lists, in the order of the lists.
func match[K comparable, T any](old, now []T, key func(T) K) matched[K, T] {
	var out matched[K, T]
	before := make(map[K]T, len(old))
	for _, item := range old {
		before[key(item)] = item
	}
	after := make(map[K]bool, len(now))
	for _, item := range now {
		k := key(item)
		after[k] = true
		if b, ok := before[k]; ok {
			out.kept = append(out.kept, both[T]{old: b, now: item})
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

// HoldsClients reports whether a section holds client blocks or lists sections
// that do.
func HoldsClients(name string) bool { return isClients(name) }
