package site

import (
	"net/http"
	"time"

	"cassiatray/internal/core/document"
)

func read(name, path string, priority int, deadline time.Duration) document.Class {
	return document.Class{
		Name: name, Methods: []string{http.MethodGet, http.MethodHead}, Path: path, Execution: document.Idempotent,
		Deadline: document.Duration(deadline), Priority: priority, Retries: 10, MaxBody: 4 << 10, MaxAnswer: 1 << 20,
	}
}

func once(name, path string, deadline time.Duration) document.Class {
	return document.Class{
		Name: name, Methods: []string{http.MethodPost}, Path: path, Execution: document.AtMostOnce,
		Deadline: document.Duration(deadline), Priority: 1, MaxBody: 64 << 10, MaxAnswer: 64 << 10,
	}
}

// Coop is the co-op's site, with a number of entry hosts in each domain.
func Coop(hostsPerDomain int) Shape {
	return Shape{
		Name: "coop", Weigh: document.WeighLatency,
		Regions: []string{"carolinas", "gulf", "delta"}, DomainsPerRegion: 2, HostsPerDomain: hostsPerDomain,
		TTL: 2 * time.Second, ColdFactor: 1,
		Services: []ServiceShape{
			{Name: "rodsheet", Servers: 20, Slots: 9, Connections: 850, Work: 10 * time.Millisecond, Classes: []document.Class{
				read("sheet", "/sheets/", 0, 2*time.Second), once("signoff", "/signoffs", 5*time.Second),
			}},
			{Name: "sheetvault", Servers: 16, Slots: 9, Connections: 850, Work: 20 * time.Millisecond, Classes: []document.Class{
				read("archive", "/archive/", 7, 20*time.Second),
			}},
		},
	}
}

// Franchise is the franchise's site, with a number of entry hosts in each domain.
func Franchise(hostsPerDomain int) Shape {
	return Shape{
		Name: "franchise", Weigh: document.WeighHeadroom,
		Regions: []string{"sask", "alta", "mani"}, DomainsPerRegion: 2, HostsPerDomain: hostsPerDomain,
		TTL: 2 * time.Second, ColdFactor: 1,
		Services: []ServiceShape{
			{Name: "depot-orders", Servers: 20, Slots: 3, Connections: 800, Work: 10 * time.Millisecond, Classes: []document.Class{
				read("stock", "/stock/", 0, 2*time.Second), once("booking", "/bookings", 5*time.Second),
			}},
			{Name: "scale-ledger", Servers: 14, Slots: 3, Connections: 800, Work: 10 * time.Millisecond, Classes: []document.Class{
				read("ticket", "/tickets/", 3, 3*time.Second),
			}},
		},
	}
}
