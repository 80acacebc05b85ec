package document

import (
	"cmp"
	"slices"
)

// Severity orders effects by how much traffic they touch.
type Severity string

// Values of Severity, most important first.
const (
	// SeverityHigh moves traffic or changes what may carry it.
	SeverityHigh Severity = "high"
	// SeverityMedium changes how single requests are handled.
	SeverityMedium Severity = "medium"
	// SeverityLow changes neither.
	SeverityLow Severity = "low"
)

func (s Severity) rank() int {
	return slices.Index([]Severity{SeverityHigh, SeverityMedium, SeverityLow}, s)
}

// EffectKind is the part of a document that an effect comes from.
type EffectKind string

// Values of EffectKind, in the order in which effects are shown.
const (
	EffectWeigh   EffectKind = "weigh"
	EffectDrain   EffectKind = "drain"
	EffectCap     EffectKind = "cap"
	EffectClient  EffectKind = "client"
	EffectPlace   EffectKind = "place"
	EffectService EffectKind = "service"
	EffectServer  EffectKind = "server"
	EffectClass   EffectKind = "class"
	EffectLink    EffectKind = "link"
	EffectLookup  EffectKind = "lookup"
	EffectOrder   EffectKind = "order"
)

var kindOrder = []EffectKind{
	EffectWeigh, EffectDrain, EffectCap, EffectClient, EffectPlace, EffectService, EffectServer, EffectClass,
	EffectLink, EffectLookup, EffectOrder,
}

// Effect is one consequence of a change, in a sentence for a reader who is no
// engineer.
type Effect struct {
	Kind     EffectKind `json:"kind"`
	Severity Severity   `json:"severity"`
	Text     string     `json:"text"`
}

// sortEffects orders effects by severity, then kind; equals keep the order of
// the document.
func sortEffects(list []Effect) {
	slices.SortStableFunc(list, func(a, b Effect) int {
		return cmp.Or(
			cmp.Compare(a.Severity.rank(), b.Severity.rank()),
			cmp.Compare(slices.Index(kindOrder, a.Kind), slices.Index(kindOrder, b.Kind)),
		)
	})
}

// maxTexts bounds the sentences that a change keeps.
const maxTexts = 200

// Texts returns the sentences of effects, for Change.Diff. It keeps the most
// important ones and says how many it leaves out.
func Texts(list []Effect) []string {
	out := make([]string, 0, min(len(list), maxTexts+1))
	for _, e := range list[:min(len(list), maxTexts)] {
		out = append(out, e.Text)
	}
	if rest := len(list) - len(out); rest > 0 {
		out = append(out, "And "+count(rest, "further effect")+".")
	}
	return out
}
