// Package convert translates between the types of the core and the messages
// that processes exchange.
package convert

import (
	"fmt"
	"net/netip"
	"time"

	"cassiatray/internal/core/document"
	peerv1 "cassiatray/proto/peer/v1"
)

// MessageError is a message that is not well formed.
type MessageError struct {
	Field string
	Got   string
}

func (e *MessageError) Error() string { return fmt.Sprintf("bad message: %s: %s", e.Field, e.Got) }

// HeadMessage returns the message of a head.
func HeadMessage(h document.Head) *peerv1.Head {
	out := &peerv1.Head{
		Environment: h.Environment, Sequence: h.Sequence, ChangeId: h.ChangeID,
		AcceptedUnixMicros: h.Accepted.UnixMicro(), Sections: make([]*peerv1.SectionRef, 0, len(h.Sections)),
	}
	for _, ref := range h.Sections {
		out.Sections = append(out.Sections, refMessage(ref))
	}
	return out
}

// Head reads a head from its message.
//
// Errors: *MessageError.
func Head(m *peerv1.Head) (document.Head, error) {
	h := document.Head{
		Environment: m.Environment, Sequence: m.Sequence, ChangeID: m.ChangeId,
		Accepted: time.UnixMicro(m.AcceptedUnixMicros).UTC(), Sections: make([]document.Ref, 0, len(m.Sections)),
	}
	for _, rm := range m.Sections {
		ref, err := ref(rm)
		if err != nil {
			return document.Head{}, err
		}
		h.Sections = append(h.Sections, ref)
	}
	return h, nil
}

func refMessage(ref document.Ref) *peerv1.SectionRef {
	return &peerv1.SectionRef{Name: ref.Name, Hash: ref.Hash[:]}
}

func ref(m *peerv1.SectionRef) (document.Ref, error) {
	if len(m.GetHash()) != document.HashSize {
		return document.Ref{}, &MessageError{Field: "section hash", Got: fmt.Sprintf("%d bytes", len(m.GetHash()))}
	}
	return document.Ref{Name: m.Name, Hash: document.Hash(m.Hash)}, nil
}

// Update reads the head and the delta, if any, of an update that has a head.
//
// Errors: *MessageError, *document.SectionError.
func Update(m *peerv1.Update) (document.Head, *document.Delta, error) {
	h, err := Head(m.Head)
	if err != nil || m.Delta == nil {
		return h, nil, err
	}
	d, err := Delta(m.Delta)
	return h, &d, err
}

// UpdateMessage returns the message of a head and the delta to it, which may
// be nil.
func UpdateMessage(h document.Head, d *document.Delta) *peerv1.Update {
	out := &peerv1.Update{Head: HeadMessage(h)}
	if d != nil {
		out.Delta = DeltaMessage(*d)
	}
	return out
}

// maxDeltaItems bounds the client blocks of a delta message.
const maxDeltaItems = 1 << 17

// DeltaMessage returns the message of a delta.
func DeltaMessage(d document.Delta) *peerv1.Delta {
	out := &peerv1.Delta{Base: d.Base, Parts: SectionMessages(d.Parts)}
	for _, c := range d.Set {
		out.Set = append(out.Set, &peerv1.ClientBlock{Block: blockBytes(c.Block), Regions: c.Regions})
	}
	for _, p := range d.Removed {
		out.Removed = append(out.Removed, blockBytes(p))
	}
	return out
}

// Delta reads a delta from its message.
//
// Errors: *MessageError, *document.SectionError.
func Delta(m *peerv1.Delta) (document.Delta, error) {
	if n := len(m.Set) + len(m.Removed); n > maxDeltaItems {
		return document.Delta{}, &MessageError{Field: "delta", Got: fmt.Sprintf("%d blocks", n)}
	}
	parts, err := Sections(m.Parts)
	if err != nil {
		return document.Delta{}, err
	}
	out := document.Delta{Base: m.Base, Parts: parts}
	for _, c := range m.Set {
		p, err := block(c.GetBlock())
		if err != nil {
			return document.Delta{}, err
		}
		out.Set = append(out.Set, document.Client{Block: p, Regions: c.GetRegions()})
	}
	for _, raw := range m.Removed {
		p, err := block(raw)
		if err != nil {
			return document.Delta{}, err
		}
		out.Removed = append(out.Removed, p)
	}
	return out, nil
}

func blockBytes(p document.Prefix) []byte {
	return append(p.Addr().AsSlice(), byte(p.Bits()))
}

func block(raw []byte) (document.Prefix, error) {
	bad := &MessageError{Field: "client block", Got: fmt.Sprintf("%x", raw)}
	if len(raw) == 0 {
		return document.Prefix{}, bad
	}
	addr, ok := netip.AddrFromSlice(raw[:len(raw)-1])
	if !ok {
		return document.Prefix{}, bad
	}
	p := netip.PrefixFrom(addr, int(raw[len(raw)-1]))
	if !p.IsValid() || p != p.Masked() {
		return document.Prefix{}, bad
	}
	return document.Prefix{Prefix: p}, nil
}

// SectionMessages returns the messages of sections.
func SectionMessages(sections []document.Section) []*peerv1.Section {
	out := make([]*peerv1.Section, 0, len(sections))
	for _, s := range sections {
		out = append(out, &peerv1.Section{Ref: refMessage(document.Ref{Name: s.Name, Hash: s.Hash}), Data: s.Data})
	}
	return out
}

// Sections reads sections from their messages and checks their hashes.
//
// Errors: *MessageError, *document.SectionError.
func Sections(list []*peerv1.Section) ([]document.Section, error) {
	out := make([]document.Section, 0, len(list))
	for _, m := range list {
		ref, err := ref(m.GetRef())
		if err != nil {
			return nil, err
		}
		if document.HashOf(m.Data) != ref.Hash {
			return nil, &document.SectionError{Name: ref.Name, Err: document.ErrHash}
		}
		out = append(out, document.Section{Name: ref.Name, Hash: ref.Hash, Data: m.Data})
	}
	return out, nil
}
