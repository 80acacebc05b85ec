package mirror

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// neverSame treats any two values as different.
func neverSame(Record, Record) bool { return false }

// drawHistory draws the writes to a store, in order.
func drawHistory(t *rapid.T) []Record {
	n := rapid.IntRange(1, 40).Draw(t, "writes")
	var out []Record
	for i := range n {
		out = append(out, Record{
			Key: fmt.Sprintf("k%d", rapid.IntRange(0, 5).Draw(t, "key")), Value: fmt.Append(nil, i),
			Revision: uint64(i + 1), Deleted: rapid.IntRange(0, 3).Draw(t, "kind") == 0,
		})
	}
	return out
}

// finalState returns the values in the store after all writes.
func finalState(h []Record) map[string]string {
	out := map[string]string{}
	for _, r := range h {
		delete(out, r.Key)
		if !r.Deleted {
			out[r.Key] = string(r.Value)
		}
	}
	return out
}

func contents(m *Mirror) map[string]string {
	out := map[string]string{}
	m.Each("", func(r Record) { out[r.Key] = string(r.Value) })
	return out
}

// TestApplyConvergesInAnyOrder checks that records that arrive in any order and
// more than once give the store's state, and that applying them in order of
// arrival does not.
func TestApplyConvergesInAnyOrder(t *testing.T) {
	naiveFailed := false
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		shuffled := rapid.Permutation(append(append([]Record{}, h...), h...)).Draw(t, "arrival")
		m, naive := New(neverSame), map[string]string{}
		for _, r := range shuffled {
			m.Apply([]Record{r})
			delete(naive, r.Key)
			if !r.Deleted {
				naive[r.Key] = string(r.Value)
			}
		}
		if got, want := fmt.Sprint(contents(m)), fmt.Sprint(finalState(h)); got != want {
			t.Fatalf("got %s, want %s", got, want)
		}
		naiveFailed = naiveFailed || fmt.Sprint(naive) != fmt.Sprint(finalState(h))
	})
	if !naiveFailed {
		t.Fatal("applying records in order of arrival converged: the property detects nothing")
	}
}

// TestReplaceDropsRemovedKeys checks a listing that replaces missed history
// while writes race with it.
func TestReplaceDropsRemovedKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		seen := rapid.IntRange(0, len(h)).Draw(t, "seen")
		listed := rapid.IntRange(seen, len(h)).Draw(t, "listed")
		m := New(neverSame)
		m.Apply(h[:seen])
		// The newest writes arrive from a peer before the listing.
		m.Apply(h[listed:])
		var listing []Record
		latest := map[string]Record{}
		for _, r := range h[:listed] {
			latest[r.Key] = r
		}
		for _, r := range latest {
			if !r.Deleted {
				listing = append(listing, r)
			}
		}
		m.Replace("", listing, uint64(listed), time.Unix(0, 0))
		// The watch continues from the listing.
		m.Apply(h[listed:])
		if got, want := fmt.Sprint(contents(m)), fmt.Sprint(finalState(h)); got != want {
			t.Fatalf("got %s, want %s (seen %d, listed %d of %v)", got, want, seen, listed, h)
		}
	})
}

// TestUnchangedValuesAreNotForwarded checks that a record whose value is the
// same in every relevant way, such as a heartbeat, is stored but not forwarded.
func TestUnchangedValuesAreNotForwarded(t *testing.T) {
	m := New(func(held, later Record) bool { return held.Value[0] == later.Value[0] })
	m.Apply([]Record{{Key: "s", Value: []byte("a1"), Revision: 1}})
	if got := m.Apply([]Record{{Key: "s", Value: []byte("a2"), Revision: 2}}); len(got) > 0 || len(since(m, 1)) > 0 {
		t.Error("a heartbeat counted as a change")
	}
	if r, _ := m.Get("s"); string(r.Value) != "a2" {
		t.Errorf("stored %s, want a2", r.Value)
	}
	if got := m.Apply([]Record{{Key: "s", Value: []byte("b1"), Revision: 3}}); len(got) != 1 {
		t.Error("a new value did not count as a change")
	}
	m.Complete(3)
	if len(since(m, 1)) != 1 {
		t.Error("a change is not forwarded")
	}
}

