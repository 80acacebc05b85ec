package document

import "time"

// Ref identifies a section of an accepted document.
type Ref struct {
	Name string `json:"name"`
	Hash Hash   `json:"hash"`
}

// MarshalText encodes the hash in hexadecimal.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText decodes a hash in hexadecimal.
func (h *Hash) UnmarshalText(text []byte) error {
	v, err := parseHash(string(text))
	if err != nil {
		return err
	}
	*h = v
	return nil
}

// Head describes the current state of an environment: the last accepted change
// and its sections. Sequence increases by one with each accepted change and
// orders the heads of an environment; a process never replaces a head with one
// of a lower sequence.
type Head struct {
	Environment string    `json:"environment"`
	Sequence    uint64    `json:"sequence"`
	ChangeID    string    `json:"changeId"`
	Accepted    time.Time `json:"accepted"`
	// Sections are the roots of the section tree: the sections that no page
	// lists.
	Sections []Ref `json:"sections"`
	// Deltas are the most recent changes up to this head, oldest first and
	// without gaps, as long as they are small. A reader that is a few changes
	// behind applies them instead of reading sections.
	Deltas []Delta `json:"deltas,omitempty"`
}

// Change records who moved an environment to a new head, and why.
type Change struct {
	ID          string `json:"id"`
	Environment string `json:"environment"`
	Sequence    uint64 `json:"sequence"`
	// Parent is the ID of the previous change; empty for the first.
	Parent string    `json:"parent,omitempty"`
	Author string    `json:"author"`
	Reason string    `json:"reason"`
	Time   time.Time `json:"time"`
	// From is the source of the change: "file", an environment at a sequence
	// ("trial@12") for a promotion, or a change ID for a rollback.
	From string `json:"from"`
	// Diff describes the change in plain language, one line for each effect.
	Diff     []string `json:"diff"`
	Sections []Ref    `json:"sections"`
}
