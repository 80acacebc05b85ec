package ctl

import (
	"fmt"
	"io"
	"os"

	"cassiatray/internal/core/routing"
)

// CheckConfigCmd checks a routing configuration of gateways in the platform's format.
type CheckConfigCmd struct {
	File    string   `arg:"" help:"Configuration as the platform's store holds it."`
	InForce string   `help:"File with the version in force, to compare with." placeholder:"FILE"`
	Regions []string `help:"All regions, to check home regions against." placeholder:"REGION"`
	Strict  bool     `help:"Exit with status 8 if anything is found."`
}

// ConfigCheck is the result of CheckConfigCmd.
type ConfigCheck struct {
	File      string            `json:"file"`
	Version   uint64            `json:"version"`
	Services  int               `json:"services"`
	Routes    int               `json:"routes"`
	Customers int               `json:"customers"`
	Findings  []routing.Finding `json:"findings"`
	// InForce is the version in force if one is given, and Differences what changes.
	InForce     *uint64  `json:"inForce,omitempty"`
	Differences []string `json:"differences,omitempty"`
}

// Run implements the command.
func (c *CheckConfigCmd) Run(app *App) error {
	config, err := app.readConfig(c.File)
	if err != nil {
		return err
	}
	out := ConfigCheck{
		File: c.File, Version: config.Version, Services: len(config.Services), Routes: config.Routes(), Customers: config.CountCustomers(),
		Findings: append([]routing.Finding{}, routing.Check(config, c.Regions)...),
	}
	if c.InForce != "" {
		held, err := app.readConfig(c.InForce)
		if err != nil {
			return err
		}
		out.InForce, out.Differences = &held.Version, routing.Diff(held, config)
		if config.Version <= held.Version {
			out.Findings = append(out.Findings, routing.Finding{
				Kind: routing.FindingNotNewer, Text: fmt.Sprintf("version %d is not above version %d: gateways ignore it", config.Version, held.Version),
			})
		}
	}
	if err := app.emit(out, func(w io.Writer) { out.write(w, len(c.Regions) > 0) }); err != nil {
		return err
	}
	if c.Strict && len(out.Findings) > 0 {
		return &FindingsError{Findings: len(out.Findings)}
	}
	return nil
}

// readConfig reads a configuration.
//
// Errors: *UsageError for a file that cannot be read, *ConfigError for one that is not valid.
func (app *App) readConfig(file string) (*routing.Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &UsageError{Message: err.Error()}
	}
	config, err := app.Schema.Config(data)
	if err != nil {
		return nil, &ConfigError{File: file, Err: err}
	}
	return config, nil
}

func (c *ConfigCheck) write(w io.Writer, regionsKnown bool) {
	fmt.Fprintf(w, "%s: version %d, %d services, %d routes, %d customers\n", c.File, c.Version, c.Services, c.Routes, c.Customers)
	for _, f := range c.Findings {
		if f.Subject != "" {
			f.Text = f.Subject + ": " + f.Text
		}
		fmt.Fprintf(w, "  %-14s %s\n", f.Kind, f.Text)
	}
	if len(c.Findings) == 0 {
		fmt.Fprintln(w, "  nothing found")
	}
	if !regionsKnown {
		fmt.Fprintln(w, "  home regions are not checked without --regions")
	}
	if c.InForce == nil {
		return
	}
	fmt.Fprintf(w, "changes from version %d: %d\n", *c.InForce, len(c.Differences))
	for _, line := range c.Differences {
		fmt.Fprintln(w, " ", line)
	}
}