// TestSmallChangesAddUp checks that records that each differ little from the one before are
// forwarded once they differ much from the last one that was.
func TestSmallChangesAddUp(t *testing.T) {
	m := New(func(held, later Record) bool { return later.Value[0]-held.Value[0] <= 2 })
	forwarded := 0
	for i := range 10 {
		forwarded += len(m.Apply([]Record{{Key: "s", Value: []byte{byte(2 * i)}, Revision: uint64(i + 1)}}))
	}
	if forwarded != 5 {
		t.Errorf("%d of 10 records forwarded, want each second one", forwarded)
	}
}

// TestForwardedRecordsAreChanges checks that what a source took for a change is one for
// each mirror that pulls from it, whatever that has seen of the key.
func TestForwardedRecordsAreChanges(t *testing.T) {
	// A counter that falls has started anew.
	falls := func(held, later Record) bool { return later.Value[0] >= held.Value[0] }
	rapid.Check(t, func(t *rapid.T) {
		source, puller := New(falls), New(falls)
		for revision := range uint64(rapid.IntRange(1, 30).Draw(t, "writes")) {
			r := Record{Key: "s", Value: []byte{byte(rapid.IntRange(0, 9).Draw(t, "value"))}, Revision: revision + 1}
			changed := source.Apply([]Record{r})
			source.Complete(r.Revision)
			if got := puller.ApplyForwarded(since(source, puller.Revision())); len(got) != len(changed) {
				t.Fatalf("revision %d: %d changes at the source, %d at the puller", r.Revision, len(changed), len(got))
			}
			puller.Complete(source.Revision())
		}
	})
}

func since(m *Mirror, revision uint64) []Record {
	records, _ := m.Since(revision)
	return records
}

// TestPullsConverge checks that gateways that pull from each other at any time
// and from any source end with the store's state, even if sources have purged
// removals.
func TestPullsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		now := time.Unix(0, 0)
		mirrors := []*Mirror{New(neverSame), New(neverSame), New(neverSame)}
		pull := func(to, from *Mirror) {
			if from.Revision() < to.Revision() {
				return
			}
			records, snapshot := from.Since(to.Revision())
			if snapshot {
				to.Replace("", records, from.Revision(), now)
				return
			}
			to.Apply(records)
			to.Complete(from.Revision())
		}
		for i, r := range h {
			r.Read = now
			h[i].Read = now
			if rapid.IntRange(0, 9).Draw(t, "history lost") == 0 {
				// The store compacted its history, so it is listed again.
				listing := map[string]Record{}
				for _, old := range h[:i+1] {
					delete(listing, old.Key)
					if !old.Deleted {
						listing[old.Key] = old
					}
				}
				mirrors[0].Replace("", slices.Collect(maps.Values(listing)), r.Revision, now)
			} else if mirrors[0].Revision() == r.Revision-1 && rapid.IntRange(0, 9).Draw(t, "watch late") > 0 {
				mirrors[0].Apply([]Record{r})
				mirrors[0].Complete(r.Revision)
			}
			for range rapid.IntRange(0, 2).Draw(t, "pulls") {
				pull(mirrors[rapid.IntRange(1, 2).Draw(t, "to")], mirrors[rapid.IntRange(0, 2).Draw(t, "from")])
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second)
			mirrors[rapid.IntRange(0, 2).Draw(t, "forgets")].Expire(now)
		}
		if last := uint64(len(h)); mirrors[0].Revision() < last {
			mirrors[0].Apply(h[mirrors[0].Revision():])
			mirrors[0].Complete(last)
		}
		pull(mirrors[1], mirrors[0])
		pull(mirrors[2], mirrors[1])
		for i, m := range mirrors {
			if got, want := fmt.Sprint(contents(m)), fmt.Sprint(finalState(h)); got != want {
				t.Fatalf("mirror %d: got %s, want %s", i, got, want)
			}
		}
	})
}

