// Package lookup answers which entry hosts a caller should use. It is pure:
// tables are immutable and shared by all goroutines.
package lookup

import (
	"net/netip"

	"cassiatray/internal/core/document"
)

// Table finds the client block of an address.
type Table struct {
	blocks  map[netip.Prefix]*document.Client
	lengths []int // prefix lengths in use, longest first
}

// NewTable builds a table of client blocks.
func NewTable(clients []document.Client) *Table {
	t := &Table{blocks: make(map[netip.Prefix]*document.Client, len(clients))}
	var used [129]bool
	for i := range clients {
		c := &clients[i]
		t.blocks[c.Block.Prefix] = c
		used[c.Block.Bits()] = true
	}
	for bits := 128; bits >= 0; bits-- {
		if used[bits] {
			t.lengths = append(t.lengths, bits)
		}
	}
	return t
}

// Find returns the most specific block that holds an address, or nil.
func (t *Table) Find(addr netip.Addr) *document.Client {
	addr = addr.Unmap()
	for _, bits := range t.lengths {
		if bits > addr.BitLen() {
			continue
		}
		p, err := addr.Prefix(bits)
		if err != nil {
			continue
		}
		if c, ok := t.blocks[p]; ok {
			return c
		}
	}
	return nil
}
