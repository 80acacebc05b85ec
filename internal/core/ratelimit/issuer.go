package ratelimit

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
)

// Gateway is a gateway that may issue permits.
type Gateway struct {
	Host    string
	Domain  string
	Region  string
	Address string
}

// Server is a backend server and where it runs.
type Server struct{ ID, Domain, Region string }

// distance returns how far a gateway is from a server: 0 in the same failure domain,
// 1 in the same region, otherwise 2.
func (s Server) distance(g *Gateway) int {
	switch {
	case g.Domain == s.Domain:
		return 0
	case g.Region == s.Region:
		return 1
	}
	return 2
}

// Issuers returns the issuer of a server's permits and its deputy, which issues them to
// gateways that cannot reach the issuer; nil if there are too few gateways. The nearest
// gateways are preferred, since a gateway that reaches the server probably reaches
// those, too; among them the highest rendezvous hash decides. All gateways with the
// same list agree.
func Issuers(s Server, gateways []Gateway) (issuer, deputy *Gateway) {
	type candidate struct {
		gateway  *Gateway
		distance int
		hash     uint64
	}
	var first, second candidate
	before := func(a, b candidate) bool {
		return b.gateway == nil || cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.hash, a.hash), cmp.Compare(a.gateway.Host, b.gateway.Host)) < 0
	}
	for i := range gateways {
		c := candidate{gateway: &gateways[i], distance: s.distance(&gateways[i])}
		if second.gateway != nil && c.distance > second.distance {
			continue
		}
		c.hash = xxhash.Sum64String(s.ID + "\x00" + c.gateway.Host)
		switch {
		case before(c, first):
			first, second = c, first
		case before(c, second):
			second = c
		}
	}
	return first.gateway, second.gateway
}

// RoleOf returns a gateway's role for a server.
func RoleOf(host string, s Server, gateways []Gateway) Role {
	issuer, deputy := Issuers(s, gateways)
	switch {
	case issuer != nil && issuer.Host == host:
		return RoleIssuer
	case deputy != nil && deputy.Host == host:
		return RoleDeputy
	}
	return RoleNone
}
