// Package convert translates between the types of the core and the messages
// that processes exchange.
package convert

import (
	"fmt"
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
