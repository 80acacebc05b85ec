// Package standin runs the stand-ins for what surrounds a cassiatray system:
// the platform's key-value service and backend servers. It is for tests and
// the demo only.
package standin

import (
	"fmt"

	"cassiatray/internal/core/document"
	"cassiatray/internal/port"
	"cassiatray/internal/settings"
)

// Settings is the settings file of cassiatray-standin.
type Settings struct {
	// Store is the address of the key-value service; empty for none.
	Store document.Address `yaml:"store,omitempty"`
	// HostList is the address of the platform's list of hosts, which names
	// Listed and the servers below; empty for none. HostListLag is how far it
	// is behind.
	HostList    document.Address  `yaml:"hostList,omitempty"`
	HostListLag document.Duration `yaml:"hostListLag,omitempty"`
	// Listed are servers of other processes that the list names too.
	Listed []ListedSettings `yaml:"listed,omitempty"`
	// Servers are the backend servers of this process.
	Servers []ServerSettings `yaml:"servers"`
	Log     settings.Log     `yaml:"log"`
}

// ListedSettings is one server of another process in the list of hosts.
type ListedSettings struct {
	Name    string           `yaml:"name"`
	Address document.Address `yaml:"address"`
}

// ServerSettings is one backend server.
type ServerSettings struct {
	Name    string           `yaml:"name"`
	Address document.Address `yaml:"address"`
	Slots   int              `yaml:"slots"`
	// Work is the time one request takes.
	Work document.Duration `yaml:"work"`
	// Warmup and ColdFactor describe a cold start.
	Warmup     document.Duration `yaml:"warmup"`
	ColdFactor float64           `yaml:"coldFactor"`
	// Connections is how many connections the server accepts, zero for no
	// limit, and ConnectionCost what each new one costs.
	Connections    int               `yaml:"connections,omitempty"`
	ConnectionCost document.Duration `yaml:"connectionCost,omitempty"`
	// Restart is how long the server stays away after a crash.
	Restart document.Duration `yaml:"restart"`
}

// listed returns the servers as the platform's list names them at first.
func (s *Settings) listed() []port.ListedHost {
	var out []port.ListedHost
	for _, l := range s.Listed {
		out = append(out, port.ListedHost{Name: l.Name, Address: l.Address.String()})
	}
	for _, b := range s.Servers {
		out = append(out, port.ListedHost{Name: b.Name, Address: b.Address.String()})
	}
	return out
}

// Check implements settings.Checker.
func (s *Settings) Check(lines document.Lines) []document.Problem {
	var out []document.Problem
	for i, l := range s.Listed {
		key := fmt.Sprintf("listed[%d]", i)
		out = append(out, settings.Required(lines, key+".name", l.Name)...)
		out = append(out, settings.RequiredAddress(lines, key+".address", l.Address)...)
	}
	for i, srv := range s.Servers {
		key := fmt.Sprintf("servers[%d]", i)
		out = append(out, settings.Required(lines, key+".name", srv.Name)...)
		out = append(out, settings.RequiredAddress(lines, key+".address", srv.Address)...)
		if srv.Slots < 1 {
			out = append(out, settings.Fault(lines, key+".slots", "expected at least 1"))
		}
	}
	return append(out, s.Log.Check("log", lines)...)
}
