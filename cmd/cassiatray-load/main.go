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
)

type commandLine struct {
	Bootstrap []string         `help:"Caller addresses of entry hosts." placeholder:"IP:PORT" xor:"target" required:""`
	Direct    []string         `help:"Addresses of backend servers, to bypass the system." placeholder:"IP:PORT" xor:"target" required:""`
	Service   string           `help:"Service to send to." required:""`
	Method    string           `help:"Method of each request." default:"GET"`
	Path      string           `help:"Path of each request." default:"/"`
	Once      bool             `help:"Send at-most-once requests, each with an operation ID."`
	Rate      float64          `help:"Requests a second." default:"100"`
	Duration  time.Duration    `help:"How long to send." default:"10s"`
	Client    string           `help:"Caller address to look up for." default:"10.0.0.9"`
	Timeout   time.Duration    `help:"Time limit of one request." default:"5s"`
	Format    string           `help:"Output format." short:"o" enum:"table,json" default:"table"`
	Version   kong.VersionFlag `help:"Show the version and exit."`
}

func main() {
	var cli commandLine
	kong.Parse(&cli, kong.Name("cassiatray-load"),
		kong.Description("Send an open-loop load and report latency from scheduled times."),
		kong.Vars{"version": "cassiatray-load " + program.Version})
	address, err := netip.ParseAddr(cli.Client)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cassiatray-load:", err)
		os.Exit(2)
	}
	row := load.Run(context.Background(), load.Plan{
		Bootstrap: cli.Bootstrap, Direct: cli.Direct, Client: address, Service: cli.Service, Method: cli.Method,
		Path: cli.Path, Once: cli.Once, Rate: cli.Rate, Duration: cli.Duration, Timeout: cli.Timeout,
	})
	if cli.Format == "json" {
		json.NewEncoder(os.Stdout).Encode(row)
		return
	}
	fmt.Println(load.Header)
	fmt.Println(row)
}
