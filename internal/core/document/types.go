// Package document defines environment documents: their types, strict parsing,
// checks, and the sections in which they are stored and compared. It does no
// I/O.
//
// A document does not contain the name of its environment, so that promotion
// can apply identical sections to another environment.
package document

import (
	"net/netip"
	"time"
)

// Document is the configuration that operators write for an environment.
type Document struct {
	// Weigh is the goal that the environment optimizes for: WeighLatency or
	// WeighHeadroom.
	Weigh    Weigh     `yaml:"weigh" json:"weigh"`
	Lookup   Lookup    `yaml:"lookup" json:"lookup"`
	Regions  []Region  `yaml:"regions" json:"regions"`
	Links    []Link    `yaml:"links,omitempty" json:"links,omitempty"`
	Services []Service `yaml:"services" json:"services"`
	Caps     Caps      `yaml:"caps" json:"caps"`
	Clients  []Client  `yaml:"clients" json:"clients"`
	Drains   []Drain   `yaml:"drains,omitempty" json:"drains,omitempty"`
}

// Weigh is a goal that an environment optimizes for.
type Weigh string

// Values of Weigh.
const (
	WeighLatency  Weigh = "latency"
	WeighHeadroom Weigh = "headroom"
)

// Lookup sets how callers may cache lookup responses.
type Lookup struct {
	// TTL is how long a caller may use a response.
	TTL Duration `yaml:"ttl" json:"ttl"`
	// Hosts is the number of entry hosts in a response.
	Hosts int `yaml:"hosts" json:"hosts"`
}

// Region is a group of failure domains that are close to each other.
type Region struct {
	Name    string   `yaml:"name" json:"name"`
	Domains []Domain `yaml:"domains" json:"domains"`
}

// Domain is a failure domain with its entry hosts.
type Domain struct {
	Name       string      `yaml:"name" json:"name"`
	EntryHosts []EntryHost `yaml:"entryHosts" json:"entryHosts"`
}

// EntryHost is a host that runs cassiatray-entry and cassiatray-steer.
type EntryHost struct {
	Name string `yaml:"name" json:"name"`
	// Caller is the address that callers connect to.
	Caller Address `yaml:"caller" json:"caller"`
	// Entry is the peer address of cassiatray-entry.
	Entry Address `yaml:"entry" json:"entry"`
	// Steer is the peer address of cassiatray-steer.
	Steer Address `yaml:"steer" json:"steer"`
	// EntryOperator and SteerOperator are the operator addresses of the two
	// daemons; zero if operators do not query this host.
	EntryOperator Address `yaml:"entryOperator,omitempty" json:"entryOperator,omitzero"`
	SteerOperator Address `yaml:"steerOperator,omitempty" json:"steerOperator,omitzero"`
}

// Link is the network path between two regions, in both directions.
type Link struct {
	Between []string `yaml:"between" json:"between"`
	// Mbps is the capacity in each direction, in Mbit/s.
	Mbps int `yaml:"mbps" json:"mbps"`
	// Share is the percentage of the capacity that this system may use.
	Share Percent `yaml:"share" json:"share"`
	// Delay is the one-way delay.
	Delay Duration `yaml:"delay" json:"delay"`
}

// Service is a set of equivalent backend servers and the classes of requests
// that they handle.
type Service struct {
	Name string `yaml:"name" json:"name"`
	// Slots is the number of requests that one server runs concurrently.
	Slots int `yaml:"slots" json:"slots"`
	// Connections is the maximum number of connections that one server accepts.
	Connections int             `yaml:"connections" json:"connections"`
	ColdStart   ColdStart       `yaml:"coldStart" json:"coldStart"`
	Servers     []BackendServer `yaml:"servers" json:"servers"`
	Classes     []Class         `yaml:"classes" json:"classes"`
}

// ColdStart describes how gradually a new server is given work.
type ColdStart struct {
	// Connection is the time that opening a new connection takes.
	Connection Duration `yaml:"connection" json:"connection"`
	// Warmup is the time in which a new server reaches its full number of
	// slots.
	Warmup Duration `yaml:"warmup" json:"warmup"`
	// InitialSlots is the number of slots that a new server starts with; zero
	// means one.
	InitialSlots int `yaml:"initialSlots,omitempty" json:"initialSlots,omitempty"`
}

// BackendServer is one process that runs requests of a service.
type BackendServer struct {
	Name    string  `yaml:"name" json:"name"`
	Domain  string  `yaml:"domain" json:"domain"`
	Address Address `yaml:"address" json:"address"`
}

// Execution states whether a request of a class may run more than once.
type Execution string

// Values of Execution.
const (
	Idempotent Execution = "idempotent"
	AtMostOnce Execution = "at-most-once"
)

