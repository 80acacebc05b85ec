package ctl

import (
	"fmt"
	"io"
	"time"
)

func (s Status) write(w io.Writer) {
	switch {
	case s.StoreError != "":
		fmt.Fprintf(w, "%s: the platform does not answer (%s); newest sequence on any host is %d\n", s.Environment, s.StoreError, s.Sequence)
	case s.Sequence == 0:
		fmt.Fprintf(w, "%s: no document\n", s.Environment)
	default:
		fmt.Fprintf(w, "%s: sequence %d accepted %s\n", s.Environment, s.Sequence, s.Accepted.Format(time.RFC3339))
	}
	for _, d := range s.Domains {
		fmt.Fprintf(w, "%s: %d of %d hosts in force, %d unreachable, at most %d behind, lead %s\n",
			orNone(d.Domain), d.InForce, d.Hosts, d.Unreachable, d.Behind, orNone(d.Lead))
		for _, h := range s.Hosts {
			if h.Domain == d.Domain {
				fmt.Fprintln(w, "  "+h.line())
			}
		}
	}
}

func (h HostStatus) line() string {
	name := orNone(h.Host) + " " + h.Address
	switch h.State {
	case Unreachable:
		heard := "never heard by the others"
		if !h.Since.IsZero() {
			heard = "last heard " + h.Since.Format(time.RFC3339)
		}
		return fmt.Sprintf("%s: unreachable, %s: %s", name, heard, h.Error)
	case Behind:
		return fmt.Sprintf("%s: behind by %d, for %.1f s (steer at %d, entry at %d)",
			name, h.Behind, h.BehindSeconds, h.SteerSequence, h.EntrySequence)
	}
	return fmt.Sprintf("%s: in force since %s", name, h.Since.Format(time.RFC3339))
}
