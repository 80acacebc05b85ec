package admission

import "slices"

// Offer is what another host last said of the servers it holds for a service.
type Offer struct {
	// Slots, InFlight and Queued are over all its servers.
	Slots, InFlight, Queued int
}

// Free returns how many requests could start there.
func (o Offer) Free() int { return max(0, o.Slots-o.InFlight-o.Queued) }

// Offers are the last offers of the other hosts of the domain for one service.
// They are hints: the other host decides. It is not safe for concurrent use.
type Offers struct{ hosts map[string]*Offer }

// NewOffers returns no offers.
func NewOffers() *Offers { return &Offers{hosts: map[string]*Offer{}} }

// Update takes in a host's offer.
func (o *Offers) Update(host string, offer Offer) { o.hosts[host] = &offer }

// Drop forgets a host, such as one that did not answer.
func (o *Offers) Drop(host string) { delete(o.hosts, host) }

// Pick returns the host with the most free slots and counts one of them as
// taken until its next offer.
func (o *Offers) Pick() (string, bool) {
	best := ""
	for host, offer := range o.hosts {
		if offer.Free() == 0 {
			continue
		}
		if best == "" || offer.Free() > o.hosts[best].Free() || offer.Free() == o.hosts[best].Free() && host < best {
			best = host
		}
	}
	if best == "" {
		return "", false
	}
	o.hosts[best].InFlight++
	return best, true
}

// Shortest returns the hosts that hold slots, the least loaded for their slots
// first.
func (o *Offers) Shortest() []string {
	var out []string
	for host, offer := range o.hosts {
		if offer.Slots > 0 {
			out = append(out, host)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		x, y := o.hosts[a], o.hosts[b]
		if d := (x.InFlight+x.Queued)*y.Slots - (y.InFlight+y.Queued)*x.Slots; d != 0 {
			return d
		}
		return compareHosts(a, b)
	})
	return out
}

func compareHosts(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}
