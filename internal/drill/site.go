package drill

import (
	"context"
	"encoding/json"
	"time"

	"cassiatray/internal/site"
	peerv1 "cassiatray/proto/peer/v1"
)

// service is the service that drills send to.
const service = "depot-orders"

// environment is the environment that the daemons of a drill run.
const environment = "production"

// Bring starts a small site with two entry hosts in each of four failure
// domains, and puts its document in force.
func Bring(ctx context.Context, bin string) (*site.Site, error) {
	shape := site.Franchise(2)
	shape.Regions = shape.Regions[:2]
	shape.Services = shape.Services[:1]
	shape.Services[0].Work = 5 * time.Millisecond
	shape.TTL = time.Second
	s, err := site.New(shape, bin, environment)
	if err != nil {
		return nil, err
	}
	if err := bring(ctx, s); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func bring(ctx context.Context, s *site.Site) error {
	if err := s.StartAll(); err != nil {
		return err
	}
	if err := s.AwaitServers(ctx); err != nil {
		return err
	}
	if _, err := s.Ctl(ctx, "apply", s.File("document.yaml"), "--reason", "first document"); err != nil {
		return err
	}
	if _, err := s.Ctl(ctx, "promote", "--reason", "trial was good"); err != nil {
		return err
	}
	if err := s.AwaitServing(ctx); err != nil {
		return err
	}
	return awaitMembers(ctx, s)
}

// awaitMembers waits until every entry process knows all others as serving.
func awaitMembers(ctx context.Context, s *site.Site) error {
	return site.Await(ctx, "all members", func() bool {
		for _, h := range s.Hosts {
			if serving(ctx, h) < len(s.Hosts) {
				return false
			}
		}
		return true
	})
}

// serving returns how many hosts an entry process knows as serving.
func serving(ctx context.Context, h site.HostPlan) int {
	_, body := site.Get(ctx, "http://"+h.EntryOperator.String()+"/dump")
	var state struct {
		Members []struct {
			State peerv1.HostState `json:"entry_state"`
		} `json:"members"`
	}
	if json.Unmarshal(body, &state) != nil {
		return 0
	}
	n := 0
	for _, m := range state.Members {
		if m.State == peerv1.HostState_HOST_STATE_SERVING {
			n++
		}
	}
	return n
}
