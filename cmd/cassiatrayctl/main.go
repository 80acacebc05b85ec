// Command cassiatrayctl is the client of operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"cassiatray/internal/ctl"
	"cassiatray/internal/program"
	"cassiatray/platform"
)

type commandLine struct {
	ctl.CLI
	Version kong.VersionFlag `help:"Show the version and exit."`
}

func main() { os.Exit(run()) }

func run() int {
	var cli commandLine
	parser := kong.Must(&cli, kong.Name("cassiatrayctl"),
		kong.Description("Check, apply, promote and follow environment documents."),
		kong.Vars{"version": "cassiatrayctl " + program.Version})
	k, err := parser.Parse(os.Args[1:])
	if err != nil {
		return ctl.Report(os.Stderr, cli.Output, &ctl.UsageError{Message: err.Error()})
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := ctl.NewApp(ctx, &cli.CLI, os.Stdout)
	app.Schema = platform.Schema{}
	err = k.Run(app)
	return ctl.Report(os.Stderr, cli.Output, err)
}
