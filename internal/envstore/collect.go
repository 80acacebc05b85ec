package envstore

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"cassiatray/internal/core/document"
	"cassiatray/internal/port"
)

// Collected counts what a collection did.
type Collected struct {
	KeptChanges     int `json:"keptChanges"`
	KeptSections    int `json:"keptSections"`
	DeletedChanges  int `json:"deletedChanges"`
	DeletedSections int `json:"deletedSections"`
}

// Collect bounds the history of every environment to keep changes, and deletes
// sections that neither a head nor a kept change refers to. A change that a
// kept change was taken from is kept too.
//
// It is safe against changes that are being applied meanwhile:
//
//  1. list the sections with their revisions;
//  2. write each head anew, unchanged, so that its revision moves;
//  3. list the changes and mark what heads and kept changes refer to;
//  4. delete unmarked sections that are still at their listed revision.
//
// Apply reads the head, claims its sections by writing them, then swaps the
// head at the revision that it read. One that read the head before step 2
// swaps before it, and is marked, or fails to and begins again. One that read
// the head after step 2 claims its sections after step 1, so that step 4 does
// not find them at their listed revision. No clock is involved. The first
// change of an environment has no head to write anew and must not run at the
// same time.
func (s *Store) Collect(ctx context.Context, keep int) (Collected, error) {
	c := &collection{store: s, keep: max(1, keep), sections: map[document.Hash]port.Entry{}, marked: map[document.Hash]bool{}}
	for _, step := range []func(context.Context) error{c.listSections, c.fence, c.listChanges, c.mark, c.sweep} {
		if err := step(ctx); err != nil {
			return c.out, err
		}
	}
	return c.out, nil
}

type collection struct {
	store    *Store
	keep     int
	sections map[document.Hash]port.Entry
	heads    []document.Head
	changes  []storedChange
	marked   map[document.Hash]bool
	out      Collected
}

type storedChange struct {
	document.Change
	key      string
	revision uint64
	keep     bool
}

const (
	environmentPrefix = "env/"
	sectionPrefix     = "section/"
	hexDigits         = "0123456789abcdef"
)

// listSections lists by the first digit of the hash, to bound each reply.
func (c *collection) listSections(ctx context.Context) error {
	for _, digit := range hexDigits {
		entries, err := c.store.kv.List(ctx, sectionPrefix+string(digit))
		if err != nil {
			return err
		}
		for _, e := range entries {
			var h document.Hash
			if err := h.UnmarshalText([]byte(strings.TrimPrefix(e.Key, sectionPrefix))); err != nil {
				return &CorruptError{Key: e.Key, Err: err}
			}
			c.sections[h] = e
		}
	}
	return nil
}

// fence moves the revision of every head.
func (c *collection) fence(ctx context.Context) error {
	entries, err := c.store.kv.List(ctx, environmentPrefix)
	if err != nil {
		return err
	}
	for _, e := range entries {
		if !strings.HasSuffix(e.Key, "/head") {
			continue
		}
		head, err := c.store.rewrite(ctx, e)
		if err != nil {
			return err
		}
		c.heads = append(c.heads, head)
	}
	return nil
}

// maxRaces bounds how often a write that lost a race is tried again.
const maxRaces = 10

// RaceError is a write that lost too many races.
type RaceError struct{ Key string }

func (e *RaceError) Error() string { return fmt.Sprintf("key %s: lost %d races", e.Key, maxRaces) }

// rewrite writes a head anew and returns it as it was then.
func (s *Store) rewrite(ctx context.Context, e port.Entry) (document.Head, error) {
	for range maxRaces {
		err := s.kv.CompareAndSwap(ctx, e.Key, e.Value, e.Revision)
		if err == nil {
			return DecodeHead(e)
		}
		if !port.IsStoreCode(err, port.StoreConflict) && !port.IsStoreCode(err, port.StoreUnknown) {
			return document.Head{}, err
		}
		if e, err = s.kv.Get(ctx, e.Key); err != nil {
			return document.Head{}, err
		}
	}
	return document.Head{}, &RaceError{Key: e.Key}
}

