// Package document holds environment documents: their types, strict parsing,
// checks, and the sections they are stored and compared by. It does no I/O.
//
// A document never names its environment, so that promotion can put the very
// same sections in force elsewhere.
package document

import (
	"net/netip"
	"time"
)

// Document is what operators write for an environment.
type Document struct {
	// Weigh says what the environment weighs most: WeighLatency or WeighHeadroom.
	Weigh    Weigh     `yaml:"weigh" json:"weigh"`
	Lookup   Lookup    `yaml:"lookup" json:"lookup"`
	Regions  []Region  `yaml:"regions" json:"regions"`
	Links    []Link    `yaml:"links,omitempty" json:"links,omitempty"`
	Services []Service `yaml:"services" json:"services"`
	Caps     Caps      `yaml:"caps" json:"caps"`
	Clients  []Client  `yaml:"clients" json:"clients"`
	Drains   []Drain   `yaml:"drains,omitempty" json:"drains,omitempty"`
}

// Weigh is the measure an environment weighs most.
type Weigh string

// Values of Weigh.
const (
	WeighLatency  Weigh = "latency"
	WeighHeadroom Weigh = "headroom"
)

// Lookup sets how callers may cache look-up answers.
type Lookup struct {
	// TTL is how long a caller may use an answer.
	TTL Duration `yaml:"ttl" json:"ttl"`
	// Hosts is how many entry hosts an answer names.
	Hosts int `yaml:"hosts" json:"hosts"`
}

// Region is a group of failure domains near each other.
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
	// Caller is the address callers use.
	Caller Address `yaml:"caller" json:"caller"`
	// Entry is the peer address of cassiatray-entry.
	Entry Address `yaml:"entry" json:"entry"`
	// Steer is the peer address of cassiatray-steer.
	Steer Address `yaml:"steer" json:"steer"`
	// EntryOperator and SteerOperator are the operator addresses of both
	// daemons; zero when operators do not ask this host.
	EntryOperator Address `yaml:"entryOperator,omitempty" json:"entryOperator,omitzero"`
	SteerOperator Address `yaml:"steerOperator,omitempty" json:"steerOperator,omitzero"`
}

// Link is the path between two regions, in both directions.
type Link struct {
	Between []string `yaml:"between" json:"between"`
	// Mbps is the capacity each way, in megabits a second.
	Mbps int `yaml:"mbps" json:"mbps"`
	// Share is the part of the capacity that this system may use, in percent.
	Share Percent `yaml:"share" json:"share"`
	// Delay is the one-way delay.
	Delay Duration `yaml:"delay" json:"delay"`
}

// Service is a set of like backend servers and the requests they take.
type Service struct {
	Name string `yaml:"name" json:"name"`
	// Slots is how many requests one server runs at once.
	Slots int `yaml:"slots" json:"slots"`
	// Connections is how many connections one server accepts.
	Connections int             `yaml:"connections" json:"connections"`
	ColdStart   ColdStart       `yaml:"coldStart" json:"coldStart"`
	Servers     []BackendServer `yaml:"servers" json:"servers"`
	Classes     []Class         `yaml:"classes" json:"classes"`
}

// ColdStart describes how slowly a new server is given work.
type ColdStart struct {
	// Connection is the cost of a new connection.
	Connection Duration `yaml:"connection" json:"connection"`
	// Warmup is the time over which a new server reaches its full slots.
	Warmup Duration `yaml:"warmup" json:"warmup"`
	// InitialSlots is how many slots a new server is given at first; zero
	// means one.
	InitialSlots int `yaml:"initialSlots,omitempty" json:"initialSlots,omitempty"`
}

// BackendServer is one process that runs requests of a service.
type BackendServer struct {
	Name    string  `yaml:"name" json:"name"`
	Domain  string  `yaml:"domain" json:"domain"`
	Address Address `yaml:"address" json:"address"`
}

// Execution is how often a request of a class may run.
type Execution string

// Values of Execution.
const (
	Idempotent Execution = "idempotent"
	AtMostOnce Execution = "at-most-once"
)

