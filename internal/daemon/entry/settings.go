package entry

import (
	"fmt"
	"time"

	"cassiatray/internal/core/document"
	"cassiatray/internal/daemon/memory"
	"cassiatray/internal/settings"
)

// Settings is the content of the settings file of cassiatray-entry.
type Settings struct {
	// Host is this entry host's name in the environment document.
	Host string `yaml:"host"`
	// Domain is this host's failure domain.
	Domain string `yaml:"domain"`
	// Environment is the environment that this host belongs to.
	Environment string `yaml:"environment"`
	// Steer is the peer address of this host's cassiatray-steer.
	Steer document.Address `yaml:"steer"`
	// Caller is the address on which this process serves callers.
	Caller document.Address `yaml:"caller"`
	// Peer is the address on which this process serves other entry hosts.
	Peer document.Address `yaml:"peer"`
	// Operator is the address that serves metrics and dumps.
	Operator document.Address `yaml:"operator"`
	// HostList is the address of the platform's list of live and leaving hosts. It is empty
	// if there is none.
	HostList document.Address `yaml:"hostList,omitempty"`
	// Heartbeat is the interval of heartbeats to the steer process.
	Heartbeat document.Duration `yaml:"heartbeat"`
	Steering  Steering          `yaml:"steering"`
	// Memory is the process's memory limit; zero for what its machine has.
	Memory document.Size `yaml:"memory,omitempty"`
	// MemoryBudget is what may be held for others: bodies, answers, heads and connections. Zero
	// is a share of Memory.
	MemoryBudget document.Size `yaml:"memoryBudget,omitempty"`
	// Descriptors is how many descriptors the process may open; zero for the limit that the
	// system sets it.
	Descriptors int `yaml:"descriptors,omitempty"`
	// Connections is how many connections callers may have; zero for a part of Descriptors that
	// fits the budget.
	Connections int          `yaml:"connections,omitempty"`
	Log         settings.Log `yaml:"log"`
}

// Steering configures how hosts are chosen for requests.
type Steering struct {
	Policy SteeringPolicy `yaml:"policy"`
}

// SteeringPolicy is a policy for choosing hosts. All policies but PolicyCapacity ignore the
// caps and serve for comparison only.
type SteeringPolicy string

// Values of SteeringPolicy.
const (
	// PolicyCapacity tries hosts from near to far and enforces the caps.
	PolicyCapacity SteeringPolicy = "capacity"
	// PolicyNearest keeps requests in the failure domain of the host that received them.
	PolicyNearest SteeringPolicy = "nearest"
	// PolicyRandom sends each request to a random entry host of any region.
	PolicyRandom SteeringPolicy = "random"
)

func (s *Steering) check(lines document.Lines) []document.Problem {
	switch s.Policy {
	case "":
		s.Policy = PolicyCapacity
	case PolicyCapacity, PolicyNearest, PolicyRandom:
	default:
		const key = "steering.policy"
		msg := fmt.Sprintf("expected capacity, nearest or random, got %q", s.Policy)
		return []document.Problem{{Line: lines.At(key), Key: key, Message: msg}}
	}
	return nil
}

func (s *Settings) memorySettings() memory.Settings {
	return memory.Settings{Memory: s.Memory, Budget: s.MemoryBudget, Descriptors: s.Descriptors, Connections: s.Connections}
}

// DefaultHeartbeat is the heartbeat interval used when the settings give none.
const DefaultHeartbeat = 500 * time.Millisecond

// Check implements settings.Checker and fills in defaults.
func (s *Settings) Check(lines document.Lines) []document.Problem {
	var out []document.Problem
	out = append(out, settings.RequiredName(lines, "host", s.Host)...)
	out = append(out, settings.RequiredName(lines, "domain", s.Domain)...)
	out = append(out, settings.RequiredName(lines, "environment", s.Environment)...)
	out = append(out, settings.RequiredAddress(lines, "steer", s.Steer)...)
	out = append(out, settings.RequiredAddress(lines, "caller", s.Caller)...)
	out = append(out, settings.RequiredAddress(lines, "peer", s.Peer)...)
	out = append(out, settings.RequiredAddress(lines, "operator", s.Operator)...)
	out = append(out, settings.Distinct(lines,
		settings.KeyedAddress{Key: "steer", Address: s.Steer}, settings.KeyedAddress{Key: "caller", Address: s.Caller},
		settings.KeyedAddress{Key: "peer", Address: s.Peer}, settings.KeyedAddress{Key: "operator", Address: s.Operator})...)
	if s.Heartbeat == 0 {
		s.Heartbeat = document.Duration(DefaultHeartbeat)
	}
	out = append(out, s.Steering.check(lines)...)
	out = append(out, s.memorySettings().Check(lines)...)
	return append(out, s.Log.Check("log", lines)...)
}
