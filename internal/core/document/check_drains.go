package document

import (
	"fmt"
	"strings"
	"time"
)

func (c *checker) drains() {
	for i, d := range c.doc.Drains {
		key := fmt.Sprintf("drains[%d]", i)
		c.drainTarget(key, d)
		if d.At.IsZero() {
			c.fail(key+".at", `missing value, expected a time such as "2026-12-04T20:00:00Z"`)
		}
		if !d.Until.IsZero() && !d.Until.After(d.At) {
			c.fail(key+".until", "expected a time after the drain begins")
		}
		c.drainMoves(key, d)
		c.drainRepeats(key, i)
	}
	for i := range c.doc.Drains {
		c.drainLeaves(i)
	}
}

func (c *checker) drainTarget(key string, d Drain) {
	set := 0
	for _, name := range []string{d.Server, d.Domain, d.Region} {
		if name != "" {
			set++
		}
	}
	if set != 1 {
		c.fail(key, "expected exactly one of server, domain and region")
	}
	if d.Region != "" {
		c.region(key+".region", d.Region)
	}
	if _, ok := c.domains[d.Domain]; d.Domain != "" && !ok {
		c.fail(key+".domain", "no failure domain is named %q", d.Domain)
	}
	if d.Server != "" && !c.knownServer(d.Server) {
		c.fail(key+".server", `no server is named %q, expected "service/server"`, d.Server)
	}
}

func (c *checker) knownServer(name string) bool {
	service, server, _ := strings.Cut(name, "/")
	s := c.services[service]
	if s == nil {
		return false
	}
	for _, b := range s.Servers {
		if b.Name == server {
			return true
		}
	}
	return false
}

// drainMoves refuses a drain whose traffic a shift cap of zero holds back.
func (c *checker) drainMoves(key string, d Drain) {
	for i := range c.doc.Services {
		s := &c.doc.Services[i]
		if c.doc.Caps.ShiftOf(s.Name).Share > 0 {
			continue
		}
		for _, b := range s.Servers {
			if hits(d, s.Name, b, c.domains[b.Domain]) {
				c.fail(key, "the shift cap of %s is 0%%, so its traffic could never move away", s.Name)
				break
			}
		}
	}
}

// drainRepeats refuses a drain that overlaps an earlier one of the same target.
func (c *checker) drainRepeats(key string, i int) {
	d := c.doc.Drains[i]
	for j, e := range c.doc.Drains[:i] {
		same := d.Server == e.Server && d.Domain == e.Domain && d.Region == e.Region
		if same && (activeAt(d, e.At) || activeAt(e, d.At)) {
			c.fail(key, "overlaps drains[%d] of the same target", j)
		}
	}
}

// drainLeaves checks that something is left to serve when a drain begins. The
// set of active drains only grows at the beginning of one, so looking at these
// times is enough.
func (c *checker) drainLeaves(i int) {
	at := c.doc.Drains[i].At
	key := fmt.Sprintf("drains[%d]", i)
	left := 0
	for domain, region := range c.domains {
		if !c.drained(at, func(d Drain) bool { return d.Domain == domain || d.Region == region && region != "" }) {
			left++
		}
	}
	if left == 0 && len(c.domains) > 0 {
		c.fail(key, "from %s no failure domain would be left", at.Format(time.RFC3339))
		return
	}
	for k := range c.doc.Services {
		s := &c.doc.Services[k]
		if len(s.Servers) > 0 && c.serversLeft(s, at) == 0 {
			c.fail(key, "from %s no server of %s would be left", at.Format(time.RFC3339), s.Name)
		}
	}
}

func (c *checker) serversLeft(s *Service, at time.Time) int {
	left := 0
	for _, b := range s.Servers {
		if !c.drained(at, func(d Drain) bool { return hits(d, s.Name, b, c.domains[b.Domain]) }) {
			left++
		}
	}
	return left
}

func (c *checker) drained(at time.Time, hits func(Drain) bool) bool {
	for _, d := range c.doc.Drains {
		if activeAt(d, at) && hits(d) {
			return true
		}
	}
	return false
}

func activeAt(d Drain, at time.Time) bool {
	return !at.Before(d.At) && (d.Until.IsZero() || at.Before(d.Until))
}
