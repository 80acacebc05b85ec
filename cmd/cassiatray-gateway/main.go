// Command cassiatray-gateway is the one process of an entry host on the users'
// platform: it answers look-ups of callers and forwards their requests.
package main

import (
	"net/http"
	"os"
	"time"

	"go.uber.org/fx"

	"cassiatray/internal/daemon/gateway"
	"cassiatray/internal/logging"
	"cassiatray/internal/port"
	"cassiatray/internal/program"
	"cassiatray/internal/settings"
	"cassiatray/platform"
)

// logPerSecond is how many lines of level info a second are kept, and how many
// warnings: above the requests that a host of a fifth of a core serves at its busiest.
const logPerSecond = 400

// logFlush bounds the writing of the last log lines.
const logFlush = 200 * time.Millisecond

func main() {
	cfg := new(gateway.Settings)
	out := logging.NewAsync(os.Stdout)
	status := program.Main(program.Daemon{
		Name:         "cassiatray-gateway",
		Help:         "Answer look-ups of callers and forward their requests to backend servers.",
		SettingsEnv:  platform.SettingsEnv,
		Settings:     cfg,
		Log:          func() settings.Log { return cfg.Log },
		LogTo:        out,
		LogPerSecond: logPerSecond,
		Options:      fx.Options(fx.Supply(cfg), fx.Provide(newStore, newSchema, newDialect, newHandlers, newReload), gateway.Module),
	})
	out.Close(logFlush)
	os.Exit(status)
}

func newStore(cfg *gateway.Settings) port.Registry { return platform.NewStore(cfg.Store.String()) }

func newSchema() port.Schema { return platform.Schema{} }

func newDialect() port.Dialect { return platform.Headers{} }

func newHandlers() gateway.Handlers {
	return gateway.Handlers{
		Directory: func(n *gateway.Node) http.Handler { return platform.DirectoryHandler(n) },
		Ready:     func(n *gateway.Node) http.Handler { return platform.ReadyHandler(n) },
	}
}

func newReload(file program.SettingsFile) gateway.Reload {
	return func() (*gateway.Settings, error) {
		cfg := new(gateway.Settings)
		return cfg, settings.Load(string(file), cfg)
	}
}
