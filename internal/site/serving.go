package site

import (
	"context"
	"encoding/json"
	"fmt"

	"cassiatray/api"
)

// AwaitServing waits until a look-up for each service at every entry host
// names as many hosts as the document says, or as there are.
func (s *Site) AwaitServing(ctx context.Context) error {
	for _, h := range s.Hosts {
		for _, service := range s.Document.Services {
			err := Await(ctx, h.Name+" to serve "+service.Name, func() bool {
				return s.Running() != nil || s.serves(ctx, h, service.Name)
			})
			if err != nil {
				return err
			}
		}
	}
	return s.Running()
}

func (s *Site) serves(ctx context.Context, h HostPlan, service string) bool {
	_, body := Get(ctx, fmt.Sprintf("http://%s/v1/lookup/%s?client=10.0.0.9", h.Caller, service))
	var answer api.Lookup
	return json.Unmarshal(body, &answer) == nil && len(answer.Hosts) >= min(s.Document.Lookup.Hosts, len(s.Hosts))
}

// InForce reports whether every entry process has a sequence in force.
func (s *Site) InForce(ctx context.Context, sequence uint64) bool {
	for _, h := range s.Hosts {
		_, body := Get(ctx, "http://"+h.EntryOperator.String()+"/dump")
		var state struct {
			Head struct {
				Sequence uint64 `json:"sequence"`
			} `json:"head"`
		}
		if json.Unmarshal(body, &state) != nil || state.Head.Sequence < sequence {
			return false
		}
	}
	return true
}
