// Command cassiatray-standin runs stand-ins for the platform's key-value
// service and for backend servers. It is for tests and the demo only.
package main

import (
	"os"

	"go.uber.org/fx"

	"cassiatray/internal/program"
	"cassiatray/internal/settings"
	"cassiatray/internal/standin"
)

func main() {
	cfg := new(standin.Settings)
	os.Exit(program.Main(program.Daemon{
		Name:     "cassiatray-standin",
		Help:     "Stand in for the platform's key-value service and for backend servers, in tests.",
		Settings: cfg,
		Log:      func() settings.Log { return cfg.Log },
		Options:  fx.Options(fx.Supply(cfg), standin.Module),
	}))
}
