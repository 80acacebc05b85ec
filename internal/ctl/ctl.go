// Package ctl is the command line of operators. Every command reads and moves
// environment documents through the platform's key-value service; none touches
// an entry host, except to read its state.
package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/user"
	"time"

	"cassiatray/internal/adapter/platform"
	"cassiatray/internal/core/document"
	"cassiatray/internal/daemon/steer"
	"cassiatray/internal/envstore"
	"cassiatray/internal/port"
)

// Exit statuses of the command line.
const (
	ExitOK          = 0
	ExitFailure     = 1
	ExitInvalid     = 2
	ExitConflict    = 3
	ExitUnavailable = 4
)

// callTimeout bounds one call to the platform or to a host.
const callTimeout = 5 * time.Second

// CLI is the command line.
type CLI struct {
	Platform string `help:"Address of the platform's key-value service." env:"CASSIATRAY_PLATFORM" placeholder:"IP:PORT"`

	Validate ValidateCmd `cmd:"" help:"Check a document."`
	Apply    ApplyCmd    `cmd:"" help:"Put a document in force in an environment."`
	Promote  PromoteCmd  `cmd:"" help:"Put the document of one environment in force in another."`
	Show     ShowCmd     `cmd:"" help:"Show the head of an environment."`
	History  HistoryCmd  `cmd:"" help:"List the changes of an environment, newest first."`
	Status   StatusCmd   `cmd:"" help:"Show what each host has in force."`
}

// App is what commands run with.
type App struct {
	Out   io.Writer
	Store *envstore.Store
	Ctx   context.Context
}

// NewApp returns an App on the platform of a command line.
func NewApp(ctx context.Context, cli *CLI, out io.Writer) *App {
	return &App{Out: out, Ctx: ctx, Store: envstore.New(platform.New(cli.Platform, callTimeout), port.SystemClock{})}
}

// ExitCode returns the exit status for the error of a command.
func ExitCode(err error) int {
	var invalid *document.InvalidError
	var conflict *envstore.ConflictError
	var store *port.StoreError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &invalid):
		return ExitInvalid
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &store) && store.Code == port.StoreUnavailable:
		return ExitUnavailable
	}
	return ExitFailure
}

func readDocument(file string) (*document.Document, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return document.Parse(file, data)
}

func author() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// ValidateCmd checks a document.
type ValidateCmd struct {
	File string `arg:"" help:"Document in YAML."`
}

// Run implements the command.
func (c *ValidateCmd) Run(app *App) error {
	if _, err := readDocument(c.File); err != nil {
		return err
	}
	fmt.Fprintf(app.Out, "%s: valid\n", c.File)
	return nil
}

// ApplyCmd puts a document in force.
type ApplyCmd struct {
	File        string `arg:"" help:"Document in YAML."`
	Environment string `help:"Environment to change." short:"e" default:"trial"`
	Reason      string `help:"Why the change is made." short:"r" required:""`
}

// Run implements the command.
func (c *ApplyCmd) Run(app *App) error {
	doc, err := readDocument(c.File)
	if err != nil {
		return err
	}
	sections, err := document.Divide(doc)
	if err != nil {
		return err
	}
	base, _, err := app.Store.Head(app.Ctx, c.Environment)
	if err != nil {
		return err
	}
	return app.propose(envstore.Proposal{
		Environment: c.Environment, Base: base, Author: author(), Reason: c.Reason, From: "file", Sections: sections,
	})
}

func (app *App) propose(p envstore.Proposal) error {
	head, err := app.Store.Apply(app.Ctx, p)
	if err != nil {
		return err
	}
	fmt.Fprintf(app.Out, "%s: change %s accepted as sequence %d\n", head.Environment, head.ChangeID, head.Sequence)
	return nil
}

// PromoteCmd puts the sections of one environment in force in another.
type PromoteCmd struct {
	From   string `help:"Environment to take the document from." default:"trial"`
	To     string `help:"Environment to change." default:"production"`
	Reason string `help:"Why the change is made." short:"r" required:""`
}

// Run implements the command.
func (c *PromoteCmd) Run(app *App) error {
	from, _, err := app.Store.Head(app.Ctx, c.From)
	if err != nil {
		return err
	}
	if from.Sequence == 0 {
		return &EmptyError{Environment: c.From}
	}
	base, _, err := app.Store.Head(app.Ctx, c.To)
	if err != nil {
		return err
	}
	sections, err := app.Store.Sections(app.Ctx, from.Sections)
	if err != nil {
		return err
	}
	return app.propose(envstore.Proposal{
		Environment: c.To, Base: base, Author: author(), Reason: c.Reason,
		From: fmt.Sprintf("%s@%d", c.From, from.Sequence), Sections: sections,
	})
}

// EmptyError is an environment that has no document.
type EmptyError struct{ Environment string }

func (e *EmptyError) Error() string {
	return fmt.Sprintf("environment %s has no document", e.Environment)
}

// ShowCmd shows the head of an environment.
type ShowCmd struct {
	Environment string `arg:"" default:"production" help:"Environment to show."`
}

// Run implements the command.
func (c *ShowCmd) Run(app *App) error {
	head, _, err := app.Store.Head(app.Ctx, c.Environment)
	if err != nil {
		return err
	}
	return app.writeJSON(head)
}

func (app *App) writeJSON(value any) error {
	enc := json.NewEncoder(app.Out)
	enc.SetIndent("", "  ")
	return enc.Encode(value)
}

// HistoryCmd lists changes.
type HistoryCmd struct {
	Environment string `arg:"" default:"production" help:"Environment to list."`
	Limit       int    `help:"Most changes to list." default:"20"`
}

// Run implements the command.
func (c *HistoryCmd) Run(app *App) error {
	head, _, err := app.Store.Head(app.Ctx, c.Environment)
	if err != nil {
		return err
	}
	for id := head.ChangeID; id != "" && c.Limit > 0; c.Limit-- {
		change, err := app.Store.Change(app.Ctx, c.Environment, id)
		if err != nil {
			return err
		}
		fmt.Fprintf(app.Out, "%d  %s  %s  from %s: %s\n",
			change.Sequence, change.Time.Format(time.RFC3339), change.Author, change.From, change.Reason)
		id = change.Parent
	}
	return nil
}

// StatusCmd shows what each host has in force.
type StatusCmd struct {
	Environment string   `help:"Environment to show." short:"e" default:"production"`
	Operators   []string `arg:"" help:"Operator addresses of steer processes to ask." placeholder:"IP:PORT"`
}

// Run implements the command.
func (c *StatusCmd) Run(app *App) error {
	head, _, err := app.Store.Head(app.Ctx, c.Environment)
	if err != nil {
		return err
	}
	fmt.Fprintf(app.Out, "%s: sequence %d accepted %s\n", c.Environment, head.Sequence, head.Accepted.Format(time.RFC3339))
	for _, address := range c.Operators {
		state, err := fetchState(app.Ctx, address)
		if err != nil {
			fmt.Fprintf(app.Out, "  %s  unreachable: %v\n", address, err)
			continue
		}
		fmt.Fprintf(app.Out, "  %s  %s  lead %s  steer at %d  entry at %d\n",
			state.Domain, state.Host, state.Lead, state.Self.SteerSequence, state.Self.EntrySequence)
	}
	return nil
}

func fetchState(ctx context.Context, address string) (*steer.State, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/dump", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	out := new(steer.State)
	return out, json.NewDecoder(resp.Body).Decode(out)
}
