package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"cassiatray/internal/core/document"
	"cassiatray/internal/logging"
	"cassiatray/internal/program"
	"cassiatray/internal/standin/hostlist"
	"cassiatray/internal/standin/server"
	"cassiatray/internal/standin/store"
)

// Module wires a stand-in process. It needs *Settings and *logrus.Logger.
var Module = fx.Module("standin", fx.Invoke(start))

func start(lc fx.Lifecycle, cfg *Settings, log *logrus.Logger) {
	part := logging.Part(log, "standin")
	var hosts []*host
	if cfg.Store.IsValid() {
		handler := store.New().Handler()
		hosts = append(hosts, &host{address: cfg.Store, build: func(h *http.Server, _ func()) { h.Handler = handler }, log: part})
	}
	if cfg.HostList.IsValid() {
		list := hostlist.New(cfg.HostListLag.D(), cfg.listed())
		build := func(h *http.Server, _ func()) { h.Handler = list.Handler() }
		hosts = append(hosts, &host{address: cfg.HostList, build: build, log: part})
	}
	for _, s := range cfg.Servers {
		hosts = append(hosts, newServerHost(s, part))
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			for _, h := range hosts {
				if err := h.start(); err != nil {
					return err
				}
			}
			return nil
		},
		OnStop: func(context.Context) error {
			for _, h := range hosts {
				h.stop()
			}
			return nil
		},
	})
}

// host serves one address and starts anew after a crash.
type host struct {
	address document.Address
	restart time.Duration
	// build sets up the HTTP server of each start.
	build func(h *http.Server, crash func())
	log   *logrus.Entry

	mu      sync.Mutex
	http    *http.Server
	stopped bool
}

func newServerHost(s ServerSettings, log *logrus.Entry) *host {
	cfg := server.Config{Name: s.Name, Slots: s.Slots, Work: s.Work.D(), Warmup: s.Warmup.D(), ColdFactor: s.ColdFactor,
		Connections: s.Connections, ConnectionCost: s.ConnectionCost.D()}
	// Runs are counted over crashes: the server keeps its statistics.
	var kept *server.Server
	build := func(h *http.Server, crash func()) {
		if kept == nil {
			kept = server.New(cfg, crash)
		} else {
			kept.Restart(crash)
		}
		kept.Configure(h)
	}
	return &host{address: s.Address, restart: s.Restart.D(), build: build, log: log}
}

func (h *host) start() error {
	l, err := program.Listen(h.address)
	if err != nil {
		return err
	}
	srv := new(http.Server)
	h.build(srv, h.crash)
	h.mu.Lock()
	h.http = srv
	h.mu.Unlock()
	go srv.Serve(l)
	return nil
}

// crash cuts every connection at once and, when a restart time is set, starts
// the server anew after it.
func (h *host) crash() {
	h.log.WithField("address", h.address.String()).Warn("Crashed.")
	h.cut()
	if h.restart == 0 {
		return
	}
	time.AfterFunc(h.restart, func() {
		h.mu.Lock()
		stopped := h.stopped
		h.mu.Unlock()
		if stopped {
			return
		}
		if err := h.start(); err != nil {
			h.log.WithError(err).Error("Cannot start again.")
		}
	})
}

func (h *host) cut() {
	h.mu.Lock()
	srv := h.http
	h.mu.Unlock()
	if srv != nil {
		srv.Close()
	}
}

func (h *host) stop() {
	h.mu.Lock()
	h.stopped = true
	h.mu.Unlock()
	h.cut()
}
