package admission

import "slices"

// Offer is the last reported capacity of another host for a service.
type Offer struct {
	// Slots, InFlight and Queued are the sums over all servers that the host holds.
	Slots, InFlight, Queued int
}

// Free returns the number of requests that could start on the host.
func (o Offer) Free() int { return max(0, o.Slots-o.InFlight-o.Queued) }

// Offers holds the last offers of the other hosts of the failure domain for one
// service. Offers are hints: the other host decides whether it admits a request.
// It is not safe for concurrent use.
type Offers struct{ hosts map[string]*Offer }

// NewOffers returns an empty set of offers.
func NewOffers() *Offers { return &Offers{hosts: map[string]*Offer{}} }

// Update replaces the offer of a host.
func (o *Offers) Update(host string, offer Offer) { o.hosts[host] = &offer }

// Drop removes the offer of a host, such as one that did not respond.
func (o *Offers) Drop(host string) { delete(o.hosts, host) }

// Pick returns the host with the most free slots, and counts one of them as used
// until the host's next offer.
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

// Shortest returns the hosts that have slots, in ascending order of requests in
// flight and queued per slot.
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
