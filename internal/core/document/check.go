package document

import (
	"fmt"
	"net/netip"
	"regexp"
)

// Check returns every fault in the meaning of a document. Lines gives the line
// of each key and may be nil.
func Check(doc *Document, lines Lines) []Problem {
	c := &checker{
		doc: doc, lines: lines,
		regions: map[string]bool{}, domains: map[string]string{}, services: map[string]*Service{},
		addresses: map[netip.AddrPort]string{},
	}
	c.top()
	c.places()
	c.links()
	c.serviceList()
	c.caps()
	c.clients()
	c.drains()
	return c.problems
}

type checker struct {
	doc       *Document
	lines     Lines
	problems  []Problem
	regions   map[string]bool
	domains   map[string]string // domain to its region
	services  map[string]*Service
	addresses map[netip.AddrPort]string // address to the key that took it
}

func (c *checker) fail(key, format string, args ...any) {
	p := Problem{Line: c.lines.At(key), Key: key, Message: fmt.Sprintf(format, args...)}
	c.problems = append(c.problems, p)
}

// nameForm is the form of every name, so that names can stand in paths, keys
// and messages.
var nameForm = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

// ValidName reports whether a text can be a name in a document or the name of
// an environment: 1 to 63 lower-case letters, digits, dots, dashes and
// underscores, with a letter or digit at both ends.
func ValidName(name string) bool { return nameForm.MatchString(name) }

// name checks the form of a name and that it is new among taken.
func (c *checker) name(key, kind, name string, taken map[string]bool) {
	if !ValidName(name) {
		c.fail(key, "expected a name of lower-case letters, digits, dots, dashes and underscores, got %q", name)
		return
	}
	if taken[name] {
		c.fail(key, "expected a name that no other %s has, got %q", kind, name)
	}
	taken[name] = true
}

// address checks that an address is given and used once.
func (c *checker) address(key string, a Address) {
	if !a.IsValid() {
		c.fail(key, `missing value, expected an IP address with a port such as "10.0.0.1:8080"`)
		return
	}
	if other, ok := c.addresses[a.AddrPort]; ok {
		c.fail(key, "address %s is already used by %s", a, other)
		return
	}
	c.addresses[a.AddrPort] = key
}

func (c *checker) region(key, name string) bool {
	if !c.regions[name] {
		c.fail(key, "no region is named %q", name)
	}
	return c.regions[name]
}

func (c *checker) service(key, name string) *Service {
	s := c.services[name]
	if s == nil {
		c.fail(key, "no service is named %q", name)
	}
	return s
}

// MaxLookupHosts bounds how many entry hosts an answer names.
const MaxLookupHosts = 16

func (c *checker) top() {
	if w := c.doc.Weigh; w != WeighLatency && w != WeighHeadroom {
		c.fail("weigh", "expected latency or headroom, got %q", w)
	}
	if c.doc.Lookup.TTL <= 0 {
		c.fail("lookup.ttl", "expected a duration above zero")
	}
	if n := c.doc.Lookup.Hosts; n < 1 || n > MaxLookupHosts {
		c.fail("lookup.hosts", "expected 1 to %d, got %d", MaxLookupHosts, n)
	}
	if len(c.doc.Regions) == 0 {
		c.fail("regions", "expected at least one region")
	}
	if len(c.doc.Services) == 0 {
		c.fail("services", "expected at least one service")
	}
}

func (c *checker) clients() {
	seen := make(map[netip.Prefix]bool, len(c.doc.Clients))
	for i, cl := range c.doc.Clients {
		key := fmt.Sprintf("clients[%d]", i)
		c.block(key+".block", cl.Block, seen)
		c.preference(key+".regions", cl.Regions)
	}
}

// block refuses a block given twice. One block inside another is accepted: the
// longest prefix that holds an address applies.
func (c *checker) block(key string, b Prefix, seen map[netip.Prefix]bool) {
	switch {
	case !b.IsValid():
		c.fail(key, "missing value, expected a client block")
		return
	case b.Addr().Is4In6():
		c.fail(key, "block %s is an IPv4 block in IPv6 form, expected its IPv4 form", b)
	case seen[b.Prefix]:
		c.fail(key, "block %s is given twice", b)
	}
	seen[b.Prefix] = true
}

func (c *checker) preference(key string, regions []string) {
	if len(regions) == 0 {
		c.fail(key, "expected at least one region")
	}
	for i, r := range regions {
		rkey := fmt.Sprintf("%s[%d]", key, i)
		if !c.region(rkey, r) {
			continue
		}
		for _, before := range regions[:i] {
			if before == r {
				c.fail(rkey, "region %q is listed twice", r)
			}
		}
	}
}
