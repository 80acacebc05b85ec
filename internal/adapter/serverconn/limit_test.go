package serverconn

import "testing"

// Guards against idle connections to servers that take the descriptors of new ones.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	first := serve(t, func(int) string { return "" })
	second := serve(t, func(int) string { return "" })
	p := New(dialect{})
	defer p.Close()
	p.LimitConnections(3)
	for _, address := range []string{first.address, first.address, first.address, second.address, second.address} {
		if err := p.Connect(t.Context(), address); err != nil {
			t.Fatal(err)
		}
	}
	p.mu.Lock()
	kept := []int{len(p.idle[first.address]), len(p.idle[second.address])}
	p.mu.Unlock()
	if open := p.open.Load(); open != 3 || kept[0] != 1 || kept[1] != 2 {
		t.Errorf("%d connections open, %v idle", open, kept)
	}
}

// Guards against the text of callers' IDs that is kept with idle connections.
func TestRefusedIDsAreKeptByTheirHash(t *testing.T) {
	c := &conn{refused: []uint64{hashID("a")}}
	if !c.mayMix("a") || c.mayMix("b") {
		t.Error("the wrong requests may be mixed up")
	}
}
