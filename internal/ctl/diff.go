package ctl

import (
	"errors"
	"fmt"
	"io"
	"slices"

	"cassiatray/internal/core/document"
	"cassiatray/internal/envstore"
)

// DiffCmd tells what a change does.
type DiffCmd struct {
	File        string `arg:"" optional:"" help:"Document in YAML; without it, another environment is compared."`
	Environment string `help:"Environment that would change." short:"e" default:"production"`
	From        string `help:"Environment to take the document from, when no file is given." default:"trial"`
}

// Difference is the result of DiffCmd.
type Difference struct {
	Environment string `json:"environment"`
	// Sequence is that of the environment that would change.
	Sequence uint64 `json:"sequence"`
	// From is a file or an environment, and FromSequence the latter's sequence:
	// the value for promote --expect.
	From         string            `json:"from"`
	FromSequence uint64            `json:"fromSequence,omitempty"`
	Effects      []document.Effect `json:"effects"`
}

// Run implements the command.
func (c *DiffCmd) Run(app *App) error {
	store, err := app.store()
	if err := errors.Join(err, environment(c.Environment), environment(c.From)); err != nil {
		return err
	}
	base, _, err := store.Head(app.Ctx, c.Environment)
	if err != nil {
		return err
	}
	next, sections, err := c.next(app, store)
	if err != nil {
		return err
	}
	out := Difference{Environment: c.Environment, Sequence: base.Sequence, From: c.File, FromSequence: next.Sequence, Effects: []document.Effect{}}
	if c.File == "" {
		out.From = c.From
	}
	if !slices.Equal(base.Sections, next.Sections) {
		out.Effects, err = store.Effects(app.Ctx, base.Sections, next.Sections, sections)
	}
	if err != nil {
		return err
	}
	return app.emit(out, out.write)
}

// next returns the head that would be in force, and sections at hand.
func (c *DiffCmd) next(app *App, store *envstore.Store) (document.Head, []document.Section, error) {
	if c.File == "" {
		h, _, err := store.Head(app.Ctx, c.From)
		if err == nil && h.Sequence == 0 {
			err = &envstore.EmptyError{Environment: c.From}
		}
		return h, nil, err
	}
	doc, err := readDocument(c.File)
	if err != nil {
		return document.Head{}, nil, err
	}
	sections, err := document.Divide(doc)
	return document.Head{Sections: document.Refs(sections)}, sections, err
}

func (d Difference) write(w io.Writer) {
	from := d.From
	if d.FromSequence > 0 {
		from = fmt.Sprintf("%s at sequence %d", d.From, d.FromSequence)
	}
	if len(d.Effects) == 0 {
		fmt.Fprintf(w, "%s at sequence %d already runs %s\n", d.Environment, d.Sequence, from)
		return
	}
	fmt.Fprintf(w, "%s at sequence %d would take %s:\n", d.Environment, d.Sequence, from)
	writeEffects(w, d.Effects)
}
