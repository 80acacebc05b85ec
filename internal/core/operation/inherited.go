package operation

import "time"

// Owner names one process that may run operations.
type Owner struct {
	Host        string
	Incarnation uint64
}

// Verdict is what a successor knows of an operation of an ended process.
type Verdict int

// Values of Verdict.
const (
	// NotHeld means that no whole set of records of that process is held.
	NotHeld Verdict = iota
	// Held means that the record is here.
	Held
	// NeverRan means that the process closed its set without the operation.
	NeverRan
	// Forgotten means that the record may have been dropped.
	Forgotten
)

// Inherited holds the records that ended processes handed over. Its holder
// answers for them and never runs them. It is not safe for concurrent use.
type Inherited[R any] struct {
	limits Limits
	sets   map[Owner]*inheritedSet[R]
	bytes  int
}

type inheritedSet[R any] struct {
	records map[string]R
	floor   time.Time
	// closed is set once every record of the process has arrived.
	closed bool
	// lost is set once records of the set were dropped: it is never whole then.
	lost  bool
	since time.Time
	bytes int
}

// NewInherited returns an empty holder.
func NewInherited[R any](limits Limits) *Inherited[R] {
	return &Inherited[R]{limits: limits, sets: map[Owner]*inheritedSet[R]{}}
}

// Add takes one record of a process.
func (h *Inherited[R]) Add(now time.Time, owner Owner, id string, result R, size int) {
	s := h.set(now, owner)
	if _, ok := s.records[id]; ok || s.lost {
		return
	}
	s.records[id] = result
	s.bytes += len(id) + size
	h.bytes += len(id) + size
}

// Close marks the set of a process as whole, with the floor it ended with.
func (h *Inherited[R]) Close(now time.Time, owner Owner, floor time.Time) {
	s := h.set(now, owner)
	s.closed = !s.lost
	s.floor = floor
}

func (h *Inherited[R]) set(now time.Time, owner Owner) *inheritedSet[R] {
	h.Expire(now)
	s := h.sets[owner]
	if s == nil {
		s = &inheritedSet[R]{records: map[string]R{}, since: now}
		h.sets[owner] = s
	}
	return s
}

// Find says what is known of an operation.
func (h *Inherited[R]) Find(owner Owner, id string, issued time.Time) (R, Verdict) {
	var none R
	s := h.sets[owner]
	if s == nil {
		return none, NotHeld
	}
	if r, ok := s.records[id]; ok {
		return r, Held
	}
	switch {
	case !s.closed:
		return none, NotHeld
	case !issued.After(s.floor):
		return none, Forgotten
	}
	return none, NeverRan
}

// Set is the whole set of one ended process.
type Set[R any] struct {
	Owner   Owner
	Records map[string]R
	Floor   time.Time
}

// Sets returns the whole sets, to be handed on.
func (h *Inherited[R]) Sets() []Set[R] {
	var out []Set[R]
	for o, s := range h.sets {
		if s.closed {
			out = append(out, Set[R]{Owner: o, Records: s.records, Floor: s.floor})
		}
	}
	return out
}

// Expire drops sets older than the window, and the records of the oldest while
// all are together over the limits.
func (h *Inherited[R]) Expire(now time.Time) {
	for o, s := range h.sets {
		if now.Sub(s.since) > h.limits.Window {
			h.bytes -= s.bytes
			delete(h.sets, o)
		}
	}
	for h.bytes > h.limits.Bytes {
		h.lose(h.oldest())
	}
}

// lose drops the records of a set but not that it is lost, so that records
// still to arrive do not make it look whole.
func (h *Inherited[R]) lose(s *inheritedSet[R]) {
	h.bytes -= s.bytes
	s.bytes, s.records, s.closed, s.lost = 0, nil, false, true
}

// oldest returns the oldest set that holds records.
func (h *Inherited[R]) oldest() *inheritedSet[R] {
	var out *inheritedSet[R]
	for _, s := range h.sets {
		if s.bytes > 0 && (out == nil || s.since.Before(out.since)) {
			out = s
		}
	}
	return out
}
