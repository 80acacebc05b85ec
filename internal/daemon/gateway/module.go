// Package gateway is the one process of an entry host on a platform that keeps
// the configuration, the list of backend servers and the leases: it answers
// look-ups, forwards requests and shares with its peers what one of them reads
// from the platform's store (docs/design/platform.md).
package gateway

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"cassiatray/internal/adapter/operatorhttp"
	"cassiatray/internal/adapter/peer"
	"cassiatray/internal/adapter/serverconn"
	"cassiatray/internal/adapter/tcp"
	"cassiatray/internal/core/document"
	"cassiatray/internal/core/membudget"
	"cassiatray/internal/daemon/memory"
	"cassiatray/internal/logging"
	"cassiatray/internal/port"
	"cassiatray/internal/program"
	"cassiatray/internal/sleep"
	peerv1 "cassiatray/proto/peer/v1"
)

// Limits of connections between gateways: for pulls and permits, and for relayed requests, whose
// callers wait.
const (
	peerConnect = 700 * time.Millisecond
	peerUnacked = 1500 * time.Millisecond

	relayConnect   = 300 * time.Millisecond
	relayUnacked   = 700 * time.Millisecond
	relayKeepAlive = 500 * time.Millisecond
)

// poolSweep is how often connections that are past their time are closed.
const poolSweep = time.Second

// Module wires a gateway. It needs *Settings, *logrus.Logger,
// *prometheus.Registry, port.Registry, port.Schema, port.Dialect, Handlers
// and Reload.
var Module = fx.Module("gateway",
	fx.Decorate(withMachineMemory),
	fx.Provide(newIdentity, newMeter, newPool, newRelayPool, newKeeper, newSyncer, newForwarder, newNode, NewMetrics, newRegisterer, newPeerServer),
	fx.Invoke(start),
)

// Handlers are the calls with which callers find gateways, as the platform
// spells them.
type Handlers struct {
	Directory func(*Node) http.Handler
	Ready     func(*Node) http.Handler
}

func newRegisterer(reg *prometheus.Registry) prometheus.Registerer { return reg }

func newIdentity(cfg *Settings) peer.Identity { return peer.NewIdentity(cfg.Host) }

func newMeter(reg *prometheus.Registry) *peer.Meter { return peer.NewMeter(reg) }

func newPool(id peer.Identity, m *peer.Meter) *peer.Pool {
	d := tcp.Dialer{Connect: peerConnect, Unacked: peerUnacked}
	return peer.NewPool(id, m.Dial(d.Dial))
}

// relayPool is the pool for relayed requests: a helper that loses power is noticed sooner than
// one that is only pulled from.
type relayPool struct{ *peer.Pool }

func newRelayPool(id peer.Identity, m *peer.Meter) *relayPool {
	d := tcp.Dialer{Connect: relayConnect, Unacked: relayUnacked, KeepAlive: relayKeepAlive}
	return &relayPool{peer.NewPool(id, m.Dial(d.Dial))}
}

func newKeeper(cfg *Settings, schema port.Schema, log *logrus.Logger) *Keeper {
	return NewKeeper(cfg, schema, logging.Part(log, "state"))
}

func newSyncer(cfg *Settings, id peer.Identity, k *Keeper, store port.Registry, schema port.Schema, pool *peer.Pool, log *logrus.Logger, m *Metrics) *Syncer {
	return NewSyncer(cfg, id, k, store, schema, pool, logging.Part(log, "sync"), m)
}

func newForwarder(cfg *Settings, d port.Dialect) *serverconn.Pool {
	return serverconn.NewFrom(d, cfg.Source)
}

func newNode(cfg *Settings, k *Keeper, s *Syncer, d port.Dialect, f *serverconn.Pool, pool *peer.Pool, relays *relayPool, log *logrus.Logger, m *Metrics) *Node {
	n := NewNode(cfg, k, d, f, f, pool, relays, logging.Part(log, "request"), m)
	n.syncer = s
	n.places = membudget.NewPlaces(membudget.MaxExchanges(cfg.limits(memory.DescriptorLimit()).Descriptors))
	n.quotas.boot = bootClock
	return n
}

func newPeerServer(id peer.Identity, n *Node) *peer.Server {
	return peer.NewServer(id, &exchanges{node: n, epoch: id.Incarnation})
}

// exchanges implements peer.Handler.
type exchanges struct {
	node  *Node
	epoch uint64
}

// Serve implements peer.Handler.
func (e *exchanges) Serve(ctx context.Context, req *peerv1.Request) (*peerv1.Reply, error) {
	if pull := req.GetMirrorPull(); pull != nil {
		return &peerv1.Reply{Body: &peerv1.Reply_MirrorPage{MirrorPage: e.node.keeper.Page(ctx, e.epoch, pull)}}, nil
	}
	if ask := req.GetPermitAsk(); ask != nil {
		reply, err := e.node.ServePermit(ask, req.FromHost)
		if err != nil {
			return nil, err
		}
		return &peerv1.Reply{Body: &peerv1.Reply_PermitReply{PermitReply: reply}}, nil
	}
	if ask := req.GetQuotaAsk(); ask != nil {
		return &peerv1.Reply{Body: &peerv1.Reply_QuotaReply{QuotaReply: e.node.quotas.issue(ask, req.FromHost)}}, nil
	}
	return nil, &port.PeerError{Code: port.PeerRefused, Reason: "not for gateways"}
}

