package gateway

import (
	"net/netip"
	"time"

	"cassiatray/internal/core/document"
	"cassiatray/internal/settings"
)

// Settings are the settings of a gateway.
type Settings struct {
	// Host names the process; unique among all gateways.
	Host   string `yaml:"host"`
	Domain string `yaml:"domain"`
	Region string `yaml:"region"`
	// Domains are all failure domains with their regions.
	Domains []DomainRegion `yaml:"domains"`
	// Caller, Ready, Directory, Peer and Operator are listened on.
	Caller    document.Address `yaml:"caller"`
	Ready     document.Address `yaml:"ready"`
	Directory document.Address `yaml:"directory"`
	Peer      document.Address `yaml:"peer"`
	Operator  document.Address `yaml:"operator"`
	// Seeds are addresses of hosts that may run gateways. They may be stale,
	// and their ports are not used: all gateways listen for peers on one port.
	Seeds []string `yaml:"seeds"`
	// Store is the address of the platform's key-value service.
	Store document.Address `yaml:"store"`
	// Source is the local address of connections to backend servers on hosts with several; the
	// zero value leaves it to the system.
	Source netip.Addr `yaml:"source"`
	// Capacity is the host's processor share, in cores.
	Capacity float64 `yaml:"capacity"`
	// Memory is the process's memory limit; zero for what its machine has.
	Memory document.Size `yaml:"memory"`
	// MemoryBudget is what may be held for others: bodies, answers, heads and connections. Zero
	// is a share of Memory.
	MemoryBudget document.Size `yaml:"memoryBudget"`
	// Descriptors is how many descriptors the process may open; zero for the limit that the
	// system sets it.
	Descriptors int `yaml:"descriptors"`
	// Connections is how many connections callers may have; zero for a part of Descriptors that
	// fits the budget.
	Connections int          `yaml:"connections"`
	Bounds      Bounds       `yaml:"bounds"`
	Log         settings.Log `yaml:"log"`
}

// DomainRegion places a failure domain in a region.
type DomainRegion struct {
	Domain string `yaml:"domain"`
	Region string `yaml:"region"`
}

// regionOf returns the region of a failure domain, or "".
func (s *Settings) regionOf(domain string) string {
	for _, d := range s.Domains {
		if d.Domain == domain {
			return d.Region
		}
	}
	return ""
}

// Bounds are the limits that operators set for the whole system.
type Bounds struct {
	// Drain is how soon a leaving server must get no more work.
	Drain document.Duration `yaml:"drain"`
	// Grace is how long the process may take to stop.
	Grace document.Duration `yaml:"grace"`
	// ConfigApply is how soon a configuration must be in force; zero for no
	// sooner than drains.
	ConfigApply document.Duration `yaml:"configApply"`
	// RetryRatio, RetryWindow and RetryExtra bound the repeats to a service by
	// all gateways: in every window at most the ratio of its requests, and
	// some more.
	RetryRatio  float64           `yaml:"retryRatio"`
	RetryWindow document.Duration `yaml:"retryWindow"`
	RetryExtra  float64           `yaml:"retryExtra"`
	// HoldMax is how long callers may hold an answer of the directory.
	HoldMax document.Duration `yaml:"holdMax"`
}

// Defaults of bounds that the settings leave out: the least of what the users'
// sites set.
const (
	defaultDrain       = 2500 * time.Millisecond
	defaultGrace       = 6 * time.Second
	defaultRetryRatio  = 0.2
	defaultRetryWindow = 10 * time.Second
	defaultHoldMax     = 5 * time.Second
)

// Check implements settings.Checker. It fills in defaults.
func (s *Settings) Check(lines document.Lines) []document.Problem {
	out := settings.RequiredName(lines, "host", s.Host)
	out = append(out, settings.RequiredName(lines, "domain", s.Domain)...)
	out = append(out, settings.RequiredName(lines, "region", s.Region)...)
	list := []settings.KeyedAddress{
		{Key: "caller", Address: s.Caller}, {Key: "ready", Address: s.Ready}, {Key: "directory", Address: s.Directory},
		{Key: "peer", Address: s.Peer}, {Key: "operator", Address: s.Operator}, {Key: "store", Address: s.Store},
	}
	for _, k := range list {
		out = append(out, settings.RequiredAddress(lines, k.Key, k.Address)...)
	}
	out = append(out, settings.Distinct(lines, list...)...)
	if got := s.regionOf(s.Domain); s.Domain != "" && got != s.Region {
		out = append(out, settings.Fault(lines, "domains", "expected domain %q in region %q, got %q", s.Domain, s.Region, got))
	}
	if !(s.Capacity > 0) {
		out = append(out, settings.Fault(lines, "capacity", "expected a share of a core above zero, got %v", s.Capacity))
	}
	if s.Bounds.RetryRatio < 0 || s.Bounds.RetryExtra < 0 {
		out = append(out, settings.Fault(lines, "bounds.retryRatio", "expected no negative share"))
	}
	out = append(out, s.memorySettings().Check(lines)...)
	s.setDefaults()
	return append(out, s.Log.Check("log", lines)...)
}

func (s *Settings) setDefaults() {
	fill := func(d *document.Duration, v time.Duration) {
		if *d == 0 {
			*d = document.Duration(v)
		}
	}
	fill(&s.Bounds.Drain, defaultDrain)
	fill(&s.Bounds.Grace, defaultGrace)
	fill(&s.Bounds.RetryWindow, defaultRetryWindow)
	fill(&s.Bounds.HoldMax, defaultHoldMax)
	if s.Bounds.RetryRatio == 0 && s.Bounds.RetryExtra == 0 {
		s.Bounds.RetryRatio = defaultRetryRatio
	}
}
