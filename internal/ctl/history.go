package ctl

import (
	"errors"
	"fmt"
	"io"
	"time"

	"go.yaml.in/yaml/v3"

	"cassiatray/internal/core/document"
	"cassiatray/internal/envstore"
)

// HistoryCmd lists changes.
type HistoryCmd struct {
	Environment string `arg:"" default:"production" help:"Environment to list."`
	Limit       int    `help:"Most changes to list." default:"20"`
}

// Run implements the command.
func (c *HistoryCmd) Run(app *App) error {
	store, err := app.store()
	if err := errors.Join(err, environment(c.Environment)); err != nil {
		return err
	}
	changes, err := store.History(app.Ctx, c.Environment, max(1, c.Limit))
	if err != nil {
		return err
	}
	return app.emit(append([]document.Change{}, changes...), func(w io.Writer) {
		for _, ch := range changes {
			fmt.Fprintf(w, "%d  %s  %s  %s  from %s: %s\n",
				ch.Sequence, ch.ID, ch.Time.Format(time.RFC3339), ch.Author, ch.From, ch.Reason)
		}
	})
}

// ShowCmd shows an environment.
type ShowCmd struct {
	Environment string `arg:"" default:"production" help:"Environment to show."`
	Document    bool   `help:"Show the whole document in YAML." xor:"what"`
	Change      string `help:"Show one change, by sequence or ID." placeholder:"CHANGE" xor:"what"`
}

// Run implements the command.
func (c *ShowCmd) Run(app *App) error {
	store, err := app.store()
	if err := errors.Join(err, environment(c.Environment)); err != nil {
		return err
	}
	if c.Change != "" {
		return c.showChange(app, store)
	}
	head, _, err := store.Head(app.Ctx, c.Environment)
	if err != nil {
		return err
	}
	if head.Sequence == 0 {
		return &envstore.EmptyError{Environment: c.Environment}
	}
	if c.Document {
		return showDocument(app, store, head)
	}
	return app.emit(head, func(w io.Writer) {
		fmt.Fprintf(w, "%s: sequence %d, change %s, accepted %s\n",
			head.Environment, head.Sequence, head.ChangeID, head.Accepted.Format(time.RFC3339))
	})
}

func showDocument(app *App, store *envstore.Store, head document.Head) error {
	doc, err := store.Document(app.Ctx, head.Sections)
	if err != nil {
		return err
	}
	data, err := yaml.Marshal(doc)
	if err != nil {
		return err
	}
	return app.emit(doc, func(w io.Writer) { w.Write(data) })
}

func (c *ShowCmd) showChange(app *App, store *envstore.Store) error {
	ch, err := store.Find(app.Ctx, c.Environment, c.Change)
	if err != nil {
		return err
	}
	return app.emit(ch, func(w io.Writer) {
		fmt.Fprintf(w, "%s: change %s, sequence %d after %s\n", ch.Environment, ch.ID, ch.Sequence, orNone(ch.Parent))
		fmt.Fprintf(w, "  by %s at %s, from %s: %s\n", ch.Author, ch.Time.Format(time.RFC3339), ch.From, ch.Reason)
		for _, line := range ch.Diff {
			fmt.Fprintf(w, "  %s\n", line)
		}
	})
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
