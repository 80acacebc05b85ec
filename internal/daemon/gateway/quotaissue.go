package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"cassiatray/internal/core/quota"
	"cassiatray/internal/core/routing"
	peerv1 "cassiatray/proto/peer/v1"
)

// issue answers an ask by the limits of this gateway's configuration. Whoever is asked issues:
// what it grants depends on how many gateways ask it.
func (q *quotas) issue(msg *peerv1.QuotaAsk, from string) *peerv1.QuotaReply {
	v := q.node.keeper.View()
	age := time.Since(q.node.keeper.Synced())
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	p := q.planOf(v)
	q.ledger.Ask(now, from, quota.Counts{
		Listed: p.count, AtLeast: q.gateways(p, now), ViewAge: age, OtherIssuers: int(msg.OtherIssuers),
		Capacity: p.capacities[from], ListedCapacity: p.capacity,
	})
	out := &peerv1.QuotaReply{}
	if v.config == nil {
		return out
	}
	for _, u := range msg.Uses {
		c := v.config.Customer(u.Customer)
		if !c.Limited() {
			continue
		}
		g := q.ledger.Grant(now, from, c.Name, limitOfCustomer(c), quota.Use{OnCredit: u.OnCredit, Wanted: u.TokensWanted, Returned: u.TokensReturned})
		out.Grants = append(out.Grants, &peerv1.QuotaGrant{Customer: c.Name, Tokens: g.Tokens, Denied: g.Denied, RetryAfterMicros: g.RetryAfter.Microseconds()})
	}
	return out
}

// noteRefusal logs the first refusal of a burst.
func (q *quotas) noteRefusal(c *routing.Customer, after time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.refusals[c.Name]
	if r == nil {
		r = new(refusalBurst)
		q.refusals[c.Name] = r
		s := q.client.Status(time.Now(), c.Name)
		q.node.log.WithFields(logrus.Fields{
			"customer": c.Name, "rate": c.Rate, "burst": c.Burst, "retry_after_ms": after.Milliseconds(), "demand": s.Demand, "admitted": s.Admitted,
			"denied_ms": s.DeniedMS, "fallback_ms": s.FallbackMS, "gateways": q.plan.count,
		}).Warn("Customer is over its limit.")
	}
	r.count++
	r.last = time.Now()
}

// endRefusals logs the end of a burst of refusals. The caller holds q.mu.
func (q *quotas) endRefusals(customer string, r *refusalBurst) {
	delete(q.refusals, customer)
	q.node.log.WithFields(logrus.Fields{"customer": customer, "refused": r.count}).Info("Customer is within its limit again.")
}

// QuotaState is the dump of quotas.
type QuotaState struct {
	// Gateways is how many serve callers, Issuers who issues, and Serving whether this one asks
	// although no request comes.
	Gateways int      `json:"gateways"`
	Issuers  []string `json:"issuers"`
	Serving  bool     `json:"serving"`
	// Customers are those with requests here lately, Issued the buckets of this gateway as
	// issuer, at the share Share of the limits for Asking gateways.
	Customers []quota.Status `json:"customers,omitempty"`
	Issued    []quota.Level  `json:"issued,omitempty"`
	Share     float64        `json:"share,omitempty"`
	Asking    int            `json:"asking,omitempty"`
}

// dump returns the state of quotas; nil if no customer has a limit.
func (q *quotas) dump(now time.Time) *QuotaState {
	v := q.node.keeper.View()
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.planOf(v)
	if !p.limited {
		return nil
	}
	return &QuotaState{
		Gateways: p.count, Issuers: p.issuers.Hosts(), Serving: p.serving, Customers: q.client.Statuses(now),
		Issued: q.ledger.Levels(), Share: q.ledger.Share(), Asking: q.ledger.Asking(now),
	}
}
