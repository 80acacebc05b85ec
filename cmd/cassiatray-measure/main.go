// Command cassiatray-measure runs the measured scenarios on 127.0.0.0/8 and
// writes a results file and a table.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"cassiatray/internal/measure"
	"cassiatray/internal/program"
)

type commandLine struct {
	Out     string           `help:"Results file; the table goes beside it." default:"out/measure.json" type:"path"`
	Earlier string           `help:"Earlier results file to compare with." type:"path"`
	Only    []string         `help:"Scenarios to run; all when absent."`
	Time    time.Duration    `help:"Length of one load." default:"12s"`
	Seed    uint64           `help:"Seed of arrival times and choices." default:"20261204"`
	Version kong.VersionFlag `help:"Show the version and exit."`
}

func main() {
	var cli commandLine
	kong.Parse(&cli, kong.Name("cassiatray-measure"),
		kong.Description("Run the measured scenarios and write a results file and a table."),
		kong.Vars{"version": "cassiatray-measure " + program.Version})
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, &cli); err != nil {
		fmt.Fprintln(os.Stderr, "cassiatray-measure:", err)
		os.Exit(program.ExitFailure)
	}
}

func run(ctx context.Context, cli *commandLine) error {
	exe, err := os.Executable()
	if err != nil {
		return err
	}
	var earlier *measure.Results
	if cli.Earlier != "" {
		if earlier, err = measure.Read(cli.Earlier); err != nil {
			return err
		}
	}
	r := measure.Runner{Bin: filepath.Dir(exe), Out: os.Stdout, Only: cli.Only, Time: cli.Time, Seed: cli.Seed}
	results := r.Run(ctx)
	if err := os.MkdirAll(filepath.Dir(cli.Out), 0o755); err != nil {
		return err
	}
	if err := results.WriteJSON(cli.Out); err != nil {
		return err
	}
	table := strings.TrimSuffix(cli.Out, filepath.Ext(cli.Out)) + ".md"
	return os.WriteFile(table, []byte(results.Markdown(earlier)), 0o644)
}
