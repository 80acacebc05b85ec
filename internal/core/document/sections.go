package document

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// HashSize is the length of a section's hash in bytes.
const HashSize = 16

// Hash names a section by its content: the first HashSize bytes of the
// SHA-256 of its data.
type Hash [HashSize]byte

func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// HashOf returns the hash of a section's data.
func HashOf(data []byte) Hash {
	sum := sha256.Sum256(data)
	return Hash(sum[:HashSize])
}

// Section is a part of a document that is stored and sent on its own.
type Section struct {
	// Name is unique within a document.
	Name string
	Hash Hash
	// Data is the section's content in JSON.
	Data []byte
}

// Names of the sections. Client blocks are divided over sections named
// clientsPrefix plus a number, so that a change of one block costs one part.
const (
	sectionSettings = "settings"
	sectionPlaces   = "places"
	sectionServices = "services"
	sectionCaps     = "caps"
	sectionDrains   = "drains"
	clientsPrefix   = "clients/"
)

type settingsSection struct {
	Weigh  Weigh  `json:"weigh"`
	Lookup Lookup `json:"lookup"`
}

type placesSection struct {
	Regions []Region `json:"regions"`
	Links   []Link   `json:"links,omitempty"`
}

// clientsPerSection is the mean number of client blocks in a section.
const clientsPerSection = 128

// Divide splits a document into sections in a stable order.
func Divide(doc *Document) ([]Section, error) {
	parts := []struct {
		name  string
		value any
	}{
		{sectionSettings, settingsSection{Weigh: doc.Weigh, Lookup: doc.Lookup}},
		{sectionPlaces, placesSection{Regions: doc.Regions, Links: doc.Links}},
		{sectionServices, doc.Services},
		{sectionCaps, doc.Caps},
		{sectionDrains, doc.Drains},
	}
	out := make([]Section, 0, len(parts))
	for _, p := range parts {
		s, err := newSection(p.name, p.value)
		if err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	clients, err := divideClients(doc.Clients)
	if err != nil {
		return nil, err
	}
	return append(out, clients...), nil
}

func newSection(name string, value any) (Section, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return Section{}, &SectionError{Name: name, Err: err}
	}
	return Section{Name: name, Hash: HashOf(data), Data: data}, nil
}

// divideClients spreads client blocks by a hash of the block, so that adding a
// block changes one section. The number of sections is a power of two that
// grows with the number of blocks.
func divideClients(clients []Client) ([]Section, error) {
	count := 1
	for count*clientsPerSection < len(clients) {
		count *= 2
	}
	parts := make([][]Client, count)
	for _, c := range clients {
		h := HashOf([]byte(c.Block.String()))
		i := (int(h[0])<<16 | int(h[1])<<8 | int(h[2])) % count
		parts[i] = append(parts[i], c)
	}
	out := make([]Section, 0, count)
	for i, p := range parts {
		slices.SortFunc(p, func(a, b Client) int { return a.Block.Compare(b.Block.Prefix) })
		s, err := newSection(fmt.Sprintf("%s%05d", clientsPrefix, i), p)
		if err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	return out, nil
}

// SectionError is a section that cannot be written or read.
type SectionError struct {
	Name string
	Err  error
}

func (e *SectionError) Error() string { return fmt.Sprintf("section %s: %v", e.Name, e.Err) }

func (e *SectionError) Unwrap() error { return e.Err }

// Join puts a document together from all of its sections.
//
// Errors: *SectionError for data that does not match its hash or its type.
func Join(sections []Section) (*Document, error) {
	doc := new(Document)
	for _, s := range sections {
		if HashOf(s.Data) != s.Hash {
			return nil, &SectionError{Name: s.Name, Err: ErrHash}
		}
		if err := joinSection(doc, s); err != nil {
			return nil, &SectionError{Name: s.Name, Err: err}
		}
	}
	slices.SortFunc(doc.Clients, func(a, b Client) int { return a.Block.Compare(b.Block.Prefix) })
	return doc, nil
}

func joinSection(doc *Document, s Section) error {
	switch {
	case s.Name == sectionSettings:
		var v settingsSection
		err := json.Unmarshal(s.Data, &v)
		doc.Weigh, doc.Lookup = v.Weigh, v.Lookup
		return err
	case s.Name == sectionPlaces:
		var v placesSection
		err := json.Unmarshal(s.Data, &v)
		doc.Regions, doc.Links = v.Regions, v.Links
		return err
	case s.Name == sectionServices:
		return json.Unmarshal(s.Data, &doc.Services)
	case s.Name == sectionCaps:
		return json.Unmarshal(s.Data, &doc.Caps)
	case s.Name == sectionDrains:
		return json.Unmarshal(s.Data, &doc.Drains)
	case strings.HasPrefix(s.Name, clientsPrefix):
		var v []Client
		err := json.Unmarshal(s.Data, &v)
		doc.Clients = append(doc.Clients, v...)
		return err
	}
	return ErrSectionName
}

func parseHash(text string) (Hash, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != HashSize {
		return Hash{}, &ScalarError{Value: text, Expected: "a section hash"}
	}
	return Hash(raw), nil
}
