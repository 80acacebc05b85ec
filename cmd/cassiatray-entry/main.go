// Command cassiatray-entry is the data path of an entry host: it answers
// look-ups and forwards requests.
package main

import (
	"os"

	"go.uber.org/fx"

	"cassiatray/internal/daemon/entry"
	"cassiatray/internal/program"
	"cassiatray/internal/settings"
)

func main() {
	cfg := new(entry.Settings)
	os.Exit(program.Main(program.Daemon{
		Name:     "cassiatray-entry",
		Help:     "Answer look-ups of callers and forward their requests to backend servers.",
		Settings: cfg,
		Log:      func() settings.Log { return cfg.Log },
		Options:  fx.Options(fx.Supply(cfg), entry.Module),
	}))
}
