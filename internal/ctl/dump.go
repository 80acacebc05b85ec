package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"time"

	"cassiatray/internal/core/document"
)

// process is one of the two daemons of an entry host.
type process string

const (
	entryProcess process = "entry"
	steerProcess process = "steer"
)

// operators returns operator addresses: that of one host, by name or as an
// address, or those of all hosts when none is named.
func (app *App) operators(env, host string, p process) ([]string, error) {
	if _, err := netip.ParseAddrPort(host); err == nil {
		return []string{host}, nil
	}
	if err := environment(env); err != nil {
		return nil, err
	}
	hosts, _, err := app.hosts(env)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, h := range hosts {
		if a := h.operator(p); !a.IsZero() && (host == "" || host == h.Name) {
			out = append(out, a.String())
		}
	}
	if len(out) == 0 {
		return nil, &UsageError{Message: fmt.Sprintf("environment %s has no operator address of host %q", env, host)}
	}
	return out, nil
}

func (p place) operator(proc process) document.Address {
	if proc == entryProcess {
		return p.EntryOperator
	}
	return p.SteerOperator
}

// DumpCmd prints the state of one process.
type DumpCmd struct {
	Host        string  `arg:"" help:"Entry host, by name, or an operator address."`
	Process     process `help:"Process of the host: entry or steer." enum:"entry,steer" default:"entry"`
	Environment string  `help:"Environment of the host." short:"e" default:"production"`
}

// Run implements the command.
func (c *DumpCmd) Run(app *App) error {
	addresses, err := app.operators(c.Environment, c.Host, c.Process)
	if err != nil {
		return err
	}
	body, err := fetchJSON[json.RawMessage](app.Ctx, addresses[0], "/dump")
	if err != nil {
		return err
	}
	return app.emit(body, func(w io.Writer) { w.Write(append(body, '\n')) })
}

// SuspectsCmd lists requests suspected of crashing servers.
type SuspectsCmd struct {
	Environment string `help:"Environment to ask." short:"e" default:"production"`
}

// Suspect is a request that was in flight when servers crashed.
type Suspect struct {
	Host        string    `json:"host"`
	Fingerprint string    `json:"fingerprint"`
	Service     string    `json:"service"`
	Server      string    `json:"server"`
	Crashes     int       `json:"crashes"`
	Since       time.Time `json:"since,omitzero"`
	State       string    `json:"state"`
}

// Suspects is the result of SuspectsCmd.
type Suspects struct {
	Suspects []Suspect `json:"suspects"`
	// Unreachable are the operator addresses that gave no answer.
	Unreachable []string `json:"unreachable"`
}

type entryState struct {
	Host     string    `json:"host"`
	Suspects []Suspect `json:"suspects"`
}

// Run implements the command.
func (c *SuspectsCmd) Run(app *App) error {
	addresses, err := app.operators(c.Environment, "", entryProcess)
	if err != nil {
		return err
	}
	states := make([]entryState, len(addresses))
	failed := make([]error, len(addresses))
	forEach(len(addresses), func(i int) {
		states[i], failed[i] = fetchJSON[entryState](app.Ctx, addresses[i], "/dump")
	})
	out := Suspects{Suspects: []Suspect{}, Unreachable: []string{}}
	for i, s := range states {
		if failed[i] != nil {
			out.Unreachable = append(out.Unreachable, addresses[i])
		}
		for _, x := range s.Suspects {
			x.Host = s.Host
			out.Suspects = append(out.Suspects, x)
		}
	}
	return app.emit(out, out.write)
}

func (s Suspects) write(w io.Writer) {
	if len(s.Suspects) == 0 {
		fmt.Fprintln(w, "no suspects")
	}
	for _, x := range s.Suspects {
		fmt.Fprintf(w, "%s  %s of %s  %s  %d crashes  since %s  seen by %s\n",
			x.Fingerprint, orNone(x.Server), x.Service, x.State, x.Crashes, x.Since.Format(time.RFC3339), x.Host)
	}
	for _, a := range s.Unreachable {
		fmt.Fprintf(w, "%s: unreachable\n", a)
	}
}
