package envstore

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"cassiatray/internal/core/document"
	"cassiatray/internal/port"
)

var base = sync.OnceValues(func() (*document.Document, error) {
	data, err := os.ReadFile("../core/document/testdata/base.yaml")
	if err != nil {
		return nil, err
	}
	return document.Parse("base.yaml", data)
})

// doc returns the base document with a number of slots of its first service.
func doc(t testing.TB, slots int) *document.Document {
	t.Helper()
	parsed, err := base()
	if err != nil {
		t.Fatal(err)
	}
	out := *parsed
	out.Services, out.Clients = slices.Clone(parsed.Services), slices.Clone(parsed.Clients)
	out.Services[0].Slots = slots
	return &out
}

func submit(t testing.TB, s *Store, environment string, d *document.Document) Accepted {
	t.Helper()
	out, err := s.Submit(t.Context(), Submission{Environment: environment, Author: "ann", Reason: "test", Document: d})
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func TestPromoteAndRollback(t *testing.T) {
	ctx, s := t.Context(), New(newMemory(), port.SystemClock{})
	var empty *EmptyError
	if _, err := s.Promote(ctx, Promotion{From: "trial", To: "production"}); !errors.As(err, &empty) {
		t.Fatalf("promotion of nothing: %v", err)
	}
	first := submit(t, s, "trial", doc(t, 9))
	promoted, err := s.Promote(ctx, Promotion{From: "trial", To: "production", Author: "ann", Reason: "go", Expect: 1})
	if err != nil || !slices.Equal(promoted.Head.Sections, first.Head.Sections) {
		t.Fatalf("promoted %v, %v", promoted.Head.Sections, err)
	}
	second := submit(t, s, "trial", doc(t, 10))
	var moved *MovedError
	if _, err := s.Promote(ctx, Promotion{From: "trial", To: "production", Expect: 1}); !errors.As(err, &moved) || moved.Newest.ID != second.Head.ChangeID {
		t.Fatalf("promotion after trial moved on: %v", err)
	}
	var unchanged *UnchangedError
	if _, err := s.Submit(ctx, Submission{Environment: "trial", Document: doc(t, 10)}); !errors.As(err, &unchanged) {
		t.Fatalf("the same document again: %v", err)
	}
	back, err := s.Rollback(ctx, Reversal{Environment: "trial", Change: "1", Author: "bob", Reason: "worse"})
	if err != nil || back.Head.Sequence != 3 || !slices.Equal(back.Head.Sections, first.Head.Sections) {
		t.Fatalf("rollback: %+v, %v", back.Head, err)
	}
	history, err := s.History(ctx, "trial", 2)
	if err != nil || len(history) != 2 || history[0].From != first.Head.ChangeID || history[0].Author != "bob" {
		t.Fatalf("history: %+v, %v", history, err)
	}
	if want := "Each server of rodsheet runs up to 9 requests at once, was 10."; !slices.Contains(history[0].Diff, want) {
		t.Fatalf("diff: %q", history[0].Diff)
	}
	var unknown *UnknownChangeError
	if _, err := s.Rollback(ctx, Reversal{Environment: "trial", Change: "7"}); !errors.As(err, &unknown) {
		t.Fatalf("rollback to nothing: %v", err)
	}
}

// TestMissingSection promotes a document of which each section is lost in turn:
// the failure is typed and production stays as it is.
func TestMissingSection(t *testing.T) {
	ctx, m := t.Context(), newMemory()
	s := New(m, port.SystemClock{})
	submit(t, s, "trial", doc(t, 9))
	for key, e := range maps.Clone(m.entries) {
		if !strings.HasPrefix(key, sectionPrefix) {
			continue
		}
		delete(m.entries, key)
		_, err := s.Promote(ctx, Promotion{From: "trial", To: "production"})
		head, _, _ := s.Head(ctx, "production")
		if !port.IsStoreCode(err, port.StoreNotFound) || head.Sequence != 0 {
			t.Errorf("without %s: sequence %d, %v", key, head.Sequence, err)
		}
		m.entries[key] = e
	}
}

// TestMalformedSection promotes a section that matches its hash and is no JSON.
func TestMalformedSection(t *testing.T) {
	ctx, s := t.Context(), New(newMemory(), port.SystemClock{})
	bad := document.Section{Name: "caps", Hash: document.HashOf([]byte("[")), Data: []byte("[")}
	if _, err := s.Apply(ctx, Proposal{Environment: "trial", Sections: []document.Section{bad}}); err != nil {
		t.Fatal(err)
	}
	var section *document.SectionError
	if _, err := s.Promote(ctx, Promotion{From: "trial", To: "production"}); !errors.As(err, &section) {
		t.Errorf("error = %v", err)
	}
}

// TestCalls bounds the calls of an operation on a document of 5,000 client
// blocks. At 66,000 changes a day a bound of 64 reads and 16 writes is 49
// reads and 12 writes a second.
func TestCalls(t *testing.T) {
	const maxReads, maxWrites = 64, 16
	m := newMemory()
	s := New(m, port.SystemClock{})
	d := doc(t, 9)
	for i := range 5000 {
		b := netip.PrefixFrom(netip.AddrFrom4([4]byte{11, byte(i >> 8), byte(i), 0}), 24)
		d.Clients = append(d.Clients, document.Client{Block: document.Prefix{Prefix: b}, Regions: []string{"gulf"}})
	}
	submit(t, s, "trial", d)
	within := func(what string, fn func() error) {
		t.Helper()
		m.reads, m.writes = 0, 0
		if err := fn(); err != nil {
			t.Fatalf("%s: %v", what, err)
		}
		if m.reads > maxReads || m.writes > maxWrites {
			t.Errorf("%s: %d reads and %d writes", what, m.reads, m.writes)
		}
		t.Logf("%s: %d reads, %d writes", what, m.reads, m.writes)
	}
	promote := func() error {
		_, err := s.Promote(t.Context(), Promotion{From: "trial", To: "production"})
		return err
	}
	if err := promote(); err != nil {
		t.Fatal(err)
	}
	d.Clients[700].Regions = []string{"delta"}
	within("submit", func() error { submit(t, s, "trial", d); return nil })
	within("promote", promote)
	within("rollback", func() error {
		_, err := s.Rollback(t.Context(), Reversal{Environment: "trial", Change: "1"})
		return err
	})
	within("collect", func() error { _, err := s.Collect(t.Context(), 100); return err })
}

func TestCollectBoundsHistory(t *testing.T) {
	ctx, m := t.Context(), newMemory()
	s := New(m, port.SystemClock{})
	for slots := 1; slots <= 9; slots++ {
		submit(t, s, "trial", doc(t, slots))
		if slots == 2 {
			if _, err := s.Promote(ctx, Promotion{From: "trial", To: "production"}); err != nil {
				t.Fatal(err)
			}
		}
	}
	out, err := s.Collect(ctx, 3)
	if err != nil {
		t.Fatal(err)
	}
	// Three of trial, one of production, and trial's change 2 that it came from.
	if out.KeptChanges != 5 || out.DeletedChanges != 5 || out.DeletedSections == 0 {
		t.Fatalf("collected %+v", out)
	}
	for _, environment := range []string{"trial", "production"} {
		history, err := s.History(ctx, environment, 100)
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range history {
			if _, err := s.Document(ctx, c.Sections); err != nil {
				t.Errorf("%s@%d: %v", environment, c.Sequence, err)
			}
		}
	}
	again, err := s.Collect(ctx, 3)
	if err != nil || again.DeletedChanges+again.DeletedSections != 0 {
		t.Fatalf("collected again: %+v, %v", again, err)
	}
}

// collectRace lets a collection and a change that reuses collectable sections
// take their calls in a drawn order, and returns the error of reading the head
// that is left. The change submits the first document anew, or rolls back to
// it; a rollback may find that the collection was there before.
func collectRace(t testing.TB, order []bool, rollback bool, wrap func(port.Platform) port.Platform) error {
	m := newMemory()
	s := New(m, port.SystemClock{})
	submit(t, s, "trial", doc(t, 1))
	submit(t, s, "trial", doc(t, 2))
	old := doc(t, 1)
	turns := newTurns(order)
	var failed [2]error
	turns.run([2]func(){
		func() {
			own := New(wrap(gated{memory: m, turns: turns, actor: 0}), port.SystemClock{})
			if rollback {
				_, failed[0] = own.Rollback(context.Background(), Reversal{Environment: "trial", Change: "1"})
				return
			}
			_, failed[0] = own.Submit(context.Background(), Submission{Environment: "trial", Document: old})
		},
		func() {
			own := New(wrap(gated{memory: m, turns: turns, actor: 1}), port.SystemClock{})
			_, failed[1] = own.Collect(context.Background(), 1)
		},
	})
	var unknown *UnknownChangeError
	gone := rollback && (errors.As(failed[0], &unknown) || port.IsStoreCode(failed[0], port.StoreNotFound))
	if gone {
		failed[0] = nil
	}
	if err := errors.Join(failed[:]...); err != nil {
		return err
	}
	head, _, err := s.Head(context.Background(), "trial")
	if err == nil && !gone && head.Sequence != 3 {
		err = fmt.Errorf("head is at %d", head.Sequence)
	}
	if err == nil {
		_, err = s.Document(context.Background(), head.Sections)
	}
	return err
}

func TestCollectAgainstChange(t *testing.T) {
	keep := func(p port.Platform) port.Platform { return p }
	rapid.Check(t, func(rt *rapid.T) {
		order := rapid.SliceOfN(rapid.Bool(), 0, 120).Draw(rt, "order")
		if err := collectRace(t, order, rapid.Bool().Draw(rt, "rollback"), keep); err != nil {
			rt.Fatal(err)
		}
	})
}

// TestCollectNaive shows an order of calls that loses a section in each naive
// variant: the change runs some calls, then the collection some, then both end.
func TestCollectNaive(t *testing.T) {
	for name, wrap := range map[string]func(port.Platform) port.Platform{
		"without touching": func(p port.Platform) port.Platform { return untouching{p} },
		"without fence":    func(p port.Platform) port.Platform { return unfenced{p} },
	} {
		if !losesSection(t, wrap) {
			t.Errorf("%s: every order keeps the sections", name)
		}
	}
}

func losesSection(t *testing.T, wrap func(port.Platform) port.Platform) bool {
	for _, collecting := range []int{0, 17, 18, 19, 20} {
		for changing := range 25 {
			order := append(slices.Repeat([]bool{true}, collecting), slices.Repeat([]bool{false}, changing)...)
			order = append(order, slices.Repeat([]bool{true}, 60)...)
			if err := collectRace(t, order, false, wrap); err != nil && strings.Contains(err.Error(), string(port.StoreNotFound)) {
				return true
			}
		}
	}
	return false
}
