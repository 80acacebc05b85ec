package document

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// HashSize is the length of a section hash in bytes.
const HashSize = 16

// MaxSection is the maximum size of a section's data, in bytes, so that a
// section fits into one value of the platform's key-value service.
const MaxSection = 1_000_000

// Hash identifies a section by its content: the first HashSize bytes of the
// SHA-256 of its data.
type Hash [HashSize]byte

func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// HashOf returns the hash of a section's data.
func HashOf(data []byte) Hash {
	sum := sha256.Sum256(data)
	return Hash(sum[:HashSize])
}

// Section is a part of a document that is stored and sent separately. A page is
// a section that lists other sections.
type Section struct {
	// Name is unique within a document.
	Name string
	Hash Hash
	// Data is the content of the section in JSON.
	Data []byte
}

// Ref returns a reference to the section.
func (s Section) Ref() Ref { return Ref{Name: s.Name, Hash: s.Hash} }

// Names of sections and, for those with a variable part, prefixes of names. A
// head refers to the sections whose full names are listed here; the pages among
// them refer to all others.
const (
	sectionSettings = "settings"
	sectionLinks    = "links"
	sectionCaps     = "caps"
	sectionDrains   = "drains"
	regionPrefix    = "region/"
	servicePrefix   = "service/"
	clientsPrefix   = "clients/"

	pagePrefix   = "page/"
	pageRegions  = "page/regions"
	pageServices = "page/services"
	pageClients  = "page/clients"
)

// headSections are the names of the sections that a head refers to directly.
var headSections = []string{
	sectionSettings, sectionLinks, sectionCaps, sectionDrains, pageRegions, pageServices, pageClients,
}

// IsPage reports whether a section lists other sections.
func IsPage(name string) bool { return strings.HasPrefix(name, pagePrefix) }

// isClients reports whether a section contains client blocks or is a page of
// sections that do.
func isClients(name string) bool {
	return strings.HasPrefix(name, clientsPrefix) || strings.HasPrefix(name, pageClients)
}

// Refs returns the references of a head: those to the sections that no page
// lists.
func Refs(sections []Section) []Ref {
	var out []Ref
	for _, s := range sections {
		if slices.Contains(headSections, s.Name) {
			out = append(out, s.Ref())
		}
	}
	return out
}

// Children returns the references that a page lists, and none for a section
// that is not a page.
//
// Errors: *SectionError.
func Children(s Section) ([]Ref, error) {
	if !IsPage(s.Name) {
		return nil, nil
	}
	var refs []Ref
	if err := json.Unmarshal(s.Data, &refs); err != nil {
		return nil, &SectionError{Name: s.Name, Err: err}
	}
	return refs, nil
}

type settingsSection struct {
	Weigh  Weigh  `json:"weigh"`
	Lookup Lookup `json:"lookup"`
}

// Divide splits a document into sections in a stable order. The result depends
// only on the document: equal documents have equal sections.
//
// Errors: *SectionError, including for a part that exceeds MaxSection.
func Divide(doc *Document) ([]Section, error) {
	d := new(divider)
	d.add(sectionSettings, settingsSection{Weigh: doc.Weigh, Lookup: doc.Lookup})
	d.add(sectionLinks, doc.Links)
	d.add(sectionCaps, doc.Caps)
	d.add(sectionDrains, doc.Drains)
	regions := make([]Ref, 0, len(doc.Regions))
	for _, r := range doc.Regions {
		regions = append(regions, d.add(regionPrefix+r.Name, r))
	}
	d.add(pageRegions, regions)
	services := make([]Ref, 0, len(doc.Services))
	for _, s := range doc.Services {
		services = append(services, d.add(servicePrefix+s.Name, s))
	}
	d.add(pageServices, services)
	if d.err != nil {
		return nil, d.err
	}
	clients, err := divideClients(doc.Clients)
	if err != nil {
		return nil, err
	}
	return append(d.sections, clients...), nil
}

// divider collects sections and keeps the first error.
type divider struct {
	sections []Section
	err      error
}

func (d *divider) add(name string, value any) Ref {
	s, err := newSection(name, value)
	if err != nil && d.err == nil {
		d.err = err
	}
	d.sections = append(d.sections, s)
	return s.Ref()
}

func newSection(name string, value any) (Section, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return Section{}, &SectionError{Name: name, Err: err}
	}
	if len(data) > MaxSection {
		return Section{}, &SectionError{Name: name, Err: ErrSectionSize}
	}
	return Section{Name: name, Hash: HashOf(data), Data: data}, nil
}

// SectionError is a section that cannot be written or read.
type SectionError struct {
	Name string
	Err  error
}

func (e *SectionError) Error() string { return fmt.Sprintf("section %s: %v", e.Name, e.Err) }

func (e *SectionError) Unwrap() error { return e.Err }

// Join reassembles a document from all of its sections, pages included.
//
// Errors: *SectionError for data that does not match its hash or its type.
func Join(sections []Section) (*Document, error) {
	byName := make(map[string]Section, len(sections))
	for _, s := range sections {
		if HashOf(s.Data) != s.Hash {
			return nil, &SectionError{Name: s.Name, Err: ErrHash}
		}
		byName[s.Name] = s
	}
	doc, err := joinParts(func(name string) (Section, bool) { s, ok := byName[name]; return s, ok })
	if err != nil {
		return nil, err
	}
	for _, s := range sections {
		if !strings.HasPrefix(s.Name, clientsPrefix) {
			continue
		}
		list, err := parseClients(s)
		if err != nil {
			return nil, err
		}
		doc.Clients = append(doc.Clients, list...)
	}
	slices.SortFunc(doc.Clients, func(a, b Client) int { return a.Block.Compare(b.Block.Prefix) })
	return doc, nil
}

// joinParts reassembles a document without its client blocks. Parts that find
// does not return stay empty.
func joinParts(find func(name string) (Section, bool)) (*Document, error) {
	doc := new(Document)
	var set settingsSection
	j := joiner{find: find}
	j.read(sectionSettings, &set)
	j.read(sectionLinks, &doc.Links)
	j.read(sectionCaps, &doc.Caps)
	j.read(sectionDrains, &doc.Drains)
	for _, ref := range j.children(pageRegions) {
		var r Region
		j.read(ref.Name, &r)
		doc.Regions = append(doc.Regions, r)
	}
	for _, ref := range j.children(pageServices) {
		var s Service
		j.read(ref.Name, &s)
		doc.Services = append(doc.Services, s)
	}
	doc.Weigh, doc.Lookup = set.Weigh, set.Lookup
	return doc, j.err
}

// joiner decodes sections until the first error.
type joiner struct {
	find func(name string) (Section, bool)
	err  error
}

func (j *joiner) read(name string, into any) {
	s, ok := j.find(name)
	if !ok || j.err != nil {
		return
	}
	if err := json.Unmarshal(s.Data, into); err != nil {
		j.err = &SectionError{Name: name, Err: err}
	}
}

func (j *joiner) children(page string) []Ref {
	var refs []Ref
	j.read(page, &refs)
	return refs
}

func parseHash(text string) (Hash, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != HashSize {
		return Hash{}, &ScalarError{Value: text, Expected: "a section hash"}
	}
	return Hash(raw), nil
}
