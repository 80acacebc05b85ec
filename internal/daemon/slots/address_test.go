package slots

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"cassiatray/internal/core/admission"
	"cassiatray/internal/core/document"
)

// withServer returns the index of the domain's document with one other server.
func (d *domain) withServer(b document.BackendServer) *document.Index {
	doc := *d.inForce().Doc
	doc.Services = slices.Clone(doc.Services)
	doc.Services[0].Servers = []document.BackendServer{b}
	return document.NewIndex(&doc)
}

// laterServer returns the name of a server, other than s0, that a host should hold.
func laterServer(host string) string {
	for i := 1; ; i++ {
		name := fmt.Sprint("s", i)
		if admission.Assign("svc", []string{name}, allHosts)[name] == host {
			return name
		}
	}
}

func otherThan(host string) string {
	if host == "h0" {
		return "h1"
	}
	return "h0"
}

// fill takes every slot of the domain's one server.
func (d *domain) fill(t *testing.T, owner string) []*Slot {
	t.Helper()
	var out []*Slot
	for range testSlots {
		s, err := d.nodes[owner].Acquire(context.Background(), d.want(1))
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, s)
	}
	return out
}

// Guards against sending a request that waited for a slot to the address that its server had before
// the wait, or to none.
func TestWaitingRequestGetsCurrentAddress(t *testing.T) {
	for _, later := range []bool{false, true} {
		for _, atOwner := range []bool{true, false} {
			t.Run(fmt.Sprintf("server of a later document %t, waits at its holder %t", later, atOwner), func(t *testing.T) {
				inDomain(t, 1, func(t *testing.T, d *domain) {
					owner := d.owner("s0")
					held := d.fill(t, owner)
					host, want := owner, document.BackendServer{Name: "s0", Domain: "d", Address: address(150)}
					if !atOwner {
						host = otherThan(owner)
					}
					if later {
						want.Name = laterServer(owner)
					}
					w, waiting := d.want(1), d.nodes[host]
					done := make(chan error, 1)
					var got *Slot
					go func() {
						var err error
						got, err = waiting.Acquire(context.Background(), w)
						done <- err
					}()
					time.Sleep(10 * time.Millisecond)
					d.put(d.withServer(want))
					if !later {
						held[0].Done(time.Millisecond)
						held = held[1:]
					}
					if err := <-done; err != nil {
						t.Fatal(err)
					}
					if got.Server != want.Name || got.Address != want.Address.String() {
						t.Errorf("slot at %s, %q, want %s, %q", got.Server, got.Address, want.Name, want.Address)
					}
					got.Unused()
					for _, s := range held {
						s.Unused()
					}
				})
			})
		}
	}
}
