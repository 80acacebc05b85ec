package links

import "slices"

// Gateway is a gateway as considered for the choice of helpers.
type Gateway struct {
	Host, Domain, Region, Address string
	// Capacity is the host's share of processor time, in any unit.
	Capacity float64
	// CutOff is set if the gateway has no links to servers.
	CutOff bool
}

// helperCapacity is how much capacity helpers must have together, in that of the gateways that
// they help. With less, gateways further away help as well.
const helperCapacity = 0.5

// Helper returns the gateway that is to forward a request for a gateway without links, or nil:
// a random one by capacity, of its failure domain if those there have enough of it for all that
// are cut off there, else of its region, else of all. Only gateways for which usable is true
// are chosen. random returns numbers from 0 to 1.
func Helper(all []Gateway, self string, usable func(*Gateway) bool, random func() float64) *Gateway {
	own := slices.IndexFunc(all, func(g Gateway) bool { return g.Host == self })
	scopes := []func(*Gateway) bool{func(*Gateway) bool { return true }}
	if own >= 0 {
		scopes = []func(*Gateway) bool{
			func(g *Gateway) bool { return g.Domain == all[own].Domain },
			func(g *Gateway) bool { return g.Region == all[own].Region },
			scopes[0],
		}
	}
	var helpers []*Gateway
	have := 0.0
	for _, inScope := range scopes {
		helpers, have = helpers[:0], 0
		need := 0.0
		for i := range all {
			g := &all[i]
			switch {
			case !inScope(g):
			case g.CutOff || g.Host == self:
				need += g.Capacity
			case usable(g):
				helpers = append(helpers, g)
				have += g.Capacity
			}
		}
		if len(helpers) > 0 && have >= helperCapacity*need {
			break
		}
	}
	point := random() * have
	for _, g := range helpers {
		if point -= g.Capacity; point <= 0 {
			return g
		}
	}
	return nil
}
