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
			c.addProblem(key+".at", `missing value, expected a time such as "2026-12-04T20:00:00Z"`)
		}
		if !d.Until.IsZero() && !d.Until.After(d.At) {
			c.addProblem(key+".until", "expected a time after the drain begins")
		}
		c.drainShiftCap(key, d)
		c.drainOverlap(key, i)
	}
	for i := range c.doc.Drains {
		c.drainRemaining(i)
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
		c.addProblem(key, "expected exactly one of server, domain and region")
	}
	if d.Region != "" {
		c.requireRegion(key+".region", d.Region)
	}
	if _, ok := c.domains[d.Domain]; d.Domain != "" && !ok {
		c.addProblem(key+".domain", "no failure domain is named %q", d.Domain)
	}
	if d.Server != "" && !c.serverExists(d.Server) {
		c.addProblem(key+".server", `no server is named %q, expected "service/server"`, d.Server)
	}
}

func (c *checker) serverExists(name string) bool {
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

// drainShiftCap rejects a drain of servers whose traffic cannot move away
// because the shift cap of their service is zero.
func (c *checker) drainShiftCap(key string, d Drain) {
	for i := range c.doc.Services {
		s := &c.doc.Services[i]
		if c.doc.Caps.ShiftOf(s.Name).Share > 0 {
			continue
		}
		for _, b := range s.Servers {
			if affects(d, s.Name, b, c.domains[b.Domain]) {
				c.addProblem(key, "the shift cap of %s is 0%%, so its traffic could never move away", s.Name)
				break
			}
		}
	}
}

// drainOverlap rejects a drain that overlaps an earlier one of the same target.
func (c *checker) drainOverlap(key string, i int) {
	d := c.doc.Drains[i]
	for j, e := range c.doc.Drains[:i] {
		same := d.Server == e.Server && d.Domain == e.Domain && d.Region == e.Region
		if same && (activeAt(d, e.At) || activeAt(e, d.At)) {
			c.addProblem(key, "overlaps drains[%d] of the same target", j)
		}
	}
}

// drainRemaining checks that failure domains, and servers of every service,
// remain when a drain starts. The set of active drains grows only when one
// starts, so it is enough to check at these times.
func (c *checker) drainRemaining(i int) {
	at := c.doc.Drains[i].At
	key := fmt.Sprintf("drains[%d]", i)
	left := 0
	for domain, region := range c.domains {
		if !c.anyActiveDrain(at, func(d Drain) bool { return d.Domain == domain || d.Region == region && region != "" }) {
			left++
		}
	}
	if left == 0 && len(c.domains) > 0 {
		c.addProblem(key, "from %s no failure domain would be left", at.Format(time.RFC3339))
		return
	}
	for k := range c.doc.Services {
		s := &c.doc.Services[k]
		if len(s.Servers) > 0 && c.remainingServers(s, at) == 0 {
			c.addProblem(key, "from %s no server of %s would be left", at.Format(time.RFC3339), s.Name)
		}
	}
}

// remainingServers returns how many servers of a service are not draining.
func (c *checker) remainingServers(s *Service, at time.Time) int {
	left := 0
	for _, b := range s.Servers {
		if !c.anyActiveDrain(at, func(d Drain) bool { return affects(d, s.Name, b, c.domains[b.Domain]) }) {
			left++
		}
	}
	return left
}

func (c *checker) anyActiveDrain(at time.Time, matches func(Drain) bool) bool {
	for _, d := range c.doc.Drains {
		if activeAt(d, at) && matches(d) {
			return true
		}
	}
	return false
}

func activeAt(d Drain, at time.Time) bool {
	return !at.Before(d.At) && (d.Until.IsZero() || at.Before(d.Until))
}
