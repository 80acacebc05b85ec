package site

import "testing"

// TestStandinsFollowDocument checks that the stand-ins have the limits of the
// document, that the list names every server, and that every host reads it.
func TestStandinsFollowDocument(t *testing.T) {
	p := NewPlan(Coop(2), Network{Octet: firstOctet})
	listed := map[string]bool{}
	for _, l := range p.hostListSettings().Listed {
		listed[l.Address.String()] = true
	}
	for _, svc := range p.Document.Services {
		for _, b := range svc.Servers {
			if !listed[b.Address.String()] {
				t.Errorf("%s is not listed", b.Name)
			}
			for _, got := range p.serverSettings(b.Domain).Servers {
				same := got.Connections == svc.Connections && got.ConnectionCost == svc.ColdStart.Connection
				if got.Name == b.Name && (!same || got.ConnectionCost == 0) {
					t.Errorf("%s accepts %d connections at a cost of %s", b.Name, got.Connections, got.ConnectionCost.D())
				}
			}
		}
	}
	for _, h := range p.Hosts {
		if p.entrySettings(h, "trial").HostList != p.hostListSettings().HostList || !p.HostList.IsValid() {
			t.Errorf("%s reads another list", h.Name)
		}
	}
}
