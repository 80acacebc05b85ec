package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"cassiatray/internal/adapter/backendhttp"
	"cassiatray/internal/adapter/callerhttp"
	"cassiatray/internal/adapter/operatorhttp"
	"cassiatray/internal/adapter/peer"
	"cassiatray/internal/core/document"
	"cassiatray/internal/core/membudget"
	"cassiatray/internal/daemon/memory"
	"cassiatray/internal/daemon/slots"
	"cassiatray/internal/logging"
	"cassiatray/internal/port"
	"cassiatray/internal/program"
	peerv1 "cassiatray/proto/peer/v1"
)

// maxBackendConns limits the connections of this process to one server until a document
// sets the server's connection limit.
const maxBackendConns = 16

// Module provides and starts the components of an entry process. It requires *Settings,
// *logrus.Logger and *prometheus.Registry.
var Module = fx.Module("entry",
	fx.Provide(newIdentity, newMeter, peer.NewTCPPool, newFeed, newBackend, newLimits, newBudget, newNode, newServer, newSlots, newSlotMetrics, NewMetrics),
	fx.Invoke(start),
)

func newIdentity(cfg *Settings) peer.Identity { return peer.NewIdentity(cfg.Host) }

func newMeter(reg *prometheus.Registry) *peer.Meter { return peer.NewMeter(reg) }

func newFeed(cfg *Settings, id peer.Identity, pool *peer.Pool, log *logrus.Logger) *Feed {
	return NewFeed(*cfg, id.Incarnation, pool, logging.Part(log, "feed"))
}

func newBackend() *backendhttp.Client { return backendhttp.New(maxBackendConns) }

func newSlotMetrics(reg *prometheus.Registry) *slots.Metrics { return slots.NewMetrics(reg) }

func newSlots(cfg *Settings, id peer.Identity, f *Feed, pool *peer.Pool, log *logrus.Logger, m *slots.Metrics) *slots.Manager {
	self := slots.Config{Host: cfg.Host, Domain: cfg.Domain, Incarnation: id.Incarnation}
	out := slots.New(self, f, pool, port.SystemClock{}, logging.Part(log, "slots"), m)
	f.SetLoads(out.Loads)
	return out
}

// newLimits returns the limits of this process.
func newLimits(cfg *Settings, log *logrus.Logger) membudget.Limits {
	return cfg.memorySettings().WithMachine(logging.Part(log, "main")).Limits(memory.DescriptorLimit())
}

func newBudget(l membudget.Limits) *membudget.Budget { return membudget.New(l.BudgetBytes()) }

func newNode(cfg *Settings, id peer.Identity, f *Feed, b *backendhttp.Client, pool *peer.Pool, s *slots.Manager, log *logrus.Logger, m *Metrics, l membudget.Limits, budget *membudget.Budget) *Node {
	n := NewNode(*cfg, id.Incarnation, f, b, b, pool, s, port.SystemClock{}, logging.Part(log, "entry"), m)
	n.memory, n.operations = budget, newOperationRecords(recordLimits(l.Memory))
	return n
}

func newServer(id peer.Identity, n *Node) *peer.Server {
	s := peer.NewServer(id, n)
	s.Budget = n.memory
	return s
}

func start(lc fx.Lifecycle, cfg *Settings, n *Node, sm *slots.Manager, f *Feed, b *backendhttp.Client, srv *peer.Server, pool *peer.Pool, m *peer.Meter, reg *prometheus.Registry, limits membudget.Limits, log *logrus.Logger) {
	memory.LimitHeap(limits)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	closed := memory.NewClosings("entry", logging.Part(log, "caller"))
	callers := callerhttp.NewServer(callerhttp.NewHandler(n, cfg.Host), n.memory, limits.MaxConnections())
	callers.Closed = closed.Note
	reg.MustRegister(closed.Collectors("entry", n.memory, callers, nil)...)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			pl, err := program.Listen(cfg.Peer)
			if err != nil {
				return err
			}
			cl, err := program.Listen(cfg.Caller)
			if err != nil {
				return err
			}
			ol, err := program.Listen(cfg.Operator)
			if err != nil {
				return err
			}
			operators := operatorhttp.NewRouter(n, reg)
			operators.HandleFunc("/explain", n.serveExplain).Methods(http.MethodGet)
			operatorhttp.Serve(ol, operators, n.memory, membudget.ServiceConnections(limits.Descriptors))
			srv.Start(m.Listener(pl))
			f.Register(reg)
			wg.Go(func() { f.Run(ctx) })
			wg.Go(func() { sm.Run(ctx) })
			wg.Go(func() { sm.Watch(ctx, n.backend, n.hostList()) })
			wg.Go(func() { n.limitConnections(ctx, b) })
			wg.Go(func() { n.probeLoop(ctx) })
			go callers.Serve(callerhttp.NewListener(cl, callerhttp.MaxPerSource, callerhttp.MaxConnections))
			return nil
		},
		OnStop: func(stop context.Context) error {
			err := n.stop(stop, callers, srv)
			cancel()
			wg.Wait()
			srv.Close()
			pool.Close()
			return err
		},
	})
}

// Ready implements operatorhttp.Source.
func (n *Node) Ready() error {
	if n.feed.Snapshot() == nil {
		return &operatorhttp.NotReadyError{Reason: "no document of environment " + n.cfg.Environment}
	}
	return nil
}

// State is the JSON dump of an entry process.
type State struct {
	Host        string        `json:"host"`
	Domain      string        `json:"domain"`
	Incarnation uint64        `json:"incarnation,string"`
	State       string        `json:"state"`
	Head        document.Head `json:"head"`
	// Since is when Head was put in force on this host.
	Since time.Time `json:"since,omitzero"`
	// Source is the address of the steer process that is followed now.
	Source     string           `json:"source"`
	Members    []*peerv1.Member `json:"members"`
	Slots      slots.State      `json:"slots"`
	Operations int              `json:"operations"`
	Steering   SteeringState    `json:"steering"`
	// Suspects are the requests that were in flight on servers when they crashed.
	Suspects []SuspectState `json:"suspects"`
}

// Dump implements operatorhttp.Source.
func (n *Node) Dump() any {
	s := State{Host: n.cfg.Host, Domain: n.cfg.Domain, Incarnation: n.incarnation, State: n.feed.State().String()}
	if snap := n.feed.Snapshot(); snap != nil {
		s.Head, s.Since, s.Source = snap.Head, n.feed.Since(), n.feed.Source()
		for _, m := range snap.Members {
			s.Members = append(s.Members, m)
		}
	}
	s.Operations = n.operations.len()
	s.Suspects = n.dumpSuspects()
	s.Slots = n.slots.Dump()
	s.Steering = n.steering.dump(n.clock.Now())
	return s
}
