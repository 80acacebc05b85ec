// Package envstore keeps environment documents in the platform's key-value
// service. An environment's head is one small key that moves forward by
// compare-and-swap; what it points at is immutable and named by content:
//
//	env/<environment>/head         document.Head
//	env/<environment>/change/<id>  document.Change
//	section/<hash>                 section data
//
// Sections form a tree under the head. Those that a change makes and the change
// record are written before the head, so a reader that sees a head can read
// all of it. The head also carries the newest changes as deltas, so that a
// reader a few changes behind needs no other read.
package envstore

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"cassiatray/internal/core/document"
	"cassiatray/internal/port"
)

// Store reads and moves environments.
type Store struct {
	kv    port.Platform
	clock port.Clock
}

// New returns a Store on a platform.
func New(kv port.Platform, clock port.Clock) *Store {
	return &Store{kv: kv, clock: clock}
}

// HeadKey returns the key of an environment's head.
func HeadKey(environment string) string { return "env/" + environment + "/head" }

func changeKey(environment, id string) string { return "env/" + environment + "/change/" + id }

func sectionKey(h document.Hash) string { return "section/" + h.String() }

// CorruptError is stored data that does not parse or match its hash.
type CorruptError struct {
	Key string
	Err error
}

func (e *CorruptError) Error() string { return fmt.Sprintf("key %s: corrupt: %v", e.Key, e.Err) }

func (e *CorruptError) Unwrap() error { return e.Err }

// ConflictError is a change that lost a race: the environment has moved on.
type ConflictError struct {
	Environment string
	// Base is the sequence that the change was made against.
	Base uint64
	// Winner is the change in force now.
	Winner document.Change
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("environment %s moved from %d to %d by %s: %s",
		e.Environment, e.Base, e.Winner.Sequence, e.Winner.Author, e.Winner.Reason)
}

// Head reads an environment's head and the revision of its key. An
// environment with no document has sequence zero.
func (s *Store) Head(ctx context.Context, environment string) (document.Head, uint64, error) {
	e, err := s.kv.Get(ctx, HeadKey(environment))
	if port.IsStoreCode(err, port.StoreNotFound) {
		return document.Head{Environment: environment}, 0, nil
	}
	if err != nil {
		return document.Head{}, 0, err
	}
	h, err := DecodeHead(e)
	return h, e.Revision, err
}

// DecodeHead reads a head from its entry.
func DecodeHead(e port.Entry) (document.Head, error) {
	var h document.Head
	if err := json.Unmarshal(e.Value, &h); err != nil {
		return document.Head{}, &CorruptError{Key: e.Key, Err: err}
	}
	return h, nil
}

// Change reads the record of one change.
func (s *Store) Change(ctx context.Context, environment, id string) (document.Change, error) {
	key := changeKey(environment, id)
	e, err := s.kv.Get(ctx, key)
	if err != nil {
		return document.Change{}, err
	}
	var c document.Change
	if err := json.Unmarshal(e.Value, &c); err != nil {
		return document.Change{}, &CorruptError{Key: key, Err: err}
	}
	return c, nil
}

// Proposal is a change before it is accepted.
type Proposal struct {
	Environment string
	// Base is the head that the change was made against.
	Base   document.Head
	Author string
	Reason string
	From   string
	Diff   []string
	// Sections are the whole document. They are written unless the base
	// already has them.
	Sections []document.Section
	// Refs, when there are no Sections, refer to sections that are stored
	// already: the top of another head.
	Refs []document.Ref
}

func (p Proposal) refs() []document.Ref {
	if len(p.Sections) == 0 {
		return p.Refs
	}
	return document.Refs(p.Sections)
}

// Apply makes a proposal the environment's new head.
//
// Errors: *ConflictError when the environment has moved on; *port.StoreError.
// A write whose reply was lost is settled by reading back the change ID.
func (s *Store) Apply(ctx context.Context, p Proposal) (document.Head, error) {
	for range maxRaces {
		head, err := s.applyOnce(ctx, p)
		if !errors.Is(err, errFenced) {
			return head, err
		}
	}
	return document.Head{}, &RaceError{Key: HeadKey(p.Environment)}
}

// storeFault is a fault that needs no further detail.
type storeFault string

func (f storeFault) Error() string { return string(f) }

// errFenced means that a collection moved the head's revision, and only that.
const errFenced storeFault = "the head was written anew"

func (s *Store) applyOnce(ctx context.Context, p Proposal) (document.Head, error) {
	cur, revision, err := s.Head(ctx, p.Environment)
	if err != nil {
		return document.Head{}, err
	}
	if cur.ChangeID != p.Base.ChangeID {
		return document.Head{}, s.conflict(ctx, p, cur)
	}
	change, head := s.next(p, cur)
	diff, err := s.Compare(ctx, cur.Sections, head.Sections, p.Sections)
	if err != nil {
		return document.Head{}, err
	}
	if err := s.writeSections(ctx, diff.Added, len(p.Sections) == 0); err != nil {
		return document.Head{}, err
	}
	if err := s.create(ctx, changeKey(p.Environment, change.ID), change); err != nil {
		return document.Head{}, err
	}
	return s.swapHead(ctx, p, withDelta(head, cur, diff), revision)
}

