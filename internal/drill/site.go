package drill

import (
	"context"
	"time"

	"cassiatray/internal/core/document"
	"cassiatray/internal/site"
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
	shape.Services[0].Servers = 8
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
	return s.AwaitServing(ctx)
}

// serving waits until a host takes requests again.
func serving(ctx context.Context, operator document.Address) error {
	return site.AwaitReady(ctx, operator)
}
