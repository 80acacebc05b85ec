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

// StoreName is the name of the process that stands in for the platform's store.
const StoreName = "store"

// HostListName is the name of the process that stands in for the platform's
// list of hosts.
const HostListName = "hostlist"

// hostListLag is how far a site's list of hosts is behind.
const hostListLag = 5 * time.Second

// ServersName is the name of the process that runs the backend servers of a
// failure domain.
func ServersName(domain string) string { return "servers-" + domain }

// SteerName is the name of the steer process of a host.
func SteerName(host string) string { return host + "-steer" }

// EntryName is the name of the entry process of a host.
func EntryName(host string) string { return host + "-entry" }

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
		HostList: p.HostList,
	}
}

// serverSettings are the settings of the stand-in that runs the servers of a
// failure domain.
func (p *Plan) serverSettings(domain string) standin.Settings {
	var s standin.Settings
	for _, b := range p.Servers {
		if b.Domain != domain {
			continue
		}
		s.Servers = append(s.Servers, standin.ServerSettings{
			Name: b.Name, Address: b.Address, Slots: b.Slots, Work: document.Duration(b.Work),
			Warmup: document.Duration(p.Shape.Warmup), ColdFactor: p.Shape.ColdFactor,
			Connections: b.Connections, ConnectionCost: b.ConnectionCost, Restart: document.Duration(crashRestart),
		})
	}
	return s
}

// hostListSettings are the settings of the stand-in that serves the platform's
// list of hosts. It outlives the servers that it names.
func (p *Plan) hostListSettings() standin.Settings {
	s := standin.Settings{HostList: p.HostList, HostListLag: document.Duration(hostListLag)}
	for _, b := range p.Servers {
		s.Listed = append(s.Listed, standin.ListedSettings{Name: b.Name, Address: b.Address})
	}
	return s
}

// write puts all settings files of a plan into a directory.
func (p *Plan) write(dir, environment string) error {
	if err := writeYAML(filepath.Join(dir, StoreName+".yaml"), standin.Settings{Store: p.Store}); err != nil {
		return err
	}
	if err := writeYAML(filepath.Join(dir, HostListName+".yaml"), p.hostListSettings()); err != nil {
		return err
	}
	for _, domain := range p.Document.DomainNames() {
		if err := writeYAML(filepath.Join(dir, ServersName(domain)+".yaml"), p.serverSettings(domain)); err != nil {
			return err
		}
	}
	for _, h := range p.Hosts {
		if err := writeYAML(filepath.Join(dir, SteerName(h.Name)+".yaml"), p.steerSettings(h, environment)); err != nil {
			return err
		}
		if err := writeYAML(filepath.Join(dir, EntryName(h.Name)+".yaml"), p.entrySettings(h, environment)); err != nil {
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