// Class is a group of requests of a service that are handled alike. The first
// class that matches a request applies.
type Class struct {
	Name    string   `yaml:"name" json:"name"`
	Methods []string `yaml:"methods" json:"methods"`
	// Path is a path prefix.
	Path      string    `yaml:"path" json:"path"`
	Execution Execution `yaml:"execution" json:"execution"`
	// Deadline is the total time that a request may take.
	Deadline Duration `yaml:"deadline" json:"deadline"`
	// Priority orders queued requests, from 0 to 9; lower numbers go first.
	Priority int `yaml:"priority" json:"priority"`
	// Retries limits retries, as a percentage of the class's requests.
	Retries Percent `yaml:"retries" json:"retries"`
	// MaxBody and MaxAnswer limit the bodies of requests and of responses, in
	// bytes.
	MaxBody   Size `yaml:"maxBody" json:"maxBody"`
	MaxAnswer Size `yaml:"maxAnswer" json:"maxAnswer"`
	// HedgeAfter is the minimum wait before a second copy of an idempotent
	// request may be sent; zero disables hedging.
	HedgeAfter Duration `yaml:"hedgeAfter,omitempty" json:"hedgeAfter,omitempty"`
	// RequireOperationID rejects requests without an operation ID. At-most-once
	// requests without one are always rejected.
	RequireOperationID bool `yaml:"requireOperationId,omitempty" json:"requireOperationId,omitempty"`
}

// Caps limit where traffic may go and how fast it may shift.
type Caps struct {
	// Regions limits the work that one region accepts from another. Pairs of
	// regions without an entry are limited only by Services.
	Regions []RegionCap `yaml:"regions,omitempty" json:"regions,omitempty"`
	// Services limits how much of a region's capacity steering may plan to use;
	// without an entry it may plan to use all slots.
	Services []ServiceCap `yaml:"services,omitempty" json:"services,omitempty"`
	// Links limits the traffic on a link, in addition to Link.Share.
	Links []LinkCap `yaml:"links,omitempty" json:"links,omitempty"`
	// Shift limits the rate at which shares change.
	Shift ShiftCap `yaml:"shift" json:"shift"`
	// Shifts overrides Shift for single services.
	Shifts []ServiceShiftCap `yaml:"shifts,omitempty" json:"shifts,omitempty"`
}

// RegionCap limits the work that one region accepts from another for a service.
type RegionCap struct {
	Service string `yaml:"service" json:"service"`
	From    string `yaml:"from" json:"from"`
	To      string `yaml:"to" json:"to"`
	// Share is a percentage of the receiving region's slots for the service.
	Share Percent `yaml:"share" json:"share"`
}

// ServiceCap limits the load that steering plans for a service in a region.
type ServiceCap struct {
	Service string `yaml:"service" json:"service"`
	// Region is empty in the entry for all regions without one of their own.
	Region string `yaml:"region,omitempty" json:"region,omitempty"`
	// Share is a percentage of the region's slots for the service.
	Share Percent `yaml:"share" json:"share"`
}

// LinkCap limits the traffic on the link between two regions, in each
// direction.
type LinkCap struct {
	Between []string `yaml:"between" json:"between"`
	// Service is empty in a cap on the sum of all services.
	Service string `yaml:"service,omitempty" json:"service,omitempty"`
	// Mbps is the limit in Mbit/s.
	Mbps int `yaml:"mbps" json:"mbps"`
}

// ShiftCap limits how much traffic may shift within a period.
type ShiftCap struct {
	// Share is a percentage of a region's slots for a service.
	Share Percent `yaml:"share" json:"share"`
	// Per is the period.
	Per Duration `yaml:"per" json:"per"`
}

// ServiceShiftCap is the ShiftCap of one service.
type ServiceShiftCap struct {
	Service string   `yaml:"service" json:"service"`
	Share   Percent  `yaml:"share" json:"share"`
	Per     Duration `yaml:"per" json:"per"`
}

// Client maps a block of client addresses to regions in order of preference.
type Client struct {
	Block   Prefix   `yaml:"block" json:"block"`
	Regions []string `yaml:"regions" json:"regions"`
}

// Drain is a planned period in which a server, failure domain or region takes
// no new work.
type Drain struct {
	// Exactly one of Server, Domain and Region is set. Server is
	// "service/name".
	Server string `yaml:"server,omitempty" json:"server,omitempty"`
	Domain string `yaml:"domain,omitempty" json:"domain,omitempty"`
	Region string `yaml:"region,omitempty" json:"region,omitempty"`
	// At is when the drain starts.
	At time.Time `yaml:"at" json:"at"`
	// Until is when the drain ends; zero means that it lasts until it is
	// removed from the document.
	Until time.Time `yaml:"until,omitempty" json:"until,omitzero"`
	// Reason explains the drain to readers of the document.
	Reason string `yaml:"reason,omitempty" json:"reason,omitempty"`
}

// Duration is a non-negative time.Duration, written as in "250ms".
type Duration time.Duration

// D returns the value as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// Percent is a percentage from 0 to 100, written as in "30%".
type Percent float64

// Fraction returns the percentage as a fraction from 0 to 1.
func (p Percent) Fraction() float64 { return float64(p) / 100 }

// Size is a number of bytes, written as in "64KiB".
type Size int64

// Address is an IP address with a port.
type Address struct{ netip.AddrPort }

// Prefix is a block of client addresses in CIDR notation, without host bits.
type Prefix struct{ netip.Prefix }
