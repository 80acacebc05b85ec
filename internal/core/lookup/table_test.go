package lookup

import (
	"net/netip"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"cassiatray/internal/core/document"
)

func client(p netip.Prefix, regions ...string) document.Client {
	return document.Client{Block: document.Prefix{Prefix: p}, Regions: regions}
}

// scan is the plain form of Table: every block is looked at.
type scan map[netip.Prefix][]string

func (s scan) find(a netip.Addr) (Block, bool) {
	var best Block
	for p, regions := range s {
		if p.Contains(a) && (!best.Prefix.IsValid() || p.Bits() > best.Prefix.Bits()) {
			best = Block{Prefix: p, Regions: regions}
		}
	}
	return best, best.Prefix.IsValid()
}

// drawAddr draws from a few bits, so that blocks nest and addresses hit.
func drawAddr(t *rapid.T) netip.Addr {
	if rapid.Bool().Draw(t, "v4") {
		b := rapid.SliceOfN(rapid.SampledFrom([]byte{0, 1, 127, 128, 255}), 4, 4).Draw(t, "bytes")
		return netip.AddrFrom4([4]byte(b))
	}
	b := make([]byte, 16)
	for _, i := range []int{0, 7, 8, 15} {
		b[i] = rapid.SampledFrom([]byte{0, 1, 128, 255}).Draw(t, "byte")
	}
	b[1] = 0x20 // never an IPv4 address in IPv6 form
	return netip.AddrFrom16([16]byte(b))
}

func drawClient(t *rapid.T) document.Client {
	a := drawAddr(t)
	p, _ := a.Prefix(rapid.IntRange(0, a.BitLen()).Draw(t, "bits"))
	return client(p, rapid.SampledFrom([]string{"carolinas", "gulf", "delta"}).Draw(t, "region"))
}

func (s scan) same(t *rapid.T, table *Table, a netip.Addr) {
	got, ok := table.Find(a)
	want, found := s.find(a)
	if ok != found || got.Prefix != want.Prefix || !slices.Equal(got.Regions, want.Regions) {
		t.Fatalf("Find(%s) = %v %v, want %v %v", a, got, ok, want, found)
	}
}

func TestTableAgainstScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := rapid.SliceOfN(rapid.Custom(drawClient), 0, 20).Draw(t, "first")
		probes := rapid.SliceOfN(rapid.Custom(drawAddr), 1, 10).Draw(t, "probes")
		model := scan{}
		for _, c := range first {
			model[c.Block.Prefix] = c.Regions
		}
		table := NewTable(first)
		for range rapid.IntRange(0, 8).Draw(t, "changes") {
			added := rapid.SliceOfN(rapid.Custom(drawClient), 0, 3).Draw(t, "added")
			removed := rapid.SliceOfN(rapid.OneOf(rapid.Custom(drawClient), rapid.SampledFrom(append(first, client(netip.MustParsePrefix("::/0"))))), 0, 3).Draw(t, "removed")
			before, _ := table.Find(probes[0])
			old := table
			table = table.With(added, removed)
			if again, _ := old.Find(probes[0]); again.Prefix != before.Prefix || !slices.Equal(again.Regions, before.Regions) {
				t.Fatalf("a change altered the table before it: %v, was %v", again, before)
			}
			for _, c := range removed {
				delete(model, c.Block.Prefix)
			}
			for _, c := range added {
				model[c.Block.Prefix] = c.Regions
			}
			if table.Len() != len(model) {
				t.Fatalf("Len() = %d, want %d", table.Len(), len(model))
			}
			for _, a := range probes {
				model.same(t, table, a)
			}
		}
		for _, a := range probes {
			model.same(t, table, a)
		}
	})
}

// moved is the plain form of Table.Moved.
func (s scan) moved(next scan) float64 {
	homes, lost, gained := map[string]int{}, map[string]int{}, map[string]int{}
	for p, regions := range s {
		homes[regions[0]]++
		if now, ok := next[p]; !ok || now[0] != regions[0] {
			lost[regions[0]]++
		}
	}
	for p, regions := range next {
		if old, ok := s[p]; !ok || old[0] != regions[0] {
			gained[regions[0]]++
		}
	}
	most := 0.0
	for _, m := range []map[string]int{lost, gained} {
		for r, n := range m {
			blocks := float64(homes[r])
			if blocks == 0 {
				blocks = float64(len(s)) / float64(len(homes))
			}
			most = max(most, float64(n)/blocks)
		}
	}
	return most
}

func TestMovedAgainstScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := rapid.SliceOfN(rapid.Custom(drawClient), 1, 20).Draw(t, "first")
		added := rapid.SliceOfN(rapid.Custom(drawClient), 0, 5).Draw(t, "added")
		removed := rapid.SliceOfN(rapid.SampledFrom(first), 0, 5).Draw(t, "removed")
		before, after := scan{}, scan{}
		for _, c := range first {
			before[c.Block.Prefix], after[c.Block.Prefix] = c.Regions, c.Regions
		}
		for _, c := range removed {
			delete(after, c.Block.Prefix)
		}
		for _, c := range added {
			after[c.Block.Prefix] = c.Regions
		}
		table := NewTable(first)
		if got, want := table.Moved(table.With(added, removed)), before.moved(after); got != want {
			t.Fatalf("Moved() = %v, want %v", got, want)
		}
	})
}
