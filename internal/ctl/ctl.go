// Package ctl is the command line of operators. Every command reads and moves
// environment documents through the platform's key-value service; none touches
// an entry host, except to read its state.
package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os/user"
	"strings"
	"time"

	"cassiatray/internal/adapter/platform"
	"cassiatray/internal/core/document"
	"cassiatray/internal/envstore"
	"cassiatray/internal/port"
)

// callTimeout bounds one call to the platform or to a host.
const callTimeout = 5 * time.Second

// Output is the form of a command's output.
type Output string

// Values of Output.
const (
	OutputText Output = "text"
	OutputJSON Output = "json"
)

// CLI is the command line.
type CLI struct {
	Platform string `help:"Address of the platform's key-value service." env:"CASSIATRAY_PLATFORM" placeholder:"IP:PORT"`
	Output   Output `help:"Form of the output: text, or json for scripts." short:"o" enum:"text,json" default:"text"`

	Validate ValidateCmd    `cmd:"" help:"Check a document."`
	Diff     DiffCmd        `cmd:"" help:"Tell in plain words what a change does."`
	Apply    ApplyCmd       `cmd:"" help:"Put a document in force in an environment."`
	Promote  PromoteCmd     `cmd:"" help:"Put the sections of one environment in force in another."`
	Rollback RollbackCmd    `cmd:"" help:"Put an earlier change in force again, as a new step forward."`
	Show     ShowCmd        `cmd:"" help:"Show an environment's document, its head or one change."`
	History  HistoryCmd     `cmd:"" help:"List the changes of an environment, newest first."`
	Status   StatusCmd      `cmd:"" help:"Show what each failure domain and host has in force."`
	Explain  ExplainCmd     `cmd:"" help:"Tell why a client gets the answer it gets."`
	Suspects SuspectsCmd    `cmd:"" help:"List requests suspected of crashing servers."`
	Dump     DumpCmd        `cmd:"" help:"Print the whole state of one process."`
	Check    CheckConfigCmd `cmd:"" name:"check-config" help:"Check a routing configuration of gateways, and tell what it changes."`
	Collect  CollectCmd     `cmd:"" help:"Bound the history and delete what nothing refers to."`
}

// App is what commands run with.
type App struct {
	Ctx   context.Context
	Out   io.Writer
	Form  Output
	Clock port.Clock
	// Store is nil when no platform is given.
	Store *envstore.Store
	// Schema decodes routing configurations in the platform's format.
	Schema port.Schema
}

// NewApp returns an App for a parsed command line.
func NewApp(ctx context.Context, cli *CLI, out io.Writer) *App {
	app := &App{Out: out, Ctx: ctx, Form: cli.Output, Clock: port.SystemClock{}}
	if cli.Platform != "" {
		app.Store = envstore.New(platform.New(cli.Platform, callTimeout).Named("cassiatrayctl"), app.Clock)
	}
	return app
}

// store returns the store, or an error when no platform is given.
func (app *App) store() (*envstore.Store, error) {
	if app.Store == nil {
		return nil, &UsageError{Message: "no platform: set --platform or CASSIATRAY_PLATFORM to its address"}
	}
	return app.Store, nil
}

// emit writes a result as JSON or by text.
func (app *App) emit(value any, text func(io.Writer)) error {
	if app.Form == OutputJSON {
		enc := json.NewEncoder(app.Out)
		enc.SetIndent("", "  ")
		return enc.Encode(value)
	}
	text(app.Out)
	return nil
}

// Signed are the flags of every command that makes a change.
type Signed struct {
	Reason string `help:"Why the change is made." short:"r" required:""`
	Author string `help:"Who makes the change; the user of this host when not given." env:"CASSIATRAY_AUTHOR"`
}

// check refuses a blank reason and fills in the author.
func (s *Signed) check() error {
	if strings.TrimSpace(s.Reason) == "" {
		return &UsageError{Message: "--reason: expected some words on why the change is made"}
	}
	if s.Author != "" {
		return nil
	}
	s.Author = "unknown"
	if u, err := user.Current(); err == nil {
		s.Author = u.Username
	}
	return nil
}

// environment refuses a text that cannot name an environment.
func environment(name string) error {
	if document.ValidName(name) {
		return nil
	}
	return &UsageError{Message: fmt.Sprintf("environment %q: expected lower-case letters, digits, dots, dashes and underscores", name)}
}

// accepted shows a change in force.
func (app *App) accepted(a envstore.Accepted) error {
	return app.emit(a, func(w io.Writer) {
		h := a.Head
		fmt.Fprintf(w, "%s: change %s accepted as sequence %d\n", h.Environment, h.ChangeID, h.Sequence)
		writeEffects(w, a.Effects)
	})
}

func writeEffects(w io.Writer, effects []document.Effect) {
	for _, e := range effects {
		fmt.Fprintf(w, "  %-6s %s\n", e.Severity, e.Text)
	}
}