// withDelta adds what the change amounts to. A change of much of the document
// goes without: its readers take sections.
func withDelta(head, cur document.Head, diff document.TreeDiff) document.Head {
	if cur.Sequence == 0 || len(diff.Added)+len(diff.Removed) > maxDeltaSections {
		return head.WithDelta(cur, nil)
	}
	d, err := document.NewDelta(cur.Sequence, diff)
	if err != nil {
		return head.WithDelta(cur, nil)
	}
	return head.WithDelta(cur, &d)
}

// maxDeltaSections bounds the sections from which a delta is computed.
const maxDeltaSections = 256

func (s *Store) next(p Proposal, cur document.Head) (document.Change, document.Head) {
	now := s.clock.Now().UTC()
	refs := p.refs()
	change := document.Change{
		ID: newID(), Environment: p.Environment, Sequence: cur.Sequence + 1, Parent: cur.ChangeID,
		Author: p.Author, Reason: p.Reason, Time: now, From: p.From, Diff: p.Diff, Sections: refs,
	}
	head := document.Head{
		Environment: p.Environment, Sequence: change.Sequence, ChangeID: change.ID,
		Accepted: now, Sections: refs,
	}
	return change, head
}

// writeSections claims sections, a few at a time. Sections that are stored
// already are written too; see Collect.
func (s *Store) writeSections(ctx context.Context, sections []document.Section, stored bool) error {
	return inParallel(sections, func(sec document.Section) error { return s.claim(ctx, sec, stored) })
}

func (s *Store) create(ctx context.Context, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return &CorruptError{Key: key, Err: err}
	}
	return s.createRaw(ctx, key, data)
}

// createRaw creates an immutable key. Finding it there already is no failure:
// its name is its content, or an ID that only this change uses.
func (s *Store) createRaw(ctx context.Context, key string, data []byte) error {
	if len(data) > document.MaxSection {
		return &port.StoreError{Code: port.StoreTooLarge, Op: "create", Key: key}
	}
	err := s.kv.CompareAndSwap(ctx, key, data, 0)
	if port.IsStoreCode(err, port.StoreConflict) {
		return nil
	}
	if port.IsStoreCode(err, port.StoreUnknown) {
		_, err = s.kv.Get(ctx, key)
	}
	return err
}

func (s *Store) swapHead(ctx context.Context, p Proposal, head document.Head, revision uint64) (document.Head, error) {
	data, err := json.Marshal(head)
	if err != nil {
		return document.Head{}, &CorruptError{Key: HeadKey(p.Environment), Err: err}
	}
	err = s.kv.CompareAndSwap(ctx, HeadKey(p.Environment), data, revision)
	if err == nil {
		return head, nil
	}
	if !port.IsStoreCode(err, port.StoreConflict) && !port.IsStoreCode(err, port.StoreUnknown) {
		return document.Head{}, err
	}
	cur, _, readErr := s.Head(ctx, p.Environment)
	if readErr != nil {
		return document.Head{}, err
	}
	if cur.ChangeID == head.ChangeID {
		return head, nil
	}
	if cur.ChangeID == p.Base.ChangeID {
		return document.Head{}, unmoved(err)
	}
	return document.Head{}, s.conflict(ctx, p, cur)
}

// unmoved is the error of a swap that the head does not show. One whose reply
// was lost may still take effect, and is not tried again.
func unmoved(err error) error {
	if port.IsStoreCode(err, port.StoreUnknown) {
		return err
	}
	return errFenced
}

func (s *Store) conflict(ctx context.Context, p Proposal, cur document.Head) error {
	winner, err := s.Change(ctx, p.Environment, cur.ChangeID)
	if err != nil {
		winner = document.Change{ID: cur.ChangeID, Sequence: cur.Sequence}
	}
	return &ConflictError{Environment: p.Environment, Base: p.Base.Sequence, Winner: winner}
}

const idBytes = 12

func newID() string {
	raw := make([]byte, idBytes)
	rand.Read(raw)
	return hex.EncodeToString(raw)
}

// headPoll bounds one waiting watch of a head.
const headPoll = 30 * time.Second

// WatchHead waits until the head passes a revision or the wait ends, and
// returns the head with its revision.
func (s *Store) WatchHead(ctx context.Context, environment string, revision uint64) (document.Head, uint64, error) {
	e, err := s.kv.Watch(ctx, HeadKey(environment), revision, headPoll)
	if err != nil {
		return document.Head{}, 0, err
	}
	if e.Revision == 0 {
		return document.Head{Environment: environment}, 0, nil
	}
	h, err := DecodeHead(e)
	return h, e.Revision, err
}
