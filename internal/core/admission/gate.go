// Package admission decides which backend server takes a request, and how many
// requests a server may run at once. It is pure: the caller does the work and
// says when it has ended.
package admission

import "cassiatray/internal/core/document"

// Gate counts the requests in flight on the servers of one service in one
// failure domain. It is not safe for concurrent use.
type Gate struct {
	slots   int
	servers []document.BackendServer
	used    map[string]int
}

// NewGate returns a gate with nothing in flight.
func NewGate(slots int) *Gate { return &Gate{slots: slots, used: map[string]int{}} }

// SetServers replaces the servers and their slots; what is in flight stays
// counted.
func (g *Gate) SetServers(slots int, servers []document.BackendServer) {
	g.slots, g.servers = slots, servers
}

// Acquire takes a slot on the server with the fewest requests in flight. It
// reports false when every slot is taken.
func (g *Gate) Acquire() (document.BackendServer, bool) {
	best := -1
	for i, s := range g.servers {
		if g.used[s.Name] < g.slots && (best < 0 || g.used[s.Name] < g.used[g.servers[best].Name]) {
			best = i
		}
	}
	if best < 0 {
		return document.BackendServer{}, false
	}
	g.used[g.servers[best].Name]++
	return g.servers[best], true
}

// Release frees a slot on a server.
func (g *Gate) Release(server string) {
	if g.used[server]--; g.used[server] <= 0 {
		delete(g.used, server)
	}
}

// InFlight returns the number of requests in flight on all servers.
func (g *Gate) InFlight() int {
	n := 0
	for _, used := range g.used {
		n += used
	}
	return n
}
