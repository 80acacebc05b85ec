package steer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"cassiatray/internal/adapter/operatorhttp"
	"cassiatray/internal/adapter/peer"
	"cassiatray/internal/adapter/platform"
	"cassiatray/internal/core/document"
	"cassiatray/internal/core/membership"
	"cassiatray/internal/envstore"
	"cassiatray/internal/logging"
	"cassiatray/internal/port"
	"cassiatray/internal/program"
	peerv1 "cassiatray/proto/peer/v1"
)

// Module wires a steer process. It needs *Settings, *logrus.Logger and
// *prometheus.Registry.
var Module = fx.Module("steer",
	fx.Provide(newIdentity, newPool, newStore, newNode, newServer),
	fx.Invoke(start),
)

func newIdentity(cfg *Settings) peer.Identity {
	return peer.Identity{Host: cfg.Host, Incarnation: membership.NewIncarnation(time.Now(), rand.Uint64())}
}

func newPool(id peer.Identity) *peer.Pool { return peer.NewPool(id, peer.TCPDial) }

func newStore(cfg *Settings) *envstore.Store {
	return envstore.New(platform.New(cfg.Platform.String(), cfg.PlatformTimeout.D()), port.SystemClock{})
}

func newNode(cfg *Settings, id peer.Identity, store *envstore.Store, pool *peer.Pool, log *logrus.Logger) *Node {
	return NewNode(*cfg, id.Incarnation, store, pool, port.SystemClock{}, logging.Part(log, "steer"))
}

func newServer(id peer.Identity, n *Node) *peer.Server { return peer.NewServer(id, n) }

func start(lc fx.Lifecycle, cfg *Settings, n *Node, srv *peer.Server, pool *peer.Pool, reg *prometheus.Registry) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			pl, err := program.Listen(cfg.Peer)
			if err != nil {
				return err
			}
			ol, err := program.Listen(cfg.Operator)
			if err != nil {
				pl.Close()
				return err
			}
			n.register(reg)
			operatorhttp.Serve(ol, operatorhttp.NewRouter(n, reg))
			srv.Start(pl)
			wg.Go(func() { n.Run(ctx) })
			return nil
		},
		OnStop: func(stop context.Context) error {
			n.linger(stop)
			cancel()
			wg.Wait()
			srv.Close()
			return pool.Close()
		},
	})
}

// NotReadyError says why a process cannot serve yet.
type NotReadyError struct{ Reason string }

func (e *NotReadyError) Error() string { return "not ready: " + e.Reason }

// Ready implements operatorhttp.Source.
func (n *Node) Ready() error {
	if n.head().Sequence == 0 {
		return &NotReadyError{Reason: fmt.Sprintf("no document of environment %s", n.cfg.Environment)}
	}
	return nil
}

// State is the dump of a steer process.
type State struct {
	Host        string            `json:"host"`
	Domain      string            `json:"domain"`
	Environment string            `json:"environment"`
	Incarnation uint64            `json:"incarnation,string"`
	Lead        string            `json:"lead"`
	Head        document.Head     `json:"head"`
	Domains     []DomainState     `json:"domains"`
	Self        *peerv1.Member    `json:"self"`
	Heartbeat   document.Duration `json:"heartbeat"`
}

// DomainState is one domain as this process sees it.
type DomainState struct {
	Name    string           `json:"name"`
	Version uint64           `json:"version,string"`
	Members []*peerv1.Member `json:"members"`
}

// Dump implements operatorhttp.Source.
func (n *Node) Dump() any {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := State{
		Host: n.cfg.Host, Domain: n.cfg.Domain, Environment: n.cfg.Environment, Incarnation: n.incarnation,
		Lead: n.view.Lead(n.clock.Now()).GetHost(), Head: n.replica.Head(), Self: n.self, Heartbeat: n.cfg.Heartbeat,
	}
	for _, v := range n.domainViews() {
		s.Domains = append(s.Domains, DomainState{Name: v.Domain, Version: v.Version, Members: v.Members})
	}
	return s
}

func (n *Node) register(reg *prometheus.Registry) {
	reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "cassiatray_steer_sequence", Help: "Sequence of the document in force.",
	}, func() float64 { return float64(n.head().Sequence) }))
}
