// Package program runs a daemon: its command line, its settings file and its
// fx application, with the exit statuses that all programs share.
package program

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"cassiatray/internal/core/document"
	"cassiatray/internal/logging"
	"cassiatray/internal/settings"
)

// Version is the version of all programs; the build may set it.
var Version = "0.1.0"

// Exit statuses.
const (
	ExitOK      = 0
	ExitFailure = 1
)

// startTimeout and stopTimeout bound the start and the stop of a daemon.
const (
	startTimeout = 15 * time.Second
	stopTimeout  = 120 * time.Second
)

// commandLine is the command line of a daemon.
type commandLine struct {
	Settings string           `help:"Settings file in YAML." short:"s" required:"" type:"path"`
	Check    bool             `help:"Check the settings file and exit."`
	Version  kong.VersionFlag `help:"Show the version and exit."`
}

// SettingsFile is the path of the settings file that a daemon was started with.
type SettingsFile string

// Daemon is what Main runs.
type Daemon struct {
	Name string
	Help string
	// SettingsEnv names an environment variable with the path of the settings
	// file, for when the command line has none; empty for no such variable.
	SettingsEnv string
	// Settings is a pointer to the settings type.
	Settings settings.Checker
	// Log returns the log settings once they are read.
	Log func() settings.Log
	// LogTo is where logs go; nil for standard error.
	LogTo io.Writer
	// LogPerSecond caps the lines of level info a second; zero for no cap.
	LogPerSecond int64
	// Options are the fx options of the daemon, without settings and logger.
	Options fx.Option
}

// Main runs a daemon until it is told to stop, and returns its exit status.
func Main(d Daemon) int {
	var cli commandLine
	d.parse(&cli)
	if err := settings.Load(cli.Settings, d.Settings); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", d.Name, err)
		return settings.ExitInvalid
	}
	if cli.Check {
		return ExitOK
	}
	to := d.LogTo
	if to == nil {
		to = os.Stderr
	}
	log := logging.New(d.Log(), to)
	if d.LogPerSecond > 0 {
		log.SetFormatter(&logging.Capped{Inner: log.Formatter, PerSecond: d.LogPerSecond, WarningsPerSecond: d.LogPerSecond})
	}
	app := fx.New(
		fx.NopLogger, fx.StartTimeout(startTimeout), fx.StopTimeout(stopTimeout),
		fx.Supply(log, newRegistry(), SettingsFile(cli.Settings)), d.Options,
	)
	return run(app, logging.Part(log, "main"))
}

// parse reads the command line, and exits when it is wrong.
func (d Daemon) parse(cli *commandLine) {
	parser := kong.Must(cli, kong.Name(d.Name), kong.Description(d.Help), kong.Vars{"version": d.Name + " " + Version})
	args := os.Args[1:]
	named := slices.ContainsFunc(args, func(a string) bool {
		return strings.HasPrefix(a, "-s") || strings.HasPrefix(a, "--settings")
	})
	if path := os.Getenv(d.SettingsEnv); d.SettingsEnv != "" && path != "" && !named {
		args = append(slices.Clone(args), "--settings="+path)
	}
	_, err := parser.Parse(args)
	parser.FatalIfErrorf(err)
}

func newRegistry() *prometheus.Registry {
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return reg
}

func run(app *fx.App, log *logrus.Entry) int {
	if err := app.Err(); err != nil {
		log.WithError(err).Error("Cannot build.")
		return ExitFailure
	}
	// From here on SIGTERM ends the process in order, also while it starts.
	stop := app.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := app.Start(ctx); err != nil {
		log.WithError(err).Error("Cannot start.")
		return ExitFailure
	}
	log.Info("Started.")
	sig := <-stop
	log.Info("Stopping.")
	ctx, cancel = context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := app.Stop(ctx); err != nil {
		log.WithError(err).Error("Cannot stop in order.")
		return ExitFailure
	}
	log.Info("Stopped.")
	return sig.ExitCode
}

// ListenError is an address that cannot be listened on.
type ListenError struct {
	Address document.Address
	Err     error
}

func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Err) }

func (e *ListenError) Unwrap() error { return e.Err }

// Listen opens a TCP listener.
//
// Errors: *ListenError.
func Listen(a document.Address) (net.Listener, error) {
	l, err := net.Listen("tcp", a.String())
	if err != nil {
		return nil, &ListenError{Address: a, Err: err}
	}
	return l, nil
}
