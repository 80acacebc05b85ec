// Package fetch gets and serves sections of documents between processes.
package fetch

import (
	"context"
	"time"

	"cassiatray/internal/convert"
	"cassiatray/internal/core/document"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

// Limits of one exchange.
const (
	// maxRefs bounds the sections asked for at once.
	maxRefs = 256
	// maxBytes bounds the data of an answer, but for its first section.
	maxBytes = 1 << 20
	// callTime bounds one exchange.
	callTime = 5 * time.Second
)

// Sections gets sections from the process at an address. It returns fewer than
// asked for when the other does not have all.
//
// Errors: *port.PeerError, *convert.MessageError, *document.SectionError.
func Sections(ctx context.Context, peers port.PeerCaller, address string, refs []document.Ref) ([]document.Section, error) {
	var out []document.Section
	for len(refs) > 0 {
		batch := refs[:min(len(refs), maxRefs)]
		got, err := once(ctx, peers, address, batch)
		if err != nil {
			return nil, err
		}
		if len(got) == 0 {
			return out, nil
		}
		out = append(out, got...)
		refs = without(refs, got)
	}
	return out, nil
}

func without(refs []document.Ref, got []document.Section) []document.Ref {
	have := make(map[document.Hash]bool, len(got))
	for _, s := range got {
		have[s.Hash] = true
	}
	out := make([]document.Ref, 0, len(refs))
	for _, ref := range refs {
		if !have[ref.Hash] {
			out = append(out, ref)
		}
	}
	return out
}

func once(ctx context.Context, peers port.PeerCaller, address string, refs []document.Ref) ([]document.Section, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	body := new(peerv1.FetchSections)
	names := make(map[document.Hash]string, len(refs))
	for _, ref := range refs {
		body.Hashes = append(body.Hashes, ref.Hash[:])
		names[ref.Hash] = ref.Name
	}
	reply, err := peers.Call(ctx, address, &peerv1.Request{Body: &peerv1.Request_FetchSections{FetchSections: body}})
	if err != nil {
		return nil, err
	}
	sections, err := convert.Sections(reply.GetSectionSet().GetSections())
	if err != nil {
		return nil, err
	}
	out := sections[:0]
	for _, s := range sections {
		if name, ok := names[s.Hash]; ok {
			s.Name = name
			out = append(out, s)
		}
	}
	return out, nil
}

// Serve answers a request for sections with as many as fit one answer.
func Serve(f *peerv1.FetchSections, find func(document.Hash) (document.Section, bool)) *peerv1.Reply {
	var sections []document.Section
	size := 0
	for _, raw := range f.GetHashes()[:min(len(f.GetHashes()), maxRefs)] {
		if len(raw) != document.HashSize {
			continue
		}
		s, ok := find(document.Hash(raw))
		if !ok {
			continue
		}
		size += len(s.Data)
		if size > maxBytes && len(sections) > 0 {
			break
		}
		sections = append(sections, s)
	}
	set := &peerv1.SectionSet{Sections: convert.SectionMessages(sections)}
	return &peerv1.Reply{Body: &peerv1.Reply_SectionSet{SectionSet: set}}
}
