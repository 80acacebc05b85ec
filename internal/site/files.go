package site

import (
	"os"
	"path/filepath"
	"time"

	"go.yaml.in/yaml/v3"

	"cassiatray/internal/core/document"
	"cassiatray/internal/daemon/entry"
	"cassiatray/internal/daemon/steer"
	"cassiatray/internal/standin"
)

const filePerm = 0o644

func writeYAML(file string, value any) error {
	data, err := yaml.Marshal(value)
	if err != nil {
		return err
	}
	return os.WriteFile(file, data, filePerm)
}

// WriteDocument writes a document in YAML.
func WriteDocument(file string, doc *document.Document) error { return writeYAML(file, doc) }

func (p *Plan) steerSettings(h HostPlan, environment string) steer.Settings {
	s := steer.Settings{
		Host: h.Name, Domain: h.Domain, Environment: environment, Platform: p.Store,
		Peer: h.Steer, Operator: h.SteerOperator, Heartbeat: document.Duration(steer.DefaultHeartbeat),
		PlatformTimeout: document.Duration(steer.DefaultPlatformTimeout),
	}
	for _, other := range p.Hosts {
		if other.Name != h.Name {
			s.Seeds = append(s.Seeds, other.Steer)
		}
	}
	return s
}

func (p *Plan) entrySettings(h HostPlan, environment string) entry.Settings {
	return entry.Settings{
		Host: h.Name, Domain: h.Domain, Environment: environment, Steer: h.Steer, Caller: h.Caller,
		Peer: h.Entry, Operator: h.EntryOperator, Heartbeat: document.Duration(entry.DefaultHeartbeat),
	}
}

func (p *Plan) standinSettings() standin.Settings {
	s := standin.Settings{Store: p.Store}
	for _, b := range p.Servers {
		s.Servers = append(s.Servers, standin.ServerSettings{
			Name: b.Name, Address: b.Address, Slots: b.Slots, Work: document.Duration(b.Work),
			ColdFactor: 1, Restart: document.Duration(crashRestart),
		})
	}
	return s
}

// write puts all settings files of a plan into a directory.
func (p *Plan) write(dir, environment string) error {
	if err := writeYAML(filepath.Join(dir, "standin.yaml"), p.standinSettings()); err != nil {
		return err
	}
	for _, h := range p.Hosts {
		if err := writeYAML(filepath.Join(dir, h.Name+"-steer.yaml"), p.steerSettings(h, environment)); err != nil {
			return err
		}
		if err := writeYAML(filepath.Join(dir, h.Name+"-entry.yaml"), p.entrySettings(h, environment)); err != nil {
			return err
		}
	}
	return WriteDocument(filepath.Join(dir, "document.yaml"), p.Document)
}

// WriteDrain writes the site's document with one server drained from now on.
func (s *Site) WriteDrain(name string, b ServerPlan) error {
	doc := *s.Document
	doc.Drains = append(doc.Drains[:len(doc.Drains):len(doc.Drains)], document.Drain{
		Server: b.Service + "/" + b.Name, At: time.Now().UTC().Truncate(time.Second),
	})
	return WriteDocument(s.File(name), &doc)
}
