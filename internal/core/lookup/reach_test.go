package lookup

import "testing"

func TestReach(t *testing.T) {
	r := NewReach()
	for i, answered := range []bool{false, false, true, false, false, false, false, true, false} {
		changed := r.Note("gulf-a", answered)
		lost := i == 5 || i == 6
		if r.Lost("gulf-a") != lost || changed != (i == 5 || i == 7) {
			t.Errorf("probe %d: lost %t changed %t", i, r.Lost("gulf-a"), changed)
		}
	}
}

func TestWithoutLeavesSomething(t *testing.T) {
	hosts := []Host{{Name: "a", Domain: "gulf-a"}, {Name: "b", Domain: "gulf-b"}}
	if got := Without(hosts, map[string]bool{"gulf-a": true}); len(got) != 1 || got[0].Name != "b" {
		t.Errorf("hosts %v, want b alone", got)
	}
	if got := Without(hosts, map[string]bool{"gulf-a": true, "gulf-b": true}); len(got) != 2 {
		t.Errorf("hosts %v, want all when all are lost", got)
	}
}
