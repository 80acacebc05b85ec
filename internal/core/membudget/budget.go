// Package membudget decides who may hold memory of a process on behalf of others: one budget of
// bytes for bodies, answers, heads and connections. When it is used up, the largest and slowest
// holders are ended first. See docs/design/memory.md.
package membudget

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// MinVictim is the least that a holder holds to be ended for others, in bytes. Smaller ones
	// are not enumerated, so that they cost no lock.
	MinVictim = 4 << 10
	// progressStep is how many bytes a peer moves to count as one that makes progress. Single
	// bytes now and then do not.
	progressStep = 16 << 10
	// leavingShare is the part of the limit by which memory of ended holders, which is freed
	// within moments, may exceed the limit.
	leavingShare = 1.0 / 8
	// slackShare is the part of the limit that is made free beyond what is needed, so that not
	// every request looks for a holder to end.
	slackShare = 1.0 / 16
	// shortShare is the part of the limit from which on the budget is short.
	shortShare = 1.0 / 2
	// leastStall is added to the time without progress, so that of two fast holders the larger
	// one is ended.
	leastStall = 100 * time.Millisecond
)

// Phase is what a holder is doing.
type Phase int32

// Values of Phase.
const (
	// Receiving means that a request is read, of which no byte has been sent on.
	Receiving Phase = iota
	// Working means that the holder waits for a server. Its peer holds nothing up, and it is not
	// ended for others.
	Working
	// Passing means that bytes are passed on between a server and the peer.
	Passing
	// Ended means that the holder was ended for others.
	Ended
)

// Budget bounds the bytes that are held. The zero value has no limit and counts only. It is safe
// for concurrent use.
type Budget struct {
	limit int64
	held  atomic.Int64
	// leaving are the bytes of holders that were ended and have not released them yet.
	leaving atomic.Int64
	refused atomic.Int64
	ended   [Ended]atomic.Int64

	mu      sync.Mutex
	holders map[*Holder]struct{}
}

// New returns a budget of limit bytes; 0 is no limit.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Limit returns the limit, in bytes; 0 is none.
func (b *Budget) Limit() int64 {
	if b == nil {
		return 0
	}
	return b.limit
}

// Held returns how many bytes are held.
func (b *Budget) Held() int64 { return b.held.Load() }

// Refused returns how often a holder got no more bytes.
func (b *Budget) Refused() int64 { return b.refused.Load() }

// EndedIn returns how many holders were ended in a phase.
func (b *Budget) EndedIn(p Phase) int64 { return b.ended[p].Load() }

// Short reports whether so much is held that peers are to send less ahead.
func (b *Budget) Short() bool {
	return b != nil && b.limit > 0 && float64(b.held.Load()) > shortShare*float64(b.limit)
}

// Add counts bytes that are held in any case, such as those of an open connection; bytes is
// negative when they are freed.
func (b *Budget) Add(bytes int64) {
	if b != nil {
		b.held.Add(bytes)
	}
}

// Owner is what holds the bytes.
type Owner interface {
	// EndForOthers ends the owner, which was in this phase. It must not block, nor call the
	// budget.
	EndForOthers(Phase)
}

// Holder holds bytes for one peer. The zero value, and nil, belong to no budget and get all they
// ask for. Its methods are safe for concurrent use, except Init and Moved, which one goroutine at
// a time calls.
type Holder struct {
	b     *Budget
	owner Owner
	bytes atomic.Int64
	phase atomic.Int32
	// movedAt is when the peer last made progress, in nanoseconds since 1970; moved are the bytes
	// since.
	movedAt atomic.Int64
	moved   int64
	// mu protects released, which is set once the bytes are freed for good, and listed, which is
	// set while the holder is among those that may be ended. It is taken before the budget's lock.
	mu               sync.Mutex
	released, listed bool
	// leaving are the bytes that the budget counts as leaving. Its lock protects them.
	leaving int64
}

// Init makes h a holder of b that has made progress now.
func (h *Holder) Init(b *Budget, now time.Time, owner Owner) {
	h.b, h.owner = b, owner
	h.movedAt.Store(now.UnixNano())
}

// Bytes returns how many bytes are held.
func (h *Holder) Bytes() int64 {
	if h == nil {
		return 0
	}
	return h.bytes.Load()
}

// Phase returns what the holder is doing.
func (h *Holder) Phase() Phase { return Phase(h.phase.Load()) }

