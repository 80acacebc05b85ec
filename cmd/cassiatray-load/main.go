// Command cassiatray-load sends an open-loop load to a system and reports the
// latency from each request's scheduled time.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"cassiatray/internal/load"
	"cassiatray/internal/program"
	"cassiatray/internal/settings"
)

type commandLine struct {
	Bootstrap []string         `help:"Caller addresses of entry hosts." placeholder:"IP:PORT" xor:"target" required:""`
	Direct    []string         `help:"Addresses of backend servers, to bypass the system." placeholder:"IP:PORT" xor:"target" required:""`
	Service   string           `help:"Service to send to." required:""`
	Method    string           `help:"Method of each request." default:"GET"`
	Path      string           `help:"Path of each request." default:"/"`
	Once      bool             `help:"Send at-most-once requests, each with an operation ID."`
	Rate      float64          `help:"Mean rate in requests a second." default:"100"`
	Duration  time.Duration    `help:"How long to send." default:"10s"`
	Caller    []string         `help:"Caller addresses to look up for." default:"10.0.0.9" placeholder:"IP"`
	Timeout   time.Duration    `help:"Time limit of one request." default:"5s"`
	Seed      uint64           `help:"Seed of the arrival times." default:"1"`
	Output    string           `help:"Output format." short:"o" enum:"table,json" default:"table"`
	Version   kong.VersionFlag `help:"Show the version and exit."`
}

func main() {
	var cli commandLine
	kong.Parse(&cli, kong.Name("cassiatray-load"),
		kong.Description("Send an open-loop load and report latency from scheduled times."),
		kong.Vars{"version": "cassiatray-load " + program.Version})
	callers, err := parseAddresses(cli.Caller)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cassiatray-load:", err)
		os.Exit(settings.ExitInvalid)
	}
	rows := load.Run(context.Background(), load.Plan{
		Bootstrap: cli.Bootstrap, Callers: callers, Duration: cli.Duration, Seed: cli.Seed,
		Streams: []load.Stream{{
			Name: cli.Service, Service: cli.Service, Method: cli.Method, Path: cli.Path, Once: cli.Once,
			Rate: cli.Rate, Timeout: cli.Timeout, Direct: cli.Direct,
		}},
	})
	if cli.Output == "json" {
		json.NewEncoder(os.Stdout).Encode(rows)
		return
	}
	fmt.Println(load.Header)
	for _, row := range rows {
		fmt.Println(row)
	}
}

func parseAddresses(texts []string) ([]netip.Addr, error) {
	out := make([]netip.Addr, 0, len(texts))
	for _, text := range texts {
		a, err := netip.ParseAddr(text)
		if err != nil {
			return nil, err
		}
		out = append(out, a)
	}
	return out, nil
}
