package envstore

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"cassiatray/internal/core/document"
	"cassiatray/internal/port"
)

// blind is the naive way to move a head: whatever is there is replaced.
type blind struct{ port.Platform }

func (b blind) CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64) error {
	if e, err := b.Get(ctx, key); err == nil && strings.HasSuffix(key, "/head") {
		revision = e.Revision
	}
	return b.Platform.CompareAndSwap(ctx, key, value, revision)
}

// operatorRace lets two operators submit different documents, their calls in a
// drawn order: one is accepted, or both one after the other; a loser is shown
// the winner's change and nothing of its own is in force.
func operatorRace(t testing.TB, order []bool, wrap func(port.Platform) port.Platform) error {
	m := newMemory()
	s := New(m, port.SystemClock{})
	submit(t, s, "trial", doc(t, 1))
	turns := newTurns(order)
	var won [2]Accepted
	var failed [2]error
	operator := func(i int) func() {
		own := New(wrap(gated{memory: m, turns: turns, actor: i}), port.SystemClock{})
		in := Submission{Environment: "trial", Author: fmt.Sprint(i), Document: doc(t, i+2)}
		return func() { won[i], failed[i] = own.Submit(context.Background(), in) }
	}
	turns.run([2]func(){operator(0), operator(1)})
	changes, err := s.History(context.Background(), "trial", 10)
	if err != nil {
		return err
	}
	accepted := 0
	for i, err := range failed {
		var conflict *ConflictError
		switch {
		case err == nil:
			accepted++
			if !slices.ContainsFunc(changes, func(c document.Change) bool { return c.ID == won[i].Head.ChangeID }) {
				return fmt.Errorf("accepted change of operator %d is not in the history", i)
			}
		case !errors.As(err, &conflict):
			return err
		case conflict.Winner.Author != fmt.Sprint(1-i) || len(conflict.Winner.Diff) == 0:
			return fmt.Errorf("operator %d is shown %+v", i, conflict.Winner)
		}
	}
	if accepted != len(changes)-1 {
		return fmt.Errorf("%d accepted, %d in the history", accepted, len(changes)-1)
	}
	_, err = s.Document(context.Background(), changes[0].Sections)
	return err
}

func TestOperatorRace(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		order := rapid.SliceOfN(rapid.Bool(), 0, 60).Draw(rt, "order")
		if err := operatorRace(t, order, func(p port.Platform) port.Platform { return p }); err != nil {
			rt.Fatal(err)
		}
	})
	naive := false
	for n := range 40 {
		order := slices.Repeat([]bool{true}, n)
		naive = naive || operatorRace(t, order, func(p port.Platform) port.Platform { return blind{p} }) != nil
	}
	if !naive {
		t.Error("heads that are replaced blindly pass")
	}
}

// loss is what becomes of one write.
type loss string

const (
	kept        loss = "kept"
	replyLost   loss = "reply lost"
	requestLost loss = "request lost"
)

// lossy loses writes or their replies in a given order, then none.
type lossy struct {
	port.Platform
	mu     *sync.Mutex
	losses *[]loss
}

func (l lossy) next() loss {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(*l.losses) == 0 {
		return kept
	}
	fate := (*l.losses)[0]
	*l.losses = (*l.losses)[1:]
	return fate
}

func (l lossy) CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64) error {
	fate := l.next()
	var err error
	if fate != requestLost {
		err = l.Platform.CompareAndSwap(ctx, key, value, revision)
	}
	if fate == kept {
		return err
	}
	return &port.StoreError{Code: port.StoreUnknown, Op: "swap", Key: key}
}

// believing is the naive way to take a lost reply: the write failed.
type believing struct{ port.Platform }

func (b believing) CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64) error {
	err := b.Platform.CompareAndSwap(ctx, key, value, revision)
	if port.IsStoreCode(err, port.StoreUnknown) {
		return &port.StoreError{Code: port.StoreUnavailable, Op: "swap", Key: key}
	}
	return err
}

// lostReplies submits a change whose writes are lost, and compares what the
// operator is told with what is in force.
func lostReplies(t testing.TB, losses []loss, wrap func(port.Platform) port.Platform) error {
	m := newMemory()
	submit(t, New(m, port.SystemClock{}), "trial", doc(t, 1))
	s := New(wrap(lossy{Platform: m, mu: new(sync.Mutex), losses: &losses}), port.SystemClock{})
	_, told := s.Submit(context.Background(), Submission{Environment: "trial", Document: doc(t, 2)})
	head, _, err := New(m, port.SystemClock{}).Head(context.Background(), "trial")
	if err != nil {
		return err
	}
	inForce := head.Sequence == 2
	unknown := port.IsStoreCode(told, port.StoreUnknown)
	switch {
	case told == nil && !inForce:
		return fmt.Errorf("told accepted, not in force")
	case told != nil && inForce && !unknown:
		return fmt.Errorf("in force, told: %w", told)
	case told != nil && !unknown:
		var race *RaceError
		if !errors.As(told, &race) && !port.IsStoreCode(told, port.StoreNotFound) {
			return fmt.Errorf("told: %w", told)
		}
	}
	_, err = New(m, port.SystemClock{}).Document(context.Background(), head.Sections)
	return err
}

func TestLostReplies(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		losses := rapid.SliceOfN(rapid.SampledFrom([]loss{kept, replyLost, requestLost}), 0, 12).Draw(rt, "losses")
		if err := lostReplies(t, losses, func(p port.Platform) port.Platform { return p }); err != nil {
			rt.Fatal(err)
		}
	})
	naive := false
	for n := range 8 {
		losses := append(slices.Repeat([]loss{kept}, n), replyLost)
		naive = naive || lostReplies(t, losses, func(p port.Platform) port.Platform { return believing{p} }) != nil
	}
	if !naive {
		t.Error("a lost reply taken for a failure passes")
	}
}
