// Package relay decides how environments and domain views pass from process to
// process: what a follower needs next, what a receiver lacks, which domains
// exchange views, and which of two views is newer. It does no I/O of its own
// and reads no clock.
package relay

import (
	"fmt"
	"sync"

	"cassiatray/internal/core/document"
)

// Receiver is a replica that takes updates from any number of sources. It is
// safe for concurrent use. Its sequence never goes down, whatever arrives and
// in whatever order.
type Receiver struct {
	environment string

	// mu guards all that follows it. It is not held while sections are
	// fetched.
	mu      sync.RWMutex
	replica *document.Replica
	// staged are sections fetched for a head that is not complete yet. They
	// are kept through failures, so that a receiver far behind gets on even
	// when its sources change.
	staged map[document.Hash]document.Section
}

// NewReceiver returns a receiver of an environment with no document.
func NewReceiver(environment string) *Receiver {
	return &Receiver{
		environment: environment, replica: document.NewReplica(), staged: map[document.Hash]document.Section{},
	}
}

// Head returns the head in force; its sequence is zero before the first.
func (r *Receiver) Head() document.Head {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.replica.Head()
}

// Index returns the index of the document in force, or nil before the first.
func (r *Receiver) Index() *document.Index {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.replica.Index()
}

// Clients returns all client blocks in force.
func (r *Receiver) Clients() []document.Client {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var out []document.Client
	for c := range r.replica.Clients() {
		out = append(out, c)
	}
	return out
}

// Find returns the section in force, or fetched for a later head, with a hash.
func (r *Receiver) Find(h document.Hash) (document.Section, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if s, ok := r.replica.Find(h); ok {
		return s, true
	}
	s, ok := r.staged[h]
	return s, ok
}

// Next returns what a follower at a sequence needs: the head, and the delta to
// it unless the follower is too far behind. It reports false when the follower
// has what is in force.
func (r *Receiver) Next(have uint64) (document.Head, *document.Delta, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	h := r.replica.Head()
	if h.Sequence <= have {
		return document.Head{}, nil, false
	}
	if d, ok := r.replica.DeltaFrom(have); ok {
		return h, &d, true
	}
	return h, nil, true
}

// EnvironmentError is a head of another environment.
type EnvironmentError struct{ Want, Got string }

func (e *EnvironmentError) Error() string {
	return fmt.Sprintf("this process runs environment %q, not %q", e.Want, e.Got)
}

// ErrorCode is the code that peers understand.
func (e *EnvironmentError) ErrorCode() string { return "wrong-environment" }

// Fetch gets sections from where a head came from. It may return fewer than
// asked for.
type Fetch func([]document.Ref) ([]document.Section, error)

// Taken is a step forward.
type Taken struct {
	Head  document.Head
	Delta document.Delta
	// Fetched counts the sections that were fetched for it.
	Fetched int
}

// Take puts a head in force: by its delta if there is one that fits, by
// fetching what differs otherwise. The result is nil when the head is not
// newer than the one in force.
//
// Errors: *EnvironmentError, *document.SectionError, *document.MissingError
// and those of fetch. None changes what is in force.
func (r *Receiver) Take(h document.Head, d *document.Delta, fetch Fetch) (*Taken, error) {
	if h.Environment != r.environment {
		return nil, &EnvironmentError{Want: r.environment, Got: h.Environment}
	}
	if d != nil {
		if t, ok := r.apply(h, *d); ok {
			return t, nil
		}
	}
	fetched := 0
	for range maxRounds {
		missing, newer := r.missing(h)
		if !newer {
			return nil, nil
		}
		if len(missing) == 0 {
			return r.advance(h, fetched)
		}
		sections, err := fetch(missing)
		if err != nil {
			return nil, err
		}
		n := r.stage(missing, sections)
		if n == 0 {
			return nil, &document.MissingError{Sequence: h.Sequence, Refs: missing}
		}
		fetched += n
	}
	return nil, &document.MissingError{Sequence: h.Sequence}
}

// maxRounds bounds the rounds of fetching for one head. One round is enough
// for each level of the tree of sections when the source answers in full.
const maxRounds = 64

// apply reports whether the delta settled the matter.
func (r *Receiver) apply(h document.Head, d document.Delta) (*Taken, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	out, err := r.replica.Apply(h, d)
	if err != nil {
		return nil, false
	}
	if out == nil {
		return nil, true
	}
	clear(r.staged)
	return &Taken{Head: r.replica.Head(), Delta: *out}, true
}

func (r *Receiver) missing(h document.Head) ([]document.Ref, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if h.Sequence <= r.replica.Head().Sequence {
		return nil, false
	}
	return r.replica.Missing(h, r.stagedList()...), true
}

// stagedList needs r.mu.
func (r *Receiver) stagedList() []document.Section {
	out := make([]document.Section, 0, len(r.staged))
	for _, s := range r.staged {
		out = append(out, s)
	}
	return out
}

// stage keeps the sections that were asked for, and returns how many it got.
func (r *Receiver) stage(missing []document.Ref, sections []document.Section) int {
	asked := make(map[document.Hash]bool, len(missing))
	for _, ref := range missing {
		asked[ref.Hash] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, s := range sections {
		if asked[s.Hash] && document.HashOf(s.Data) == s.Hash {
			r.staged[s.Hash] = s
			n++
		}
	}
	return n
}

func (r *Receiver) advance(h document.Head, fetched int) (*Taken, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	out, err := r.replica.Advance(h, r.stagedList())
	if err != nil {
		// Sections that cannot be used are not kept: another source may have
		// good ones.
		clear(r.staged)
		return nil, err
	}
	if out == nil {
		return nil, nil
	}
	clear(r.staged)
	return &Taken{Head: r.replica.Head(), Delta: *out, Fetched: fetched}, nil
}