// Class is a kind of request of a service. The first class that matches a
// request applies.
type Class struct {
	Name    string   `yaml:"name" json:"name"`
	Methods []string `yaml:"methods" json:"methods"`
	// Path is a path prefix.
	Path      string    `yaml:"path" json:"path"`
	Execution Execution `yaml:"execution" json:"execution"`
	// Deadline is the time a request may take in all.
	Deadline Duration `yaml:"deadline" json:"deadline"`
	// Priority orders waiting requests: a lower number goes first, 0 to 9.
	Priority int `yaml:"priority" json:"priority"`
	// Retries bounds retries, in percent of the class's requests.
	Retries Percent `yaml:"retries" json:"retries"`
	// MaxBody bounds a request's body and MaxAnswer an answer's, in bytes.
	MaxBody   Size `yaml:"maxBody" json:"maxBody"`
	MaxAnswer Size `yaml:"maxAnswer" json:"maxAnswer"`
	// HedgeAfter is the least wait before a second copy of an idempotent
	// request may be sent; zero means that none is.
	HedgeAfter Duration `yaml:"hedgeAfter,omitempty" json:"hedgeAfter,omitempty"`
	// RequireOperationID refuses requests without an operation ID. At-most-once
	// requests without one are always refused.
	RequireOperationID bool `yaml:"requireOperationId,omitempty" json:"requireOperationId,omitempty"`
}

// Caps bound where traffic may go and how fast it may move.
type Caps struct {
	// Regions bounds the work that regions take from each other. Regions that
	// no entry joins take from each other up to what Services leaves.
	Regions []RegionCap `yaml:"regions,omitempty" json:"regions,omitempty"`
	// Services bounds how full steering may plan a region; without an entry
	// it may plan all slots.
	Services []ServiceCap `yaml:"services,omitempty" json:"services,omitempty"`
	// Links bounds what crosses a link, beside Link.Share.
	Links []LinkCap `yaml:"links,omitempty" json:"links,omitempty"`
	// Shift bounds every change of shares.
	Shift ShiftCap `yaml:"shift" json:"shift"`
	// Shifts replaces Shift for single services.
	Shifts []ServiceShiftCap `yaml:"shifts,omitempty" json:"shifts,omitempty"`
}

// RegionCap bounds the work one region takes from another for a service.
type RegionCap struct {
	Service string `yaml:"service" json:"service"`
	From    string `yaml:"from" json:"from"`
	To      string `yaml:"to" json:"to"`
	// Share is in percent of the receiving region's slots for the service.
	Share Percent `yaml:"share" json:"share"`
}

// ServiceCap bounds the load that steering plans for a service in a region.
type ServiceCap struct {
	Service string `yaml:"service" json:"service"`
	// Region is empty for every region without an entry of its own.
	Region string `yaml:"region,omitempty" json:"region,omitempty"`
	// Share is in percent of the region's slots for the service.
	Share Percent `yaml:"share" json:"share"`
}

// LinkCap bounds what crosses the link between two regions, each way.
type LinkCap struct {
	Between []string `yaml:"between" json:"between"`
	// Service is empty for all services together.
	Service string `yaml:"service,omitempty" json:"service,omitempty"`
	// Mbps is in megabits a second.
	Mbps int `yaml:"mbps" json:"mbps"`
}

// ShiftCap bounds how much traffic may move within a period.
type ShiftCap struct {
	// Share is in percent of a region's slots for a service.
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

// Drain is a planned stop of a server, a domain or a region.
type Drain struct {
	// Exactly one of Server, Domain and Region is set. Server is
	// "service/name".
	Server string `yaml:"server,omitempty" json:"server,omitempty"`
	Domain string `yaml:"domain,omitempty" json:"domain,omitempty"`
	Region string `yaml:"region,omitempty" json:"region,omitempty"`
	// At is when the drain begins.
	At time.Time `yaml:"at" json:"at"`
	// Until is when the drain ends; zero means not before it is removed.
	Until time.Time `yaml:"until,omitempty" json:"until,omitzero"`
	// Reason says why, for the readers of the document.
	Reason string `yaml:"reason,omitempty" json:"reason,omitempty"`
}

// Duration is a time span written like "250ms".
type Duration time.Duration

// D returns the span as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// Percent is a share from 0 to 100, written like "30%".
type Percent float64

// Fraction returns the share from 0 to 1.
func (p Percent) Fraction() float64 { return float64(p) / 100 }

// Size is a number of bytes, written like "64KiB".
type Size int64

// Address is an IP address with a port.
type Address struct{ netip.AddrPort }

// Prefix is a block of client addresses in CIDR notation, without host bits.
type Prefix struct{ netip.Prefix }
