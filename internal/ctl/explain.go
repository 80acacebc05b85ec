package ctl

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"strings"

	"cassiatray/internal/adapter/operatorhttp"
)

// ExplainCmd tells why a client gets the answer it gets.
type ExplainCmd struct {
	Service     string `arg:"" help:"Service that is looked up."`
	Client      string `arg:"" help:"Address or block of the client."`
	Environment string `help:"Environment whose entry hosts are asked." short:"e" default:"production"`
	Host        string `help:"Entry host to ask, by name or operator address; any when not given." placeholder:"HOST"`
}

// explanation is an entry host's answer, with its text for people.
type explanation struct{ operatorhttp.Explanation }

// Run implements the command.
func (c *ExplainCmd) Run(app *App) error {
	client, err := clientAddress(c.Client)
	if err != nil {
		return err
	}
	addresses, err := app.operators(c.Environment, c.Host, entryProcess)
	if err != nil {
		return err
	}
	path := "/explain?" + url.Values{"service": {c.Service}, "client": {client.String()}}.Encode()
	out, err := firstAnswer[explanation](app, addresses, path)
	if err != nil {
		return err
	}
	return app.emit(out, out.write)
}

// clientAddress returns an address, or the first address of a block.
func clientAddress(text string) (netip.Addr, error) {
	if a, err := netip.ParseAddr(text); err == nil {
		return a, nil
	}
	p, err := netip.ParsePrefix(text)
	if err != nil {
		return netip.Addr{}, &UsageError{Message: fmt.Sprintf("client %q: expected an IP address or a block such as 10.1.0.0/16", text)}
	}
	return p.Masked().Addr(), nil
}

// maxAttempts bounds how many hosts are asked before giving up.
const maxAttempts = 5

// firstAnswer asks one address after another until one answers or refuses.
func firstAnswer[T any](app *App, addresses []string, path string) (T, error) {
	var out T
	var err error
	for _, a := range addresses[:min(len(addresses), maxAttempts)] {
		out, err = fetchJSON[T](app.Ctx, a, path)
		var host *HostError
		if err == nil || errors.As(err, &host) && host.refused() {
			return out, err
		}
	}
	return out, err
}

func (e explanation) write(w io.Writer) {
	block := "no client block of the document"
	if e.Block != "" {
		block = "block " + e.Block
	}
	fmt.Fprintf(w, "%s looks up %s: %s applies, regions in order: %s (sequence %d)\n",
		e.Client, e.Service, block, orNone(strings.Join(e.Regions, ", ")), e.Sequence)
	for i, h := range e.Hosts {
		fmt.Fprintf(w, "  %d. %s in %s, %s: %s\n", i+1, h.Name, h.Domain, h.Region, h.Reason)
	}
	for _, n := range e.Notes {
		fmt.Fprintf(w, "  note: %s\n", n)
	}
}