// Enter begins another phase. It reports false for a holder that was ended.
func (h *Holder) Enter(p Phase, now time.Time) bool {
	if h == nil || h.b == nil {
		return true
	}
	h.movedAt.Store(now.UnixNano())
	for {
		old := h.phase.Load()
		if Phase(old) == Ended {
			return false
		}
		if h.phase.CompareAndSwap(old, int32(p)) {
			return true
		}
	}
}

// Ended reports whether the holder was ended for others.
func (h *Holder) Ended() bool { return h != nil && Phase(h.phase.Load()) == Ended }

// Moved notes that the peer sent or took n bytes.
func (h *Holder) Moved(n int, now time.Time) {
	if h == nil || h.b == nil {
		return
	}
	if h.moved += int64(n); h.moved >= progressStep {
		h.moved = 0
		h.movedAt.Store(now.UnixNano())
	}
}

// Grow asks for n bytes more. It reports false if there is no room and the holders that may be
// ended are smaller or faster than this one would be; nothing is held then.
func (h *Holder) Grow(n int64, now time.Time) bool {
	if h == nil || h.b == nil {
		return true
	}
	if h.Ended() {
		return false
	}
	if !h.add(n) {
		return false
	}
	b := h.b
	if b.limit <= 0 || b.held.Load() <= b.limit {
		return true
	}
	if b.makeRoom(h, now) {
		return true
	}
	h.Shrink(n)
	b.refused.Add(1)
	return false
}

// Force holds n bytes more in any case.
func (h *Holder) Force(n int64) {
	if h != nil && h.b != nil {
		h.add(n)
	}
}

// add holds n bytes more. It reports false for a holder that was released.
func (h *Holder) add(n int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released {
		return false
	}
	h.b.held.Add(n)
	if h.bytes.Add(n) < MinVictim || h.listed {
		return true
	}
	h.listed = true
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	if h.b.holders == nil {
		h.b.holders = map[*Holder]struct{}{}
	}
	h.b.holders[h] = struct{}{}
	return true
}

// Shrink frees n bytes.
func (h *Holder) Shrink(n int64) {
	if h == nil || h.b == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.released {
		h.free(n)
	}
}

// Release frees all bytes. The holder gets none afterwards.
func (h *Holder) Release() {
	if h == nil || h.b == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released {
		return
	}
	h.released = true
	if h.listed {
		h.b.mu.Lock()
		delete(h.b.holders, h)
		h.b.mu.Unlock()
	}
	h.free(h.bytes.Load())
}

// free frees n bytes. The caller holds h.mu.
func (h *Holder) free(n int64) {
	left := h.bytes.Add(-n)
	h.b.held.Add(-n)
	if !h.listed {
		return
	}
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	// What was added after the end does not count as leaving.
	if gone := h.leaving - left; gone > 0 {
		h.leaving -= gone
		h.b.leaving.Add(-gone)
	}
}

// makeRoom ends holders until what is held is within the limit, those that are leaving not
// counted. It reports false if asker itself is the one to go without.
func (b *Budget) makeRoom(asker *Holder, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.held.Load()
	over := held - b.leaving.Load() - b.limit
	if over > 0 {
		candidates := make([]Candidate, 0, len(b.holders))
		list := make([]*Holder, 0, len(b.holders))
		for h := range b.holders {
			if p := Phase(h.phase.Load()); h == asker || p == Working || p == Ended {
				continue
			}
			list = append(list, h)
			candidates = append(candidates, h.candidate(now))
		}
		chosen, freed := Choose(candidates, asker.candidate(now), over, over+int64(slackShare*float64(b.limit)))
		for _, i := range chosen {
			b.endHolder(list[i])
		}
		if freed < over {
			return false
		}
	}
	return held <= b.limit+int64(leavingShare*float64(b.limit))
}

// endHolder ends a holder unless it has gone on to wait for a server. The caller holds b.mu.
func (b *Budget) endHolder(h *Holder) {
	old := h.phase.Load()
	if Phase(old) == Working || Phase(old) == Ended || !h.phase.CompareAndSwap(old, int32(Ended)) {
		return
	}
	h.leaving = h.bytes.Load()
	b.leaving.Add(h.leaving)
	b.ended[old].Add(1)
	h.owner.EndForOthers(Phase(old))
}

func (h *Holder) candidate(now time.Time) Candidate {
	return Candidate{Bytes: h.bytes.Load(), Stalled: now.Sub(time.Unix(0, h.movedAt.Load()))}
}
