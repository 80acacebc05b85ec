// Command cmd prints the measurement of slot policies:
//
//	go run ./internal/experiment/slots/cmd            loads, frozen, replaced
//	go run ./internal/experiment/slots/cmd --faults   surge, cold, lying load, leaving
package main

import (
	"os"

	"github.com/alecthomas/kong"

	"cassiatray/internal/experiment/slots"
)

var cli struct {
	Faults bool   `help:"Faults at 80% load instead of loads."`
	Seed   uint64 `help:"Seed of arrivals and service times." default:"20261204"`
}

func main() {
	k := kong.Parse(&cli)
	loads := []float64{0.5, 0.8, 0.95}
	scenarios := []slots.Scenario{slots.Steady, slots.Frozen, slots.Replaced}
	if cli.Faults {
		loads = []float64{0.8}
		scenarios = []slots.Scenario{slots.Surge, slots.Cold, slots.Lying, slots.Leaving}
	}
	k.FatalIfErrorf(slots.Write(os.Stdout, slots.Sites, scenarios, loads, cli.Seed))
}
