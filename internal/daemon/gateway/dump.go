package gateway

import (
	"time"

	"cassiatray/internal/adapter/operatorhttp"
	peerv1 "cassiatray/proto/peer/v1"
)

// State is the dump of a gateway.
type State struct {
	Host        string                  `json:"host"`
	Domain      string                  `json:"domain"`
	Incarnation uint64                  `json:"incarnation,string"`
	Stopping    bool                    `json:"stopping"`
	Links       string                  `json:"links"`
	Version     uint64                  `json:"version"`
	Revision    uint64                  `json:"revision"`
	ViewAgeMS   int64                   `json:"view_age_ms"`
	Watching    bool                    `json:"watching"`
	Evacuated   map[string]bool         `json:"evacuated"`
	Members     []*peerv1.GatewayMember `json:"members"`
	Servers     []ServerState           `json:"servers"`
	// Quotas is absent if no customer has a limit.
	Quotas *QuotaState `json:"quotas,omitempty"`
}

// ServerState is what is known of one backend server, and why it is not used.
type ServerState struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	State   string `json:"state"`
	Down    bool   `json:"down"`
	ColdMS  int64  `json:"cold_ms"`
	// Limit is the rate that the server names, in requests per second; absent for none.
	Limit    *float64 `json:"limit,omitempty"`
	InFlight int      `json:"in_flight"`
	Requests float64  `json:"requests"`
}

// Dump implements operatorhttp.Source.
func (n *Node) Dump() any {
	now := time.Now()
	v := n.keeper.View()
	out := State{
		Host: n.cfg.Host, Domain: n.cfg.Domain, Incarnation: n.syncer.identity.Incarnation, Stopping: n.stopping.Load(), Links: n.links.current().String(),
		Revision: v.revision, ViewAgeMS: now.Sub(n.keeper.Synced()).Milliseconds(), Watching: n.syncer.watching(),
		Evacuated: v.evacuated, Members: v.members, Quotas: n.quotas.dump(now),
	}
	if v.config != nil {
		out.Version = v.config.Version
	}
	for _, s := range n.keeper.Servers() {
		rec := s.rec()
		var limit *float64
		if l := s.limit(); l.Named {
			limit = &l.Rate
		}
		out.Servers = append(out.Servers, ServerState{
			ID: rec.ID, Service: rec.Service, Address: rec.Address, Domain: rec.Domain, State: rec.State.String(),
			Down: s.isDown(), ColdMS: s.remainingCold(now).Milliseconds(), Limit: limit, InFlight: s.inFlight(), Requests: s.estimatedRequests(now, time.Second),
		})
	}
	return out
}

var _ operatorhttp.Source = (*operatorSource)(nil)

// operatorSource implements operatorhttp.Source.
type operatorSource struct{ node *Node }

// Dump implements operatorhttp.Source.
func (o *operatorSource) Dump() any { return o.node.Dump() }

// Ready implements operatorhttp.Source.
func (o *operatorSource) Ready() error {
	if !o.node.Ready() {
		return &operatorhttp.NotReadyError{Reason: "no configuration or no servers known, or stopping"}
	}
	return nil
}
