// Command cassiatrayctl is the client of operators.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"cassiatray/internal/ctl"
	"cassiatray/internal/program"
)

type commandLine struct {
	ctl.CLI
	Version kong.VersionFlag `help:"Show the version and exit."`
}

func main() {
	var cli commandLine
	k := kong.Parse(&cli, kong.Name("cassiatrayctl"),
		kong.Description("Check, apply, promote and follow environment documents."),
		kong.Vars{"version": "cassiatrayctl " + program.Version})
	app := ctl.NewApp(context.Background(), &cli.CLI, os.Stdout)
	err := k.Run(app)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cassiatrayctl:", err)
	}
	os.Exit(ctl.ExitCode(err))
}
