package document

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Limits of the numeric settings of a service.
const (
	// MaxPriority is the largest value of Class.Priority, for the least urgent
	// requests.
	MaxPriority = 9
	// MaxSlots and MaxConnections limit the settings of one server.
	MaxSlots       = 10_000
	MaxConnections = 1_000_000
	// MaxDeadline is the longest deadline of a request.
	MaxDeadline = Duration(time.Hour)
)

func (c *checker) serviceList() {
	names := map[string]bool{}
	for i := range c.doc.Services {
		s := &c.doc.Services[i]
		key := fmt.Sprintf("services[%d]", i)
		c.checkName(key+".name", "service", s.Name, names)
		c.services[s.Name] = s
		if s.Slots < 1 || s.Slots > MaxSlots {
			c.addProblem(key+".slots", "expected 1 to %d, got %d", MaxSlots, s.Slots)
		}
		if s.Connections < s.Slots || s.Connections > MaxConnections {
			c.addProblem(key+".connections", "expected at least as many as slots and at most %d, got %d", MaxConnections, s.Connections)
		}
		if n := s.ColdStart.InitialSlots; n < 0 || n > s.Slots {
			c.addProblem(key+".coldStart.initialSlots", "expected 0 to the %d slots of the service, got %d", s.Slots, n)
		}
		c.servers(key, s)
		c.classes(key, s)
	}
}

func (c *checker) servers(key string, s *Service) {
	if len(s.Servers) == 0 {
		c.addProblem(key+".servers", "expected at least one server")
	}
	names := map[string]bool{}
	for j, b := range s.Servers {
		skey := fmt.Sprintf("%s.servers[%d]", key, j)
		c.checkName(skey+".name", "server of "+s.Name, b.Name, names)
		if _, ok := c.domains[b.Domain]; !ok {
			c.addProblem(skey+".domain", "no failure domain is named %q", b.Domain)
		}
		c.checkAddress(skey+".address", b.Address)
	}
}

func (c *checker) classes(key string, s *Service) {
	if len(s.Classes) == 0 {
		c.addProblem(key+".classes", "expected at least one class")
	}
	names := map[string]bool{}
	for j, k := range s.Classes {
		ckey := fmt.Sprintf("%s.classes[%d]", key, j)
		c.checkName(ckey+".name", "class of "+s.Name, k.Name, names)
		c.classMatch(ckey, k, s.Classes[:j])
		c.execution(ckey, k)
		if k.Deadline <= 0 || k.Deadline > MaxDeadline {
			c.addProblem(ckey+".deadline", "expected a duration above zero and up to %s, got %s", MaxDeadline, k.Deadline)
		}
		if k.Priority < 0 || k.Priority > MaxPriority {
			c.addProblem(ckey+".priority", "expected 0 to %d, got %d", MaxPriority, k.Priority)
		}
		if k.MaxAnswer < 1 {
			c.addProblem(ckey+".maxAnswer", "expected a size above zero")
		}
	}
}

var allowedMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// classMatch checks the path and methods of a class, and that the classes
// before it leave some of its requests to it.
func (c *checker) classMatch(key string, k Class, before []Class) {
	if !strings.HasPrefix(k.Path, "/") {
		c.addProblem(key+".path", `expected a path prefix that begins with "/", got %q`, k.Path)
	}
	if len(k.Methods) == 0 {
		c.addProblem(key+".methods", "expected at least one method")
		return
	}
	for i, m := range k.Methods {
		mkey := fmt.Sprintf("%s.methods[%d]", key, i)
		if !slices.Contains(allowedMethods, m) {
			c.addProblem(mkey, "expected one of %s, got %q", strings.Join(allowedMethods, ", "), m)
		}
		if slices.Contains(k.Methods[:i], m) {
			c.addProblem(mkey, "method %s is listed twice", m)
		}
	}
	if shadows := shadowingClasses(k, before); len(shadows) > 0 {
		c.addProblem(key, "class %q is never reached: %s before it takes all of its requests", k.Name, strings.Join(shadows, " and "))
	}
}

// shadowingClasses returns the classes that together match every request of k,
// or nil if some requests reach k.
func shadowingClasses(k Class, before []Class) []string {
	var out []string
	for _, m := range k.Methods {
		i := slices.IndexFunc(before, func(b Class) bool {
			return strings.HasPrefix(k.Path, b.Path) && slices.Contains(b.Methods, m)
		})
		if i < 0 {
			return nil
		}
		if !slices.Contains(out, before[i].Name) {
			out = append(out, before[i].Name)
		}
	}
	return out
}

func (c *checker) execution(key string, k Class) {
	switch k.Execution {
	case Idempotent:
		if k.RequireOperationID {
			c.addProblem(key+".requireOperationId", "expected only in a class with execution at-most-once")
		}
	case AtMostOnce:
		if k.HedgeAfter > 0 {
			c.addProblem(key+".hedgeAfter", "expected only in a class with execution idempotent: a hedge runs a request twice")
		}
	default:
		c.addProblem(key+".execution", "expected idempotent or at-most-once, got %q", k.Execution)
	}
	if k.HedgeAfter > 0 && k.HedgeAfter >= k.Deadline {
		c.addProblem(key+".hedgeAfter", "expected less than the deadline of %s, got %s", k.Deadline, k.HedgeAfter)
	}
}
