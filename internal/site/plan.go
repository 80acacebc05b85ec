// Package site lays out and runs whole cassiatray systems as plain processes
// on 127.0.0.0/8, for the demo, the measurements and the process tests.
package site

import (
	"fmt"
	"net/netip"
	"time"

	"cassiatray/internal/core/document"
)

// Ports of every entry host and of the stand-ins.
const (
	portCaller        = 8080
	portEntryPeer     = 8081
	portSteerPeer     = 8082
	portEntryOperator = 8083
	portSteerOperator = 8084
	portServer        = 9000
	portStore         = 7000
	portHostList      = 7001
)

// Shape is the size and content of a site.
type Shape struct {
	Name  string
	Weigh document.Weigh
	// Regions and the domains of each; domains are named region-a, region-b.
	Regions          []string
	DomainsPerRegion int
	HostsPerDomain   int
	Services         []ServiceShape
	TTL              time.Duration
	// Warmup and ColdFactor are the cold start of the stand-in servers: work
	// takes ColdFactor times as long at first.
	Warmup     time.Duration
	ColdFactor float64
}

// ServiceShape is one service of a site.
type ServiceShape struct {
	Name        string
	Servers     int
	Slots       int
	Connections int
	Work        time.Duration
	Classes     []document.Class
}

// Plan is a site with all its addresses.
type Plan struct {
	Shape    Shape
	Network  Network
	Document *document.Document
	Hosts    []HostPlan
	Servers  []ServerPlan
	Store    document.Address
	// HostList is the platform's list of hosts.
	HostList document.Address
}

// HostPlan is one entry host.
type HostPlan struct {
	document.EntryHost
	Domain string
}

// ServerPlan is one stand-in backend server.
type ServerPlan struct {
	document.BackendServer
	Service string
	Slots   int
	Work    time.Duration
	// Connections is how many connections it accepts, and ConnectionCost what
	// each new one costs.
	Connections    int
	ConnectionCost document.Duration
}

// Network is the part of 127.0.0.0/8 that a site uses: 127.<Octet>.0.0/16.
type Network struct{ Octet int }

func (n Network) address(third, fourth, port int) document.Address {
	ip := netip.AddrFrom4([4]byte{127, byte(n.Octet), byte(third), byte(fourth)})
	return document.Address{AddrPort: netip.AddrPortFrom(ip, uint16(port))}
}

// Third octets of a site's addresses.
const (
	octetStore   = 1
	octetDomains = 10  // plus the number of the domain
	octetServers = 100 // plus the number of the service
)

// NewPlan lays out a site.
func NewPlan(shape Shape, network Network) *Plan {
	p := &Plan{
		Shape: shape, Network: network,
		Store: network.address(octetStore, 1, portStore), HostList: network.address(octetStore, 1, portHostList),
	}
	doc := &document.Document{
		Weigh:  shape.Weigh,
		Lookup: document.Lookup{TTL: document.Duration(shape.TTL), Hosts: 3},
		Caps:   document.Caps{Shift: document.ShiftCap{Share: 10, Per: document.Duration(time.Minute)}},
	}
	var domains []string
	for i, name := range shape.Regions {
		region := p.region(name, len(domains))
		for _, d := range region.Domains {
			domains = append(domains, d.Name)
		}
		doc.Regions = append(doc.Regions, region)
		block := netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(i), 0, 0}), 16)
		doc.Clients = append(doc.Clients, document.Client{
			Block: document.Prefix{Prefix: block}, Regions: rotate(shape.Regions, i),
		})
	}
	for i := range shape.Regions {
		for j := i + 1; j < len(shape.Regions); j++ {
			doc.Links = append(doc.Links, document.Link{
				Between: []string{shape.Regions[i], shape.Regions[j]}, Mbps: 4000, Share: 50,
				Delay: document.Duration(35 * time.Millisecond),
			})
		}
	}
	for i, s := range shape.Services {
		doc.Services = append(doc.Services, p.service(i, s, domains))
	}
	p.Document = doc
	return p
}

func rotate(list []string, by int) []string {
	out := append([]string{}, list[by:]...)
	return append(out, list[:by]...)
}

func (p *Plan) region(name string, before int) document.Region {
	r := document.Region{Name: name}
	for j := range p.Shape.DomainsPerRegion {
		d := document.Domain{Name: fmt.Sprintf("%s-%c", name, 'a'+j)}
		third := octetDomains + before + j
		for k := range p.Shape.HostsPerDomain {
			h := document.EntryHost{
				Name:   fmt.Sprintf("%s-%d", d.Name, k+1),
				Caller: p.Network.address(third, k+1, portCaller),
				Entry:  p.Network.address(third, k+1, portEntryPeer),
				Steer:  p.Network.address(third, k+1, portSteerPeer),

				EntryOperator: p.Network.address(third, k+1, portEntryOperator),
				SteerOperator: p.Network.address(third, k+1, portSteerOperator),
			}
			d.EntryHosts = append(d.EntryHosts, h)
			p.Hosts = append(p.Hosts, HostPlan{EntryHost: h, Domain: d.Name})
		}
		r.Domains = append(r.Domains, d)
	}
	return r
}

func (p *Plan) service(i int, s ServiceShape, domains []string) document.Service {
	out := document.Service{
		Name: s.Name, Slots: s.Slots, Connections: s.Connections, Classes: s.Classes,
		ColdStart: document.ColdStart{Connection: document.Duration(time.Millisecond), Warmup: document.Duration(2 * time.Second)},
	}
	for j := range s.Servers {
		b := document.BackendServer{
			Name:    fmt.Sprintf("%s-%d", s.Name, j+1),
			Domain:  domains[j%len(domains)],
			Address: p.Network.address(octetServers+i, j+1, portServer),
		}
		out.Servers = append(out.Servers, b)
		p.Servers = append(p.Servers, ServerPlan{
			BackendServer: b, Service: s.Name, Slots: s.Slots, Work: s.Work,
			Connections: out.Connections, ConnectionCost: out.ColdStart.Connection,
		})
	}
	return out
}
