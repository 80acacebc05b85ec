package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"cassiatray/internal/core/document"
	"cassiatray/internal/logging"
	"cassiatray/internal/program"
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
		hosts = append(hosts, &host{address: cfg.Store, build: func(func()) (http.Handler, connCounter) { return handler, nil }, log: part})
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

// connCounter is told of connections opened (+1) and closed (-1).
type connCounter func(delta int)

// host serves one address and starts anew after a crash.
type host struct {
	address document.Address
	restart time.Duration
	build   func(crash func()) (http.Handler, connCounter)
	log     *logrus.Entry

	mu      sync.Mutex
	http    *http.Server
	stopped bool
}

func newServerHost(s ServerSettings, log *logrus.Entry) *host {
	cfg := server.Config{Name: s.Name, Slots: s.Slots, Work: s.Work.D(), Warmup: s.Warmup.D(), ColdFactor: s.ColdFactor}
	// Runs are counted over crashes: the server keeps its statistics.
	var kept *server.Server
	build := func(crash func()) (http.Handler, connCounter) {
		if kept == nil {
			kept = server.New(cfg, crash)
		} else {
			kept.Restart(crash)
		}
		return kept.Handler(), kept.CountConnection
	}
	return &host{address: s.Address, restart: s.Restart.D(), build: build, log: log}
}

func (h *host) start() error {
	l, err := program.Listen(h.address)
	if err != nil {
		return err
	}
	handler, count := h.build(h.crash)
	srv := &http.Server{Handler: handler}
	if count != nil {
		srv.ConnState = func(_ net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew:
				count(1)
			case http.StateClosed, http.StateHijacked:
				count(-1)
			}
		}
	}
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