// TestBackfilledListingNeedsNoSnapshot checks that a mirror that was filled by a listing, and
// then by the changes before it, brings another one that listed earlier up to date without a
// snapshot; and one that listed before those changes with a snapshot.
func TestBackfilledListingNeedsNoSnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		now := time.Unix(0, 0)
		listing := func(upTo int) (out []Record) {
			live := map[string]Record{}
			for _, r := range h[:upTo] {
				delete(live, r.Key)
				if !r.Deleted {
					live[r.Key] = r
				}
			}
			return slices.Collect(maps.Values(live))
		}
		early := rapid.IntRange(1, len(h)).Draw(t, "early")
		late := rapid.IntRange(early, len(h)).Draw(t, "late")
		from := rapid.IntRange(0, late).Draw(t, "from")
		source, puller := New(neverSame), New(neverSame)
		source.Replace("", listing(late), uint64(late), now)
		source.Backfill(h[from:late], uint64(from))
		puller.Replace("", listing(early), uint64(early), now)
		records, snapshot := source.Since(uint64(early))
		if want := early < from; snapshot != want && early < late {
			t.Fatalf("listed at %d and %d, changes from %d: snapshot %t", early, late, from, snapshot)
		}
		if snapshot {
			puller.Replace("", records, source.Revision(), now)
		} else {
			puller.ApplyForwarded(records)
			puller.Complete(source.Revision())
		}
		if got, want := fmt.Sprint(contents(puller)), fmt.Sprint(contents(source)); got != want {
			t.Fatalf("got %s, want %s", got, want)
		}
	})
}

// TestPullsInFlightConverge checks that responses to pulls that were sent
// before the mirror applied others do not restore removed keys. This happens
// when a process that has just started pulls from two sources at once. The test
// also shows that a mirror without the check of its complete revision fails.
func TestPullsInFlightConverge(t *testing.T) {
	type response struct {
		records  []Record
		complete uint64
		snapshot bool
	}
	naiveFailed := false
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		now := time.Unix(0, 0)
		var responses []response
		source := New(neverSame)
		for _, r := range h {
			r.Read = now
			source.Apply([]Record{r})
			source.Complete(r.Revision)
			if rapid.Bool().Draw(t, "pulled") {
				records, snapshot := source.Since(0)
				responses = append(responses, response{records, r.Revision, snapshot})
			}
			if rapid.IntRange(0, 3).Draw(t, "forgets") == 0 {
				now = now.Add(2 * tombstoneTTL)
				source.Expire(now)
			}
		}
		records, snapshot := source.Since(0)
		responses = append(responses, response{records, source.Revision(), snapshot})
		m, naive := New(neverSame), New(neverSame)
		for _, p := range rapid.Permutation(responses).Draw(t, "arrival") {
			if p.snapshot {
				m.Replace("", p.records, p.complete, now)
			} else {
				m.Apply(p.records)
				m.Complete(p.complete)
			}
			for _, r := range p.records {
				naive.apply(r, naive.same)
			}
		}
		if got, want := fmt.Sprint(contents(m)), fmt.Sprint(finalState(h)); got != want {
			t.Fatalf("got %s, want %s", got, want)
		}
		naiveFailed = naiveFailed || fmt.Sprint(contents(naive)) != fmt.Sprint(finalState(h))
	})
	if !naiveFailed {
		t.Fatal("applying every record converged: the property detects nothing")
	}
}

// TestGatewaysAgreeOnHubs checks that every gateway pulls from the hub of its
// region first, that each hub selects itself, and that a failed hub is
// replaced.
func TestGatewaysAgreeOnHubs(t *testing.T) {
	var members []Member
	for i := range 12 {
		members = append(members, Member{Host: fmt.Sprintf("h%d", i), Region: fmt.Sprintf("r%d", i%3), Capacity: uint32(1 + i%2)})
	}
	none := func(string) bool { return false }
	large := func(host string) bool { return host[len(host)-1]%2 == 1 }
	hubs := map[string]string{}
	for _, m := range members {
		if IsHub(members, m.Host, m.Region, none) {
			if hubs[m.Region] != "" {
				t.Fatalf("two hubs in %s", m.Region)
			}
			hubs[m.Region] = m.Host
			if !large(m.Host) {
				t.Errorf("%s is a hub, but its region has larger hosts", m.Host)
			}
		}
	}
	for _, m := range members {
		order := Order(members, m.Host, m.Region, none)
		if want := hubs[m.Region]; m.Host != want && order[0].Host != want {
			t.Errorf("%s pulls from %s, hub is %s", m.Host, order[0].Host, want)
		}
		if len(order) != len(members)-1 {
			t.Errorf("%s has %d sources", m.Host, len(order))
		}
		failed := func(h string) bool { return h == hubs[m.Region] }
		next := Order(members, m.Host, m.Region, failed)
		if next[0].Host == hubs[m.Region] || next[0].Region != m.Region && !IsHub(members, m.Host, m.Region, failed) {
			t.Errorf("%s pulls from %v after its hub failed", m.Host, next[0])
		}
	}
}