func (c *collection) listChanges(ctx context.Context) error {
	for _, h := range c.heads {
		entries, err := c.store.kv.List(ctx, changeKey(h.Environment, ""))
		if err != nil {
			return err
		}
		for _, e := range entries {
			stored := storedChange{key: e.Key, revision: e.Revision}
			if err := json.Unmarshal(e.Value, &stored.Change); err != nil {
				return &CorruptError{Key: e.Key, Err: err}
			}
			c.changes = append(c.changes, stored)
		}
	}
	return nil
}

// mark finds the changes to keep and all sections that they refer to.
func (c *collection) mark(context.Context) error {
	byID := make(map[string]*storedChange, len(c.changes))
	for i := range c.changes {
		byID[c.changes[i].ID] = &c.changes[i]
	}
	for _, h := range c.heads {
		if err := c.markTree(h.Sections); err != nil {
			return err
		}
		c.keepChain(h, byID)
	}
	c.keepSources()
	for _, stored := range c.changes {
		if !stored.keep {
			continue
		}
		c.out.KeptChanges++
		if err := c.markTree(stored.Sections); err != nil {
			return err
		}
	}
	return nil
}

// keepChain keeps the newest changes of an environment, and those that may be
// on their way to be accepted: their sequence is above the head's.
func (c *collection) keepChain(h document.Head, byID map[string]*storedChange) {
	at := byID[h.ChangeID]
	for n := 0; at != nil && n < c.keep; n++ {
		at.keep = true
		at = byID[at.Parent]
	}
	for i := range c.changes {
		stored := &c.changes[i]
		if stored.Environment == h.Environment && stored.Sequence > h.Sequence {
			stored.keep = true
		}
	}
}

// keepSources keeps the changes that kept ones were taken from: a change ID
// for a rollback, "environment@sequence" for a promotion.
func (c *collection) keepSources() {
	for grown := true; grown; {
		grown = false
		var sources []string
		for _, stored := range c.changes {
			if stored.keep {
				sources = append(sources, stored.From)
			}
		}
		for i := range c.changes {
			stored := &c.changes[i]
			name := fmt.Sprintf("%s@%d", stored.Environment, stored.Sequence)
			if !stored.keep && (slices.Contains(sources, stored.ID) || slices.Contains(sources, name)) {
				stored.keep, grown = true, true
			}
		}
	}
}

// markTree marks sections and all that pages among them list. A section that
// is not listed is younger than the list and is not deleted.
func (c *collection) markTree(refs []document.Ref) error {
	for _, ref := range refs {
		e, ok := c.sections[ref.Hash]
		if c.marked[ref.Hash] || !ok {
			continue
		}
		c.marked[ref.Hash] = true
		children, err := document.Children(document.Section{Name: ref.Name, Hash: ref.Hash, Data: e.Value})
		if err != nil {
			return &CorruptError{Key: e.Key, Err: err}
		}
		if err := c.markTree(children); err != nil {
			return err
		}
	}
	return nil
}

// sweep deletes changes before the sections that they refer to, so that a
// change that can be read can be put in force again.
func (c *collection) sweep(ctx context.Context) error {
	for _, stored := range c.changes {
		if stored.keep {
			continue
		}
		if err := c.remove(ctx, stored.key, stored.revision, &c.out.DeletedChanges); err != nil {
			return err
		}
	}
	for h, e := range c.sections {
		if c.marked[h] {
			c.out.KeptSections++
			continue
		}
		if err := c.remove(ctx, e.Key, e.Revision, &c.out.DeletedSections); err != nil {
			return err
		}
	}
	return nil
}

// remove deletes a key that is still at a revision.
func (c *collection) remove(ctx context.Context, key string, revision uint64, count *int) error {
	err := c.store.kv.Delete(ctx, key, revision)
	if port.IsStoreCode(err, port.StoreConflict) {
		return nil
	}
	if err == nil {
		*count++
	}
	return err
}
