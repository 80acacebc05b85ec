package envstore

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cassiatray/internal/adapter/platform"
	"cassiatray/internal/core/document"
	"cassiatray/internal/port"
	"cassiatray/internal/standin/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newStore(t *testing.T) (*Store, *store.Store) {
	t.Helper()
	kv := store.New()
	srv := httptest.NewServer(kv.Handler())
	c := platform.New(strings.TrimPrefix(srv.URL, "http://"), time.Second)
	t.Cleanup(func() { c.Close(); srv.Close() })
	return New(c, port.SystemClock{}), kv
}

func proposal(base document.Head, data string) Proposal {
	s := document.Section{Name: "settings", Hash: document.HashOf([]byte(data)), Data: []byte(data)}
	return Proposal{Environment: "trial", Base: base, Author: "a", Reason: data, Sections: []document.Section{s}}
}

func TestApplyRace(t *testing.T) {
	s, _ := newStore(t)
	ctx := context.Background()
	base, _, err := s.Head(ctx, "trial")
	if err != nil {
		t.Fatal(err)
	}
	winner, err := s.Apply(ctx, proposal(base, "winner"))
	if err != nil {
		t.Fatal(err)
	}
	_, err = s.Apply(ctx, proposal(base, "loser"))
	var conflict *ConflictError
	if !errors.As(err, &conflict) || conflict.Winner.Reason != "winner" {
		t.Fatalf("error = %v", err)
	}
	now, _, err := s.Head(ctx, "trial")
	if err != nil || now.ChangeID != winner.ChangeID {
		t.Fatalf("head = %+v, %v", now, err)
	}
}

// TestApplyReplyLost loses the reply of each write in turn.
func TestApplyReplyLost(t *testing.T) {
	s, kv := newStore(t)
	ctx := context.Background()
	var base document.Head
	for i, data := range []string{"one", "two", "three"} {
		kv.SetFaults(store.Faults{LoseReplies: i + 1})
		head, err := s.Apply(ctx, proposal(base, data))
		if err != nil {
			t.Fatalf("%d replies lost: %v", i+1, err)
		}
		if head.Sequence != uint64(i+1) {
			t.Fatalf("sequence = %d", head.Sequence)
		}
		base = head
	}
}

func TestApplyStoreDown(t *testing.T) {
	s, kv := newStore(t)
	kv.SetFaults(store.Faults{Down: true})
	_, err := s.Apply(context.Background(), proposal(document.Head{}, "x"))
	if !port.IsStoreCode(err, port.StoreUnavailable) {
		t.Fatalf("error = %v", err)
	}
}
