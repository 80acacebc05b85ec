// Command cassiatray-steer is the control process of an entry host: it keeps
// the environment document and the members of its failure domain.
package main

import (
	"os"

	"go.uber.org/fx"

	"cassiatray/internal/daemon/steer"
	"cassiatray/internal/program"
	"cassiatray/internal/settings"
)

func main() {
	cfg := new(steer.Settings)
	os.Exit(program.Main(program.Daemon{
		Name:     "cassiatray-steer",
		Help:     "Keep the environment document and the membership of a failure domain.",
		Settings: cfg,
		Log:      func() settings.Log { return cfg.Log },
		Options:  fx.Options(fx.Supply(cfg), steer.Module),
	}))
}
