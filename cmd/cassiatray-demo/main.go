// Command cassiatray-demo runs both users' systems in small on 127.0.0.0/8, as
// plain processes, and shows a request's whole path.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"cassiatray/internal/demo"
	"cassiatray/internal/program"
)

type commandLine struct {
	Bin     string           `help:"Directory of the built programs." type:"path"`
	Up      bool             `help:"Leave the systems running until interrupted."`
	Version kong.VersionFlag `help:"Show the version and exit."`
}

// demoTime bounds the whole demo.
const demoTime = 55 * time.Second

func main() {
	var cli commandLine
	kong.Parse(&cli, kong.Name("cassiatray-demo"),
		kong.Description("Run both users' systems in small and show a request's whole path."),
		kong.Vars{"version": "cassiatray-demo " + program.Version})
	if cli.Bin == "" {
		exe, err := os.Executable()
		if err != nil {
			fmt.Fprintln(os.Stderr, "cassiatray-demo:", err)
			os.Exit(program.ExitFailure)
		}
		cli.Bin = filepath.Dir(exe)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	d := demo.Demo{Bin: cli.Bin, Out: os.Stdout, Up: cli.Up}
	if !cli.Up {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, demoTime)
		defer cancel()
	}
	if err := d.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "cassiatray-demo: failed:", err)
		os.Exit(program.ExitFailure)
	}
}
