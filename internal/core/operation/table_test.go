package operation

import (
	"errors"
	"testing"
	"time"
)

func reasonOf(err error) Reason {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return ""
}

func TestBegin(t *testing.T) {
	now := time.Unix(1e9, 0)
	for _, c := range []struct {
		name   string
		issued time.Time
		before func(*Table[int])
		mine   bool
		reason Reason
	}{
		{name: "new", issued: now, mine: true},
		{name: "at the end of the window", issued: now.Add(-10 * time.Minute), mine: true},
		{name: "older than the window", issued: now.Add(-10*time.Minute - 1), reason: Expired},
		{name: "far ahead", issued: now.Add(10*time.Minute + 1), reason: Ahead},
		{name: "at the floor", issued: now.Add(-time.Minute), before: overflow(now), reason: Expired},
		{name: "above the floor", issued: now.Add(1 - time.Minute), before: overflow(now), mine: true},
		{name: "running limit", issued: now, before: begin(now, "a", "b", "c", "d"), reason: Full},
		{name: "joined", issued: now, before: begin(now, "op")},
		{name: "closed", issued: now, before: func(t *Table[int]) { t.Close() }, reason: Closed},
		{name: "closed and too old", issued: now.Add(-time.Hour), before: func(t *Table[int]) { t.Close() }, reason: Expired},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable[int](small)
			if c.before != nil {
				c.before(table)
			}
			_, mine, err := table.Begin(now, "op", c.issued)
			if mine != c.mine || reasonOf(err) != c.reason {
				t.Fatalf("mine %t, error %v", mine, err)
			}
		})
	}
}

func begin(now time.Time, ids ...string) func(*Table[int]) {
	return func(t *Table[int]) {
		for _, id := range ids {
			t.Begin(now, id, now)
		}
	}
}

// overflow finishes one record more than are kept, of which the oldest was
// issued a minute ago.
func overflow(now time.Time) func(*Table[int]) {
	return func(t *Table[int]) {
		for i, id := range []string{"a", "b", "c", "d"} {
			r, _, _ := t.Begin(now, id, now.Add(time.Duration(i-1)*time.Minute))
			t.Finish(r, i, 1)
		}
	}
}

func TestBytesBound(t *testing.T) {
	now := time.Unix(1e9, 0)
	table := NewTable[int](small)
	for _, id := range []string{"a", "b"} {
		r, _, _ := table.Begin(now, id, now)
		table.Finish(r, 0, small.Bytes-1)
	}
	if table.Len() != 1 {
		t.Fatalf("%d records kept", table.Len())
	}
}

func TestInheritedBounds(t *testing.T) {
	now := time.Unix(1e9, 0)
	h := NewInherited[int](small)
	first, second := Owner{Host: "a", Incarnation: 1}, Owner{Host: "b", Incarnation: 2}
	h.Add(now, first, "x", 1, small.Bytes)
	h.Close(now, first, now.Add(-time.Minute))
	if _, v := h.Find(first, "x", now); v != NotHeld {
		t.Fatalf("verdict %v of a set over the limit", v)
	}
	h.Add(now, second, "y", 2, 1)
	if _, v := h.Find(second, "z", now); v != NotHeld {
		t.Fatalf("verdict %v of a set that is not whole", v)
	}
	h.Close(now, second, now.Add(-time.Minute))
	for issued, want := range map[time.Time]Verdict{now: NeverRan, now.Add(-time.Minute): Forgotten} {
		if _, v := h.Find(second, "z", issued); v != want {
			t.Fatalf("verdict %v for an ID issued at %s, want %v", v, issued, want)
		}
	}
	h.Expire(now.Add(small.Window + 1))
	if _, v := h.Find(second, "y", now); v != NotHeld {
		t.Fatalf("verdict %v after the window", v)
	}
}
