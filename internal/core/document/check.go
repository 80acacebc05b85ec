package document

import (
	"fmt"
	"net/netip"
)

// Check returns every fault in the meaning of a document. Lines gives the line
// of each key and may be nil.
func Check(doc *Document, lines Lines) []Problem {
	c := &checker{doc: doc, lines: lines, regions: map[string]bool{}, domains: map[string]string{}}
	c.top()
	c.places()
	c.services()
	c.clients()
	return c.problems
}

type checker struct {
	doc      *Document
	lines    Lines
	problems []Problem
	regions  map[string]bool
	domains  map[string]string // domain to its region
}

func (c *checker) fail(key, format string, args ...any) {
	p := Problem{Line: c.lines.At(key), Key: key, Message: fmt.Sprintf(format, args...)}
	c.problems = append(c.problems, p)
}

func (c *checker) top() {
	if w := c.doc.Weigh; w != WeighLatency && w != WeighHeadroom {
		c.fail("weigh", "expected latency or headroom, got %q", w)
	}
	if c.doc.Lookup.TTL <= 0 {
		c.fail("lookup.ttl", "expected a duration above zero")
	}
	if c.doc.Lookup.Hosts < 1 {
		c.fail("lookup.hosts", "expected at least one host")
	}
	if len(c.doc.Regions) == 0 {
		c.fail("regions", "expected at least one region")
	}
	if len(c.doc.Services) == 0 {
		c.fail("services", "expected at least one service")
	}
}

func (c *checker) places() {
	hosts := map[string]bool{}
	for i, r := range c.doc.Regions {
		key := fmt.Sprintf("regions[%d]", i)
		if r.Name == "" || c.regions[r.Name] {
			c.fail(key+".name", "expected a name that no other region has, got %q", r.Name)
		}
		c.regions[r.Name] = true
		for j, d := range r.Domains {
			c.domain(fmt.Sprintf("%s.domains[%d]", key, j), r.Name, d, hosts)
		}
	}
}

func (c *checker) domain(key, region string, d Domain, hosts map[string]bool) {
	if other, ok := c.domains[d.Name]; ok || d.Name == "" {
		c.fail(key+".name", "failure domain %q is already in region %q", d.Name, other)
	}
	c.domains[d.Name] = region
	if len(d.EntryHosts) == 0 {
		c.fail(key+".entryHosts", "expected at least one entry host")
	}
	for k, h := range d.EntryHosts {
		hkey := fmt.Sprintf("%s.entryHosts[%d]", key, k)
		if h.Name == "" || hosts[h.Name] {
			c.fail(hkey+".name", "expected a name that no other entry host has, got %q", h.Name)
		}
		hosts[h.Name] = true
		for name, a := range map[string]Address{"caller": h.Caller, "entry": h.Entry, "steer": h.Steer} {
			if !a.IsValid() {
				c.fail(hkey+"."+name, "expected an address")
			}
		}
	}
}

func (c *checker) services() {
	names := map[string]bool{}
	for i, s := range c.doc.Services {
		key := fmt.Sprintf("services[%d]", i)
		if s.Name == "" || names[s.Name] {
			c.fail(key+".name", "expected a name that no other service has, got %q", s.Name)
		}
		names[s.Name] = true
		if s.Slots < 1 {
			c.fail(key+".slots", "expected at least 1")
		}
		if s.Connections < s.Slots {
			c.fail(key+".connections", "expected at least as many as slots")
		}
		c.servers(key, s)
		c.classes(key, s)
	}
}

func (c *checker) servers(key string, s Service) {
	names := map[string]bool{}
	for j, b := range s.Servers {
		skey := fmt.Sprintf("%s.servers[%d]", key, j)
		if b.Name == "" || names[b.Name] {
			c.fail(skey+".name", "expected a name that no other server of %s has, got %q", s.Name, b.Name)
		}
		names[b.Name] = true
		if _, ok := c.domains[b.Domain]; !ok {
			c.fail(skey+".domain", "no failure domain is named %q", b.Domain)
		}
		if !b.Address.IsValid() {
			c.fail(skey+".address", "expected an address")
		}
	}
}

func (c *checker) classes(key string, s Service) {
	if len(s.Classes) == 0 {
		c.fail(key+".classes", "expected at least one class")
	}
	for j, k := range s.Classes {
		ckey := fmt.Sprintf("%s.classes[%d]", key, j)
		if k.Name == "" {
			c.fail(ckey+".name", "expected a name")
		}
		if len(k.Methods) == 0 {
			c.fail(ckey+".methods", "expected at least one method")
		}
		if k.Execution != Idempotent && k.Execution != AtMostOnce {
			c.fail(ckey+".execution", "expected idempotent or at-most-once, got %q", k.Execution)
		}
		if k.Deadline <= 0 {
			c.fail(ckey+".deadline", "expected a duration above zero")
		}
		if k.Priority < 0 || k.Priority > MaxPriority {
			c.fail(ckey+".priority", "expected 0 to %d, got %d", MaxPriority, k.Priority)
		}
	}
}

// MaxPriority is the largest number of Class.Priority, for the least urgent.
const MaxPriority = 9

func (c *checker) clients() {
	seen := map[netip.Prefix]bool{}
	for i, cl := range c.doc.Clients {
		key := fmt.Sprintf("clients[%d]", i)
		if !cl.Block.IsValid() {
			c.fail(key+".block", "expected a client block")
		}
		if seen[cl.Block.Prefix] {
			c.fail(key+".block", "block %s is given twice", cl.Block)
		}
		seen[cl.Block.Prefix] = true
		if len(cl.Regions) == 0 {
			c.fail(key+".regions", "expected at least one region")
		}
		for j, r := range cl.Regions {
			if !c.regions[r] {
				c.fail(fmt.Sprintf("%s.regions[%d]", key, j), "no region is named %q", r)
			}
		}
	}
}
