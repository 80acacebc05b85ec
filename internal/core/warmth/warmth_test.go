package warmth

import (
	"testing"
	"time"
)

func TestSetEvictsOldest(t *testing.T) {
	var s Set
	now := time.Unix(1000, 0)
	for i := range uint64(maxObjects + 2) {
		s.Note(i, now.Add(time.Duration(i)*time.Second))
		s.Note(1, now.Add(time.Duration(i)*time.Second))
	}
	now = now.Add((maxObjects + 2) * time.Second)
	for object, want := range map[uint64]bool{0: false, 1: true, 2: false, 3: true, maxObjects + 1: true, 99: false} {
		if got := s.Has(object, now); got != want {
			t.Errorf("object %d: warm is %t", object, got)
		}
	}
	if s.Has(1, now.Add(warmTTL)) {
		t.Error("the server is still warm for an object after warmTTL")
	}
}
