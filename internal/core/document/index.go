package document

import (
	"slices"
	"strings"
	"time"
)

// Index is an immutable view of a document with maps for the lookups of the
// request path. It is shared by all goroutines.
type Index struct {
	Doc      *Document
	services map[string]*ServiceIndex
	hosts    map[string]*HostIndex
	domains  map[string]*DomainIndex
	regions  map[string]*Region
}

// ServiceIndex is a service with its servers grouped by failure domain.
type ServiceIndex struct {
	*Service
	byDomain map[string][]BackendServer
	domains  []string
}

// HostIndex is an entry host with its failure domain and region.
type HostIndex struct {
	EntryHost
	Domain string
	Region string
}

// DomainIndex is a failure domain with its region.
type DomainIndex struct {
	Domain
	Region string
}

// NewIndex builds the index of a document that Check accepted.
func NewIndex(doc *Document) *Index {
	ix := &Index{
		Doc:      doc,
		services: make(map[string]*ServiceIndex, len(doc.Services)),
		hosts:    map[string]*HostIndex{},
		domains:  map[string]*DomainIndex{},
		regions:  make(map[string]*Region, len(doc.Regions)),
	}
	for i := range doc.Regions {
		ix.addRegion(&doc.Regions[i])
	}
	for i := range doc.Services {
		s := newServiceIndex(&doc.Services[i])
		ix.services[s.Name] = s
	}
	return ix
}

func (ix *Index) addRegion(r *Region) {
	ix.regions[r.Name] = r
	for _, d := range r.Domains {
		ix.domains[d.Name] = &DomainIndex{Domain: d, Region: r.Name}
		for _, h := range d.EntryHosts {
			ix.hosts[h.Name] = &HostIndex{EntryHost: h, Domain: d.Name, Region: r.Name}
		}
	}
}

func newServiceIndex(s *Service) *ServiceIndex {
	out := &ServiceIndex{Service: s, byDomain: map[string][]BackendServer{}}
	for _, b := range s.Servers {
		if _, ok := out.byDomain[b.Domain]; !ok {
			out.domains = append(out.domains, b.Domain)
		}
		out.byDomain[b.Domain] = append(out.byDomain[b.Domain], b)
	}
	slices.Sort(out.domains)
	return out
}

// Service returns a service, or nil.
func (ix *Index) Service(name string) *ServiceIndex { return ix.services[name] }

// Host returns an entry host, or nil.
func (ix *Index) Host(name string) *HostIndex { return ix.hosts[name] }

// Domain returns a failure domain, or nil.
func (ix *Index) Domain(name string) *DomainIndex { return ix.domains[name] }

// Region returns a region, or nil.
func (ix *Index) Region(name string) *Region { return ix.regions[name] }

// Hosts returns the entry hosts of a failure domain.
func (ix *Index) Hosts(domain string) []EntryHost {
	d := ix.domains[domain]
	if d == nil {
		return nil
	}
	return d.EntryHosts
}

// DomainNames returns the names of all failure domains, sorted.
func (ix *Index) DomainNames() []string {
	out := make([]string, 0, len(ix.domains))
	for name := range ix.domains {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// In returns the servers of the service in a failure domain.
func (s *ServiceIndex) In(domain string) []BackendServer { return s.byDomain[domain] }

// Domains returns the failure domains with servers of the service, sorted.
func (s *ServiceIndex) Domains() []string { return s.domains }

// Match returns the first class that matches a request, or nil.
func (s *ServiceIndex) Match(method, path string) *Class {
	for i := range s.Classes {
		c := &s.Classes[i]
		if strings.HasPrefix(path, c.Path) && slices.Contains(c.Methods, method) {
			return c
		}
	}
	return nil
}

// DomainNames returns the names of all failure domains in the order of the
// document.
func (d *Document) DomainNames() []string {
	var out []string
	for _, r := range d.Regions {
		for _, dom := range r.Domains {
			out = append(out, dom.Name)
		}
	}
	return out
}

// ServerDraining reports whether a drain of this single server is active at a
// time. Such a drain takes effect at once; drains of regions and failure
// domains take effect gradually.
func (ix *Index) ServerDraining(service string, b BackendServer, now time.Time) bool {
	for _, d := range ix.Doc.Drains {
		if d.Server == service+"/"+b.Name && !now.Before(d.At) && (d.Until.IsZero() || now.Before(d.Until)) {
			return true
		}
	}
	return false
}

// Draining reports whether a drain of a server, its failure domain or its
// region is active at a time.
func (ix *Index) Draining(service string, b BackendServer, now time.Time) bool {
	region := ""
	if d := ix.domains[b.Domain]; d != nil {
		region = d.Region
	}
	for _, d := range ix.Doc.Drains {
		if now.Before(d.At) || !d.Until.IsZero() && !now.Before(d.Until) {
			continue
		}
		if d.Server == service+"/"+b.Name || d.Domain == b.Domain && d.Domain != "" || d.Region == region && d.Region != "" {
			return true
		}
	}
	return false
}
