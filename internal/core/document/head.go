package document

import "time"

// Ref names a section of an accepted document.
type Ref struct {
	Name string `json:"name"`
	Hash Hash   `json:"hash"`
}

// MarshalText writes the hash in hexadecimal.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText reads a hash in hexadecimal.
func (h *Hash) UnmarshalText(text []byte) error {
	v, err := parseHash(string(text))
	if err != nil {
		return err
	}
	*h = v
	return nil
}

// Head names the state of an environment that is in force: one accepted
// change and its sections. Sequence grows by one with each accepted change and
// orders heads of one environment; a process never replaces a head by one with
// a lower sequence.
type Head struct {
	Environment string    `json:"environment"`
	Sequence    uint64    `json:"sequence"`
	ChangeID    string    `json:"changeId"`
	Accepted    time.Time `json:"accepted"`
	// Sections are the top of the tree of sections: those that no page lists.
	Sections []Ref `json:"sections"`
	// Deltas are the newest changes up to this head, oldest first, without a
	// gap, as far as they are small. They save a reader that is a few changes
	// behind from reading sections.
	Deltas []Delta `json:"deltas,omitempty"`
}

// Change records why and by whom an environment was moved to a new head.
type Change struct {
	ID          string `json:"id"`
	Environment string `json:"environment"`
	Sequence    uint64 `json:"sequence"`
	// Parent is the ID of the change before; empty for the first.
	Parent string    `json:"parent,omitempty"`
	Author string    `json:"author"`
	Reason string    `json:"reason"`
	Time   time.Time `json:"time"`
	// From names what the change was taken from: "file", an environment
	// ("trial@12") for a promotion, or a change ID for a rollback.
	From string `json:"from"`
	// Diff is the change in plain words, one line for each effect.
	Diff     []string `json:"diff"`
	Sections []Ref    `json:"sections"`
}
