package envstore

import (
	"context"
	"fmt"
	"net/netip"
	"testing"

	"cassiatray/internal/core/document"
	"cassiatray/internal/standin/store"
)

// blocks returns a document with some client blocks.
func blocks(n int) *document.Document {
	doc := &document.Document{Weigh: document.WeighLatency}
	for i := range n {
		a := netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 0})
		doc.Clients = append(doc.Clients, document.Client{
			Block: document.Prefix{Prefix: netip.PrefixFrom(a, 24)}, Regions: []string{"gulf"},
		})
	}
	return doc
}

func applyDocument(t *testing.T, s *Store, base document.Head, doc *document.Document) document.Head {
	t.Helper()
	sections, err := document.Divide(doc)
	if err != nil {
		t.Fatal(err)
	}
	head, err := s.Apply(context.Background(), Proposal{Environment: "trial", Base: base, Reason: "r", Sections: sections})
	if err != nil {
		t.Fatal(err)
	}
	return head
}

// used returns the calls since some earlier counts.
func used(kv *store.Store, before store.Counts) (reads, writes uint64) {
	now := kv.Counts()
	return now.Reads - before.Reads, now.Writes - before.Writes
}

// TestApplyCostsTheChange counts calls at the stand-in: a change of one block
// among many writes its section, the pages above it, the change and the head.
func TestApplyCostsTheChange(t *testing.T) {
	s, kv := newStore(t)
	doc := blocks(2000)
	head := applyDocument(t, s, document.Head{}, doc)
	doc.Clients[5].Regions = []string{"delta"}
	before := kv.Counts()
	next := applyDocument(t, s, head, doc)
	if reads, writes := used(kv, before); reads > 4 || writes > 4 {
		t.Errorf("%d reads and %d writes for one block", reads, writes)
	}
	d, ok := next.DeltaFrom(head.Sequence)
	if !ok || len(d.Set) != 1 || len(d.Removed) != 0 || len(d.Parts) != 0 {
		t.Errorf("delta %+v", d)
	}
	got, err := s.Document(context.Background(), next.Sections)
	if err != nil || len(got.Clients) != 2000 {
		t.Errorf("document with error %v", err)
	}
}

// promote points production at the sections of trial.
func promote(t *testing.T, s *Store, base, trial document.Head) document.Head {
	t.Helper()
	head, err := s.Apply(context.Background(), Proposal{
		Environment: "production", Base: base, Reason: "promotion", Refs: trial.Sections,
	})
	if err != nil || fmt.Sprint(head.Sections) != fmt.Sprint(trial.Sections) {
		t.Fatalf("head %+v, error %v", head, err)
	}
	return head
}

// TestApplyRefs points another environment at stored sections: it costs the
// change between them.
func TestApplyRefs(t *testing.T) {
	s, kv := newStore(t)
	doc := blocks(2000)
	trial := applyDocument(t, s, document.Head{}, doc)
	production := promote(t, s, document.Head{}, trial)
	doc.Clients[5].Regions = []string{"delta"}
	trial = applyDocument(t, s, trial, doc)
	before := kv.Counts()
	next := promote(t, s, production, trial)
	// Two sections differ: each is read on both sides and claimed by up to two
	// writes and a read; then come the change and the head.
	if reads, writes := used(kv, before); reads > 1+2*(2+1) || writes > 2*2+2 {
		t.Errorf("%d reads and %d writes for the promotion of one block", reads, writes)
	}
	if d, ok := next.DeltaFrom(1); !ok || len(d.Set) != 1 {
		t.Errorf("delta %+v", d)
	}
}

// TestHeadStaysSmall makes more changes than a head carries, some of them
// large.
func TestHeadStaysSmall(t *testing.T) {
	s, _ := newStore(t)
	doc := blocks(600)
	head := applyDocument(t, s, document.Head{}, doc)
	for i := range 12 {
		for k := range 1 + i%4*100 {
			doc.Clients[k].Regions = []string{"gulf", fmt.Sprint(i)}
		}
		head = applyDocument(t, s, head, doc)
		size := 0
		for _, d := range head.Deltas {
			size += len(d.Set)
		}
		if len(head.Deltas) > 8 || size > 100 {
			t.Fatalf("change %d: %d deltas with %d blocks", i, len(head.Deltas), size)
		}
	}
}
