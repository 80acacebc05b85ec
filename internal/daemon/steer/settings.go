package steer

import (
	"time"

	"cassiatray/internal/core/document"
	"cassiatray/internal/daemon/memory"
	"cassiatray/internal/settings"
)

// Settings is the settings file of cassiatray-steer.
type Settings struct {
	// Host is this entry host's name in the environment document.
	Host string `yaml:"host"`
	// Domain is this host's failure domain.
	Domain string `yaml:"domain"`
	// Environment is the environment this host runs.
	Environment string `yaml:"environment"`
	// Platform is the address of the platform's key-value service.
	Platform document.Address `yaml:"platform"`
	// PlatformTimeout bounds one call to the platform that does not wait.
	PlatformTimeout document.Duration `yaml:"platformTimeout"`
	// Peer is the address on which other processes reach this one.
	Peer document.Address `yaml:"peer"`
	// Operator is the address of metrics and dumps.
	Operator document.Address `yaml:"operator"`
	// Seeds are peer addresses of other steer processes, asked for a document
	// when the platform gives none.
	Seeds []document.Address `yaml:"seeds"`
	// Heartbeat is the interval of heartbeats; a member is gone after
	// heartbeatsMissed intervals.
	Heartbeat document.Duration `yaml:"heartbeat"`
	// Memory is the process's memory limit; zero for what its machine has.
	Memory document.Size `yaml:"memory,omitempty"`
	// Descriptors is how many descriptors the process may open; zero for the limit that the
	// system sets it.
	Descriptors int          `yaml:"descriptors,omitempty"`
	Log         settings.Log `yaml:"log"`
}

// Defaults of settings that may be left out.
const (
	DefaultHeartbeat       = 500 * time.Millisecond
	DefaultPlatformTimeout = 2 * time.Second
	heartbeatsMissed       = 4
)

func (s *Settings) memorySettings() memory.Settings {
	return memory.Settings{Memory: s.Memory, Descriptors: s.Descriptors}
}

// Check implements settings.Checker and fills in defaults.
func (s *Settings) Check(lines document.Lines) []document.Problem {
	var out []document.Problem
	out = append(out, settings.RequiredName(lines, "host", s.Host)...)
	out = append(out, settings.RequiredName(lines, "domain", s.Domain)...)
	out = append(out, settings.RequiredName(lines, "environment", s.Environment)...)
	out = append(out, settings.RequiredAddress(lines, "platform", s.Platform)...)
	out = append(out, settings.RequiredAddress(lines, "peer", s.Peer)...)
	out = append(out, settings.RequiredAddress(lines, "operator", s.Operator)...)
	out = append(out, settings.Distinct(lines,
		settings.KeyedAddress{Key: "platform", Address: s.Platform}, settings.KeyedAddress{Key: "peer", Address: s.Peer},
		settings.KeyedAddress{Key: "operator", Address: s.Operator})...)
	if s.Heartbeat == 0 {
		s.Heartbeat = document.Duration(DefaultHeartbeat)
	}
	if s.PlatformTimeout == 0 {
		s.PlatformTimeout = document.Duration(DefaultPlatformTimeout)
	}
	out = append(out, s.memorySettings().Check(lines)...)
	return append(out, s.Log.Check("log", lines)...)
}