// ServeStream implements peer.StreamHandler.
func (e *exchanges) ServeStream(ctx context.Context, req *peerv1.Request, s port.PeerServerStream) error {
	return e.node.ServeRelay(ctx, req.GetRelayOffer(), req.FromHost, s)
}

// ServeFollow implements peer.Handler.
func (e *exchanges) ServeFollow(context.Context, *peerv1.Request, func(*peerv1.Reply) error) error {
	return &port.PeerError{Code: port.PeerRefused, Reason: "not for gateways"}
}

// listeners are the open sockets of a gateway.
type listeners struct{ caller, ready, directory, peer, operator net.Listener }

func listen(cfg *Settings) (*listeners, error) {
	l := new(listeners)
	for _, x := range []struct {
		to *net.Listener
		at document.Address
	}{{&l.caller, cfg.Caller}, {&l.ready, cfg.Ready}, {&l.directory, cfg.Directory}, {&l.peer, cfg.Peer}, {&l.operator, cfg.Operator}} {
		nl, err := program.Listen(x.at)
		if err != nil {
			return nil, err
		}
		*x.to = nl
	}
	return l, nil
}

func start(lc fx.Lifecycle, cfg *Settings, n *Node, k *Keeper, s *Syncer, f *serverconn.Pool, relays *relayPool, srv *peer.Server, h Handlers, reload Reload, reg *prometheus.Registry, log *logrus.Logger) {
	limits := cfg.limits(memory.DescriptorLimit())
	memory.LimitHeap(limits)
	f.LimitConnections(membudget.ServerConnections(limits.Descriptors))
	srv.LimitHeld(limits.MessageBytes(peer.MaxFrame))
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	reg.MustRegister(downGauges(k)...)
	reg.MustRegister(configGauges(k)...)
	reg.MustRegister(linksGauge(n), customersGauge(k))
	closed := memory.NewClosings("gateway", logging.Part(log, "caller"))
	callers := newCallerServer(n, closed, logging.Part(log, "caller"))
	reg.MustRegister(closed.Collectors("gateway", n.memory, callers, n.places)...)
	// Until it is asked for, SIGHUP ends the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			l, err := listen(cfg)
			if err != nil {
				return err
			}
			srv.Start(l.peer)
			few := membudget.ServiceConnections(limits.Descriptors)
			for _, x := range []struct {
				l     net.Listener
				h     http.Handler
				conns int
			}{{l.ready, h.Ready(n), few}, {l.directory, h.Directory(n), membudget.LookupConnections(limits.Descriptors)}, {l.operator, operatorhttp.NewRouter(&operatorSource{node: n}, reg), few}} {
				side := newSideServer(n, x.h, x.conns, closed)
				go func() {
					if err := side.Serve(x.l); err != nil {
						log.WithError(err).WithField("address", x.l.Addr()).Error("Connections are no longer accepted.")
					}
				}()
			}
			go func() {
				if err := callers.Serve(l.caller); err != nil {
					log.WithError(err).Error("Callers are no longer accepted.")
				}
			}()
			wg.Go(func() { s.Run(ctx) })
			wg.Go(func() {
				for sleep.For(ctx, poolSweep) {
					// Most gateways of a large system keep no connections.
					known := sync.OnceValue(k.Addresses)
					f.Expire(func(address string) bool { return known()[address] })
					if n.linksWhole() {
						relays.Prune()
					}
				}
			})
			wg.Go(func() { n.checkColdServers(ctx) })
			wg.Go(func() { n.watchLinks(ctx) })
			wg.Go(func() { n.watchQuotas(ctx) })
			wg.Go(func() { n.reloadOnHangup(ctx, hup, reload) })
			return nil
		},
		OnStop: func(stop context.Context) error {
			err := n.stop(stop, callers)
			cancel()
			n.cancel()
			return err
		},
	})
}

// Reload reads and checks the settings file again.
type Reload func() (*Settings, error)

// reloadOnHangup takes over the bounds of a changed settings file. What a
// running process cannot change, its name and addresses, waits for the next
// start; settings that are wrong change nothing.
func (n *Node) reloadOnHangup(ctx context.Context, hup <-chan os.Signal, reload Reload) {
	for {
		select {
		case <-hup:
			n.reload(reload)
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) reload(reload Reload) {
	cfg, err := reload()
	if err != nil {
		n.log.WithError(err).Error("Settings refused; the last ones stay.")
		return
	}
	n.bounds.Store(&cfg.Bounds)
	n.syncer.SetBounds(&cfg.Bounds)
	n.log.Info("Settings reloaded.")
}
