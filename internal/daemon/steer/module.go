package steer

import (
	"context"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"cassiatray/internal/adapter/operatorhttp"
	"cassiatray/internal/adapter/peer"
	"cassiatray/internal/adapter/platform"
	"cassiatray/internal/core/membudget"
	"cassiatray/internal/daemon/memory"
	"cassiatray/internal/envstore"
	"cassiatray/internal/logging"
	"cassiatray/internal/port"
	"cassiatray/internal/program"
)

// Module wires a steer process. It needs *Settings, *logrus.Logger and
// *prometheus.Registry.
var Module = fx.Module("steer",
	fx.Provide(newIdentity, newMeter, peer.NewTCPPool, newStore, newNode, newServer),
	fx.Invoke(start),
)

func newIdentity(cfg *Settings) peer.Identity { return peer.NewIdentity(cfg.Host) }

func newMeter(reg *prometheus.Registry) *peer.Meter { return peer.NewMeter(reg) }

func newStore(cfg *Settings) *envstore.Store {
	return envstore.New(platform.New(cfg.Platform.String(), cfg.PlatformTimeout.D()).Named(cfg.Host), port.SystemClock{})
}

func newNode(cfg *Settings, id peer.Identity, store *envstore.Store, pool *peer.Pool, log *logrus.Logger) *Node {
	return NewNode(*cfg, id.Incarnation, store, pool, port.SystemClock{}, logging.Part(log, "steer"))
}

func newServer(id peer.Identity, n *Node) *peer.Server { return peer.NewServer(id, n) }

func start(lc fx.Lifecycle, cfg *Settings, n *Node, srv *peer.Server, pool *peer.Pool, m *peer.Meter, reg *prometheus.Registry, log *logrus.Logger) {
	limits := cfg.memorySettings().WithMachine(logging.Part(log, "main")).Limits(memory.DescriptorLimit())
	memory.LimitHeap(limits)
	srv.LimitHeld(limits.MessageBytes(peer.MaxFrame))
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
			n.Register(reg)
			operatorhttp.Serve(ol, operatorhttp.NewRouter(n, reg), membudget.New(limits.BudgetBytes()), membudget.ServiceConnections(limits.Descriptors))
			srv.Start(m.Listener(pl))
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
