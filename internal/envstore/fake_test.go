package envstore

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"cassiatray/internal/port"
)

// memory is a platform in memory that counts its calls.
type memory struct {
	mu            sync.Mutex
	entries       map[string]port.Entry
	revision      uint64
	reads, writes int
}

func newMemory() *memory { return &memory{entries: map[string]port.Entry{}} }

func (m *memory) call(write bool) func() {
	m.mu.Lock()
	if write {
		m.writes++
	} else {
		m.reads++
	}
	return m.mu.Unlock
}

func (m *memory) Get(_ context.Context, key string) (port.Entry, error) {
	defer m.call(false)()
	e, ok := m.entries[key]
	if !ok {
		return port.Entry{}, &port.StoreError{Code: port.StoreNotFound, Op: "get", Key: key}
	}
	return e, nil
}

func (m *memory) List(_ context.Context, prefix string) ([]port.Entry, error) {
	defer m.call(false)()
	var out []port.Entry
	for _, key := range slices.Sorted(maps.Keys(m.entries)) {
		if strings.HasPrefix(key, prefix) {
			out = append(out, m.entries[key])
		}
	}
	return out, nil
}

func (m *memory) CompareAndSwap(_ context.Context, key string, value []byte, revision uint64) error {
	defer m.call(true)()
	if m.entries[key].Revision != revision {
		return &port.StoreError{Code: port.StoreConflict, Op: "swap", Key: key}
	}
	m.revision++
	m.entries[key] = port.Entry{Key: key, Value: value, Revision: m.revision}
	return nil
}

func (m *memory) Delete(_ context.Context, key string, revision uint64) error {
	defer m.call(true)()
	if m.entries[key].Revision != revision {
		return &port.StoreError{Code: port.StoreConflict, Op: "delete", Key: key}
	}
	delete(m.entries, key)
	return nil
}

func (m *memory) Watch(ctx context.Context, key string, _ uint64, _ time.Duration) (port.Entry, error) {
	return m.Get(ctx, key)
}

func (m *memory) GrantLease(context.Context, time.Duration) (port.LeaseID, error) { return "", nil }
func (m *memory) RenewLease(context.Context, port.LeaseID) error                  { return nil }
func (m *memory) RevokeLease(context.Context, port.LeaseID) error                 { return nil }
func (m *memory) Acquire(context.Context, string, []byte, port.LeaseID) (bool, error) {
	return false, nil
}

// untouching is the naive way to claim a section: one that is stored already
// is left as it is.
type untouching struct{ port.Platform }

func (u untouching) CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64) error {
	if revision > 0 && strings.HasPrefix(key, sectionPrefix) {
		return nil
	}
	return u.Platform.CompareAndSwap(ctx, key, value, revision)
}

// unfenced is the naive way to collect: heads are not written anew.
type unfenced struct{ port.Platform }

func (u unfenced) CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64) error {
	if e, err := u.Get(ctx, key); err == nil && string(e.Value) == string(value) && strings.HasSuffix(key, "/head") {
		return nil
	}
	return u.Platform.CompareAndSwap(ctx, key, value, revision)
}

// turns lets the calls of two actors through in a given order.
type turns struct {
	order []bool
	gates [2]chan struct{}
	acks  chan struct{}
	done  [2]chan struct{}
}

func newTurns(order []bool) *turns {
	t := &turns{order: order, acks: make(chan struct{})}
	for i := range t.gates {
		t.gates[i], t.done[i] = make(chan struct{}), make(chan struct{})
	}
	return t
}

// run starts both actors, lets calls through in order, then those of actor 0
// and those of actor 1.
func (t *turns) run(actors [2]func()) {
	for i, act := range actors {
		go func() { defer close(t.done[i]); act() }()
	}
	for _, second := range t.order {
		i := 0
		if second {
			i = 1
		}
		t.step(i)
	}
	for i := range actors {
		for t.step(i) {
		}
	}
}

func (t *turns) step(i int) bool {
	select {
	case t.gates[i] <- struct{}{}:
		<-t.acks
		return true
	case <-t.done[i]:
		return false
	}
}

// gated is one actor's way to a platform.
type gated struct {
	*memory
	turns *turns
	actor int
}

func (g gated) Get(ctx context.Context, key string) (port.Entry, error) {
	defer g.pass()()
	return g.memory.Get(ctx, key)
}

func (g gated) List(ctx context.Context, prefix string) ([]port.Entry, error) {
	defer g.pass()()
	return g.memory.List(ctx, prefix)
}

func (g gated) CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64) error {
	defer g.pass()()
	return g.memory.CompareAndSwap(ctx, key, value, revision)
}

func (g gated) Delete(ctx context.Context, key string, revision uint64) error {
	defer g.pass()()
	return g.memory.Delete(ctx, key, revision)
}

func (g gated) pass() func() {
	<-g.turns.gates[g.actor]
	return func() { g.turns.acks <- struct{}{} }
}
