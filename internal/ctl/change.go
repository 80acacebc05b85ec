package ctl

import (
	"errors"
	"fmt"
	"io"
	"os"

	"cassiatray/internal/core/document"
	"cassiatray/internal/envstore"
)

func readDocument(file string) (*document.Document, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &UsageError{Message: err.Error()}
	}
	return document.Parse(file, data)
}

// ValidateCmd checks a document.
type ValidateCmd struct {
	File string `arg:"" help:"Document in YAML."`
}

// Validation is the result of ValidateCmd.
type Validation struct {
	File  string `json:"file"`
	Valid bool   `json:"valid"`
}

// Run implements the command.
func (c *ValidateCmd) Run(app *App) error {
	if _, err := readDocument(c.File); err != nil {
		return err
	}
	return app.emit(Validation{File: c.File, Valid: true}, func(w io.Writer) { fmt.Fprintf(w, "%s: valid\n", c.File) })
}

// ApplyCmd puts a document in force.
type ApplyCmd struct {
	File        string `arg:"" help:"Document in YAML."`
	Environment string `help:"Environment to change." short:"e" default:"trial"`
	Expect      uint64 `help:"Refuse unless the environment is at this sequence." placeholder:"SEQ"`
	Signed
}

// Run implements the command.
func (c *ApplyCmd) Run(app *App) error {
	store, err := app.store()
	if err := errors.Join(err, c.check(), environment(c.Environment)); err != nil {
		return err
	}
	doc, err := readDocument(c.File)
	if err != nil {
		return err
	}
	out, err := store.Submit(app.Ctx, envstore.Submission{
		Environment: c.Environment, Author: c.Author, Reason: c.Reason, Document: doc, Expect: c.Expect,
	})
	if err != nil {
		return err
	}
	return app.accepted(out)
}

// PromoteCmd puts the sections of one environment in force in another.
type PromoteCmd struct {
	From   string `help:"Environment to take the document from." default:"trial"`
	To     string `help:"Environment to change." default:"production"`
	Expect uint64 `help:"Refuse unless the environment to take from is still at this sequence." placeholder:"SEQ"`
	Signed
}

// Run implements the command.
func (c *PromoteCmd) Run(app *App) error {
	store, err := app.store()
	if err := errors.Join(err, c.check(), environment(c.From), environment(c.To)); err != nil {
		return err
	}
	out, err := store.Promote(app.Ctx, envstore.Promotion{
		From: c.From, To: c.To, Author: c.Author, Reason: c.Reason, Expect: c.Expect,
	})
	if err != nil {
		return err
	}
	return app.accepted(out)
}

// RollbackCmd puts an earlier change in force again.
type RollbackCmd struct {
	Environment string `arg:"" help:"Environment to change."`
	Change      string `arg:"" help:"Sequence or ID of the earlier change."`
	Signed
}

// Run implements the command.
func (c *RollbackCmd) Run(app *App) error {
	store, err := app.store()
	if err := errors.Join(err, c.check(), environment(c.Environment)); err != nil {
		return err
	}
	out, err := store.Rollback(app.Ctx, envstore.Reversal{
		Environment: c.Environment, Change: c.Change, Author: c.Author, Reason: c.Reason,
	})
	if err != nil {
		return err
	}
	return app.accepted(out)
}

// CollectCmd bounds the history.
type CollectCmd struct {
	Keep int `help:"Changes to keep of each environment." default:"500"`
}

// Run implements the command.
func (c *CollectCmd) Run(app *App) error {
	store, err := app.store()
	if err != nil {
		return err
	}
	out, err := store.Collect(app.Ctx, c.Keep)
	if err != nil {
		return err
	}
	return app.emit(out, func(w io.Writer) {
		fmt.Fprintf(w, "kept %d changes and %d sections, deleted %d changes and %d sections\n",
			out.KeptChanges, out.KeptSections, out.DeletedChanges, out.DeletedSections)
	})
}
