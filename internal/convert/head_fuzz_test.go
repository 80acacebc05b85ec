package convert

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	"cassiatray/internal/core/document"
	peerv1 "cassiatray/proto/peer/v1"
)

// sample is a well formed update.
func sample(t testing.TB) *peerv1.Update {
	t.Helper()
	var p document.Prefix
	if err := p.UnmarshalText([]byte("10.1.0.0/16")); err != nil {
		t.Fatal(err)
	}
	s := document.Section{Name: "caps", Data: []byte("{}")}
	s.Hash = document.HashOf(s.Data)
	h := document.Head{Environment: "trial", Sequence: 7, ChangeID: "c", Sections: []document.Ref{s.Ref()}}
	return UpdateMessage(h, &document.Delta{
		Base: 6, Set: []document.Client{{Block: p, Regions: []string{"gulf"}}}, Removed: []document.Prefix{p},
		Parts: []document.Section{s},
	})
}

// FuzzUpdate reads updates from any bytes. What is accepted must be well
// formed and survive a round trip.
func FuzzUpdate(f *testing.F) {
	good, err := proto.Marshal(sample(f))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(good[:len(good)/2])
	f.Add(bytes.Replace(good, []byte{10, 1, 0, 0, 16}, []byte{10, 1, 0, 9, 16}, 1))
	f.Add(bytes.Replace(good, []byte("{}"), []byte("[]"), 1))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, raw []byte) {
		m := new(peerv1.Update)
		if proto.Unmarshal(raw, m) != nil || m.Head == nil {
			return
		}
		h, d, err := Update(m)
		if err != nil {
			return
		}
		again, d2, err := Update(UpdateMessage(h, d))
		if err != nil || len(again.Sections) != len(h.Sections) || (d == nil) != (d2 == nil) {
			t.Fatalf("round trip: %v", err)
		}
		if d == nil {
			return
		}
		for _, c := range d.Set {
			if !c.Block.IsValid() || c.Block.Prefix != c.Block.Masked() {
				t.Fatalf("accepted the block %s", c.Block)
			}
		}
		for _, s := range d.Parts {
			if document.HashOf(s.Data) != s.Hash {
				t.Fatalf("accepted the forged section %s", s.Name)
			}
		}
	})
}
