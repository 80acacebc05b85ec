package document

import (
	"cmp"
	"slices"
)

// Severity ranks effects by how much traffic they affect.
type Severity string

// Values of Severity, most important first.
const (
	// SeverityHigh marks effects that move traffic or change where it may go.
	SeverityHigh Severity = "high"
	// SeverityMedium marks effects on how single requests are handled.
	SeverityMedium Severity = "medium"
	// SeverityLow marks all other effects.
	SeverityLow Severity = "low"
)

func (s Severity) rank() int {
	return slices.Index([]Severity{SeverityHigh, SeverityMedium, SeverityLow}, s)
}

// EffectKind is the part of a document that an effect results from.
type EffectKind string

// Values of EffectKind, in the order in which effects are shown.
const (
	EffectWeigh    EffectKind = "weigh"
	EffectDrain    EffectKind = "drain"
	EffectCap      EffectKind = "cap"
	EffectClient   EffectKind = "client"
	EffectTopology EffectKind = "place"
	EffectService  EffectKind = "service"
	EffectServer   EffectKind = "server"
	EffectClass    EffectKind = "class"
	EffectLink     EffectKind = "link"
	EffectLookup   EffectKind = "lookup"
	EffectOrder    EffectKind = "order"
)

var kindOrder = []EffectKind{
	EffectWeigh, EffectDrain, EffectCap, EffectClient, EffectTopology, EffectService, EffectServer, EffectClass,
	EffectLink, EffectLookup, EffectOrder,
}

// Effect is one consequence of a change, described in a sentence that does not
// assume technical knowledge.
type Effect struct {
	Kind     EffectKind `json:"kind"`
	Severity Severity   `json:"severity"`
	Text     string     `json:"text"`
}

// sortEffects sorts effects by severity, then by kind. Equal ones stay in the
// order of the document.
func sortEffects(list []Effect) {
	slices.SortStableFunc(list, func(a, b Effect) int {
		return cmp.Or(
			cmp.Compare(a.Severity.rank(), b.Severity.rank()),
			cmp.Compare(slices.Index(kindOrder, a.Kind), slices.Index(kindOrder, b.Kind)),
		)
	})
}

// maxTexts is the maximum number of effects that are described in a change.
const maxTexts = 200

// Texts returns the sentences of effects for Change.Diff. It keeps the first
// maxTexts of the sorted list and adds a sentence that counts the rest.
func Texts(list []Effect) []string {
	out := make([]string, 0, min(len(list), maxTexts+1))
	for _, e := range list[:min(len(list), maxTexts)] {
		out = append(out, e.Text)
	}
	if rest := len(list) - len(out); rest > 0 {
		out = append(out, "And "+countText(rest, "further effect")+".")
	}
	return out
}
