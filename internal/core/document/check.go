package document

import (
	"fmt"
	"net/netip"
	"regexp"
)

// Check returns the semantic problems of a document. Lines gives the line
// number of each key and may be nil.
func Check(doc *Document, lines Lines) []Problem {
	c := &checker{
		doc: doc, lines: lines,
		regions: map[string]bool{}, domains: map[string]string{}, services: map[string]*Service{},
		addresses: map[netip.AddrPort]string{},
	}
	c.topLevel()
	c.topology()
	c.links()
	c.serviceList()
	c.caps()
	c.clients()
	c.drains()
	return c.problems
}

// checker collects the problems of a document, with the names and addresses
// that it has seen so far.
type checker struct {
	doc       *Document
	lines     Lines
	problems  []Problem
	regions   map[string]bool
	domains   map[string]string // region by failure domain
	services  map[string]*Service
	addresses map[netip.AddrPort]string // key of the first use, by address
}

func (c *checker) addProblem(key, format string, args ...any) {
	p := Problem{Line: c.lines.At(key), Key: key, Message: fmt.Sprintf(format, args...)}
	c.problems = append(c.problems, p)
}

// namePattern matches valid names, which can be used in paths, keys and
// messages without escaping.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

// ValidName reports whether a string is a valid name in a document or of an
// environment: 1 to 63 lower-case letters, digits, dots, dashes and
// underscores, with a letter or digit at both ends.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// checkName checks that a name is valid and not used yet, and adds it to used.
func (c *checker) checkName(key, kind, name string, used map[string]bool) {
	if !ValidName(name) {
		c.addProblem(key, "expected a name of lower-case letters, digits, dots, dashes and underscores, got %q", name)
		return
	}
	if used[name] {
		c.addProblem(key, "expected a name that no other %s has, got %q", kind, name)
	}
	used[name] = true
}

// checkAddress checks that an address is set and not used by another key.
func (c *checker) checkAddress(key string, a Address) {
	if !a.IsValid() {
		c.addProblem(key, `missing value, expected an IP address with a port such as "10.0.0.1:8080"`)
		return
	}
	if other, ok := c.addresses[a.AddrPort]; ok {
		c.addProblem(key, "address %s is already used by %s", a, other)
		return
	}
	c.addresses[a.AddrPort] = key
}

// requireRegion reports whether a region exists, and adds a problem if it does
// not.
func (c *checker) requireRegion(key, name string) bool {
	if !c.regions[name] {
		c.addProblem(key, "no region is named %q", name)
	}
	return c.regions[name]
}

// requireService returns a service, or adds a problem and returns nil if it
// does not exist.
func (c *checker) requireService(key, name string) *Service {
	s := c.services[name]
	if s == nil {
		c.addProblem(key, "no service is named %q", name)
	}
	return s
}

// MaxLookupHosts is the maximum number of entry hosts in a lookup response.
const MaxLookupHosts = 16

func (c *checker) topLevel() {
	if w := c.doc.Weigh; w != WeighLatency && w != WeighHeadroom {
		c.addProblem("weigh", "expected latency or headroom, got %q", w)
	}
	if c.doc.Lookup.TTL <= 0 {
		c.addProblem("lookup.ttl", "expected a duration above zero")
	}
	if n := c.doc.Lookup.Hosts; n < 1 || n > MaxLookupHosts {
		c.addProblem("lookup.hosts", "expected 1 to %d, got %d", MaxLookupHosts, n)
	}
	if len(c.doc.Regions) == 0 {
		c.addProblem("regions", "expected at least one region")
	}
	if len(c.doc.Services) == 0 {
		c.addProblem("services", "expected at least one service")
	}
}

func (c *checker) clients() {
	seen := make(map[netip.Prefix]bool, len(c.doc.Clients))
	for i, cl := range c.doc.Clients {
		key := fmt.Sprintf("clients[%d]", i)
		c.clientBlock(key+".block", cl.Block, seen)
		c.regionOrder(key+".regions", cl.Regions)
	}
}

// clientBlock rejects a block that is listed twice. A block inside another is
// accepted: the longest matching prefix applies to an address.
func (c *checker) clientBlock(key string, b Prefix, seen map[netip.Prefix]bool) {
	switch {
	case !b.IsValid():
		c.addProblem(key, "missing value, expected a client block")
		return
	case b.Addr().Is4In6():
		c.addProblem(key, "block %s is an IPv4 block in IPv6 form, expected its IPv4 form", b)
	case seen[b.Prefix]:
		c.addProblem(key, "block %s is given twice", b)
	}
	seen[b.Prefix] = true
}

func (c *checker) regionOrder(key string, regions []string) {
	if len(regions) == 0 {
		c.addProblem(key, "expected at least one region")
	}
	for i, r := range regions {
		rkey := fmt.Sprintf("%s[%d]", key, i)
		if !c.requireRegion(rkey, r) {
			continue
		}
		for _, before := range regions[:i] {
			if before == r {
				c.addProblem(rkey, "region %q is listed twice", r)
			}
		}
	}
}
