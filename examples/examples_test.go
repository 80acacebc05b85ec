// Package examples_test loads the examples with the code of the programs.
package examples_test

import (
	"os"
	"path/filepath"
	"testing"

	"cassiatray/internal/core/document"
	"cassiatray/internal/daemon/entry"
	"cassiatray/internal/daemon/steer"
	"cassiatray/internal/settings"
)

func load(t *testing.T, name string) *document.Document {
	t.Helper()
	file := filepath.Join(name, "document.yaml")
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	doc, err := document.Parse(file, data)
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

func TestDocuments(t *testing.T) {
	type service struct{ servers, slots, connections int }
	for name, want := range map[string]struct {
		weigh    document.Weigh
		services map[string]service
	}{
		"coop":      {document.WeighLatency, map[string]service{"rodsheet": {20, 9, 850}, "sheetvault": {16, 9, 850}}},
		"franchise": {document.WeighHeadroom, map[string]service{"depot-orders": {20, 3, 800}, "scale-ledger": {14, 3, 800}}},
	} {
		doc := load(t, name)
		hosts := 0
		for _, r := range doc.Regions {
			for _, d := range r.Domains {
				hosts += len(d.EntryHosts)
			}
		}
		if doc.Weigh != want.weigh || len(doc.Regions) != 3 || len(doc.DomainNames()) != 6 || hosts != 24 {
			t.Errorf("%s: %s, %d regions, %d domains, %d hosts", name, doc.Weigh, len(doc.Regions), len(doc.DomainNames()), hosts)
		}
		for _, s := range doc.Services {
			if got := (service{len(s.Servers), s.Slots, s.Connections}); got != want.services[s.Name] {
				t.Errorf("%s %s: %+v", name, s.Name, got)
			}
		}
		for _, l := range doc.Links {
			if l.Mbps != 4000 || l.Delay.D().Milliseconds() != 35 {
				t.Errorf("%s: link %+v", name, l)
			}
		}
	}
}

// TestSettings loads the settings of every host and compares them with the
// document.
func TestSettings(t *testing.T) {
	for _, name := range []string{"coop", "franchise"} {
		files := 0
		for _, r := range load(t, name).Regions {
			for _, d := range r.Domains {
				for _, h := range d.EntryHosts {
					var e entry.Settings
					var s steer.Settings
					for suffix, out := range map[string]settings.Checker{"-entry.yaml": &e, "-steer.yaml": &s} {
						if err := settings.Load(filepath.Join(name, "settings", h.Name+suffix), out); err != nil {
							t.Fatal(err)
						}
						files++
					}
					told := document.EntryHost{
						Name: e.Host, Caller: e.Caller, Entry: e.Peer, Steer: s.Peer, EntryOperator: e.Operator, SteerOperator: s.Operator,
					}
					if told != h || e.Steer != h.Steer || e.Domain != d.Name || s.Domain != d.Name || s.Host != h.Name {
						t.Errorf("%s: settings %+v %+v", h.Name, e, s)
					}
				}
			}
		}
		if found, _ := filepath.Glob(filepath.Join(name, "settings", "*.yaml")); len(found) != files {
			t.Errorf("%s: %d settings files, %d of known hosts", name, len(found), files)
		}
	}
}
