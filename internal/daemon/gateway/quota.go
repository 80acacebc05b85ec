package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"cassiatray/internal/core/balance"
	"cassiatray/internal/core/quota"
	"cassiatray/internal/core/routing"
	"cassiatray/internal/port"
	"cassiatray/internal/sleep"
	peerv1 "cassiatray/proto/peer/v1"
)

const (
	// quotaTimeout bounds an ask: the longest that was seen takes 150 ms.
	quotaTimeout = 250 * time.Millisecond
	// maxQuotaWait and quotaWaitShare, of its remaining time, are the longest that a request
	// waits for the reply to an ask.
	maxQuotaWait   = 250 * time.Millisecond
	quotaWaitShare = 0.1
	// quotaServingTime is how long after a request of a limited customer a gateway that the
	// directory does not name counts as one that serves callers.
	quotaServingTime = 10 * time.Second
	// quotaRefusalGap is the time without a refusal after which the next begins a new burst,
	// which is logged.
	quotaRefusalGap = 5 * time.Second
	// unknownGateways is how many gateways are taken to serve callers while this one may not know
	// the others: several that start while the store is away would each grant the whole limit.
	unknownGateways = 32
	// suspensionGap is by how much the clock that counts suspensions must pass the other one.
	suspensionGap = 100 * time.Millisecond
)

// quotas bounds the requests of customers with a limit, and answers other gateways as issuer.
type quotas struct {
	node *Node
	pool port.PeerCaller
	// boot returns the time since the host started, suspensions included; nil in tests, whose
	// time is virtual.
	boot func() (time.Duration, error)

	mu     sync.Mutex
	client *quota.Client
	ledger *quota.Ledger
	// plan is who serves callers, by the view it was made from.
	plan quotaPlan
	// served is when a limited customer's request last came from a caller.
	served time.Time
	// running is set while a goroutine asks; kick wakes it.
	running bool
	kick    chan struct{}
	// replied is closed and replaced with each reply.
	replied chan struct{}
	// introduced is set once the keeper has been introduced to the other gateways.
	introduced bool
	// refusals are the bursts of refused requests that are under way.
	refusals map[string]*refusalBurst
	// skew is the difference of the clocks when last seen.
	skew time.Duration
}

// quotaPlan is what a view says of quotas.
type quotaPlan struct {
	view    *view
	members []*peerv1.GatewayMember
	config  *routing.Config
	// limited is set if a customer has a limit, serving if the directory names this gateway.
	limited, serving bool
	count            int
	// capacities are those of all gateways, capacity that of those that serve callers.
	capacities map[string]float64
	capacity   float64
	issuers    quota.Issuers
	hosts      []string
	addresses  map[string]string
}

// refusalBurst counts a customer's refused requests since one that was logged.
type refusalBurst struct {
	count int
	last  time.Time
}

func newQuotas(n *Node, pool port.PeerCaller) *quotas {
	return &quotas{
		node: n, pool: pool, client: quota.NewClient(), ledger: quota.NewLedger(),
		kick: make(chan struct{}, 1), replied: make(chan struct{}), refusals: map[string]*refusalBurst{},
	}
}

func limitOfCustomer(c *routing.Customer) quota.Limit {
	return quota.Limit{Rate: c.Rate, Burst: c.Burst}
}

// admit decides whether a request is within its customer's limit. If not, it returns when the
// customer should come back. It is called once for each request that comes from a caller.
func (q *quotas) admit(ctx context.Context, req *inflightRequest) (bool, time.Duration) {
	c := req.customer
	if !c.Limited() {
		return true, 0
	}
	left := req.caller.Left
	if left <= 0 {
		left = defaultTimeout
	}
	if req.route.Timeout > 0 {
		left = min(left, req.route.Timeout)
	}
	end := time.Now().Add(min(maxQuotaWait, time.Duration(quotaWaitShare*float64(left))))
	for repeated := false; ; repeated = true {
		verdict, after, replied := q.decide(c, repeated)
		if verdict == quota.Wait {
			rest := time.Until(end)
			if rest > 0 && waitFor(ctx, replied, rest) {
				continue
			}
			verdict = quota.Refused
		}
		q.node.metrics.quotaDecisions.WithLabelValues(verdict.String()).Inc()
		if verdict == quota.Refused {
			q.noteRefusal(c, after)
			return false, after
		}
		return true, 0
	}
}

// waitFor waits until done is closed, and reports whether that came within the time.
func waitFor(ctx context.Context, done <-chan struct{}, most time.Duration) bool {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

func (q *quotas) decide(c *routing.Customer, repeated bool) (quota.Verdict, time.Duration, <-chan struct{}) {
	v := q.node.keeper.View()
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.served = now
	q.noteSuspension(now)
	plan := q.planOf(v)
	// The view may be newer than the request's, and its limit is the one in force.
	limit := limitOfCustomer(c)
	if current := v.config.Customer(c.Name); current != nil {
		if !current.Limited() {
			return quota.ByToken, 0, nil
		}
		limit = limitOfCustomer(current)
	}
	verdict, after, wake := q.client.Admit(now, c.Name, limit, q.gateways(plan, now), repeated)
	if !q.running {
		q.running = true
		q.node.background.Go(q.run)
	} else if wake {
		select {
		case q.kick <- struct{}{}:
		default:
		}
	}
	return verdict, after, q.replied
}

// noteSuspension drops all tokens if the host was suspended: the time of the process, by which
// they expire, has stood still. The caller holds q.mu.
func (q *quotas) noteSuspension(now time.Time) {
	if q.boot == nil {
		return
	}
	boot, err := q.boot()
	if err != nil {
		return
	}
	skew := boot - now.Sub(q.node.keeper.born)
	if q.skew != 0 && skew-q.skew > suspensionGap {
		q.client.Drop()
	}
	q.skew = skew
}

// planOf returns what the view says of quotas. The caller holds q.mu.
func (q *quotas) planOf(v *view) *quotaPlan {
	if q.plan.view == v {
		return &q.plan
	}
	if q.plan.view != nil && q.plan.config == v.config && slices.Equal(q.plan.members, v.reaching) {
		q.plan.view = v
		return &q.plan
	}
	old := q.plan.config
	q.plan = quotaPlan{view: v, members: v.reaching, config: v.config, addresses: map[string]string{}, capacities: map[string]float64{}}
	p := &q.plan
	domains := map[string][]balance.Gateway{}
	for _, m := range v.reaching {
		domains[m.Domain] = append(domains[m.Domain], balance.Gateway{Host: m.Host, Capacity: float64(m.Capacity)})
		p.addresses[m.Host] = m.PeerAddress
		p.capacities[m.Host] = float64(m.Capacity)
	}
	for _, list := range domains {
		for _, g := range balance.Narrow(list) {
			p.hosts = append(p.hosts, g.Host)
			p.capacity += g.Capacity
			p.serving = p.serving || g.Host == q.node.cfg.Host
		}
	}
	p.count, p.issuers = len(p.hosts), quota.ChooseIssuers(p.hosts)
	if v.config == nil {
		return p
	}
	v.config.EachCustomer(func(c *routing.Customer) { p.limited = p.limited || c.Limited() })
	if old != v.config {
		q.client.Limited(func(customer string) (quota.Limit, bool) {
			c := v.config.Customer(customer)
			if !c.Limited() {
				return quota.Limit{}, false
			}
			return limitOfCustomer(c), true
		})
	}
	return p
}

// gateways returns how many gateways serve callers, as far as is known. The caller holds q.mu.
func (q *quotas) gateways(p *quotaPlan, now time.Time) int {
	if q.introduced = q.introduced || q.node.keeper.introduced(now); !q.introduced {
		return max(unknownGateways, p.count)
	}
	return p.count
}

// quotaWatch is how often a gateway looks whether customers have limits.
const quotaWatch = 200 * time.Millisecond

// watchQuotas starts the asks for quotas once they are needed.
func (n *Node) watchQuotas(ctx context.Context) {
	for sleep.For(ctx, quotaWatch) {
		if v := n.keeper.View(); v.config != nil && v.config.HasCustomers() {
			n.quotas.watch(v)
		}
	}
}

// watch starts the asks of a gateway that the directory names once a customer has a limit, so
// that issuers count it before its first request.
func (q *quotas) watch(v *view) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if p := q.planOf(v); p.limited && p.serving && !q.running {
		q.running = true
		q.node.background.Go(q.run)
	}
}

// run asks issuers until no customer has a limit, or this gateway serves no callers.
func (q *quotas) run() {
	for {
		wait, ok := q.step()
		if !ok {
			return
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-q.kick:
			timer.Stop()
		case <-q.node.ctx.Done():
			timer.Stop()
			return
		}
	}
}

// step sends the asks that are due and returns the time until the next. It reports false if no
// more are needed.
func (q *quotas) step() (time.Duration, bool) {
	v := q.node.keeper.View()
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	p := q.planOf(v)
	if !p.limited || !p.serving && now.Sub(q.served) > quotaServingTime {
		q.running = false
		return 0, false
	}
	q.ledger.List(now, p.capacity)
	asks, next := q.client.Due(now, p.issuers, true)
	for _, ask := range asks {
		address := p.addresses[ask.To]
		q.node.background.Go(func() { q.ask(ask, address) })
	}
	for customer, r := range q.refusals {
		if now.Sub(r.last) > quotaRefusalGap {
			q.endRefusals(customer, r)
		}
	}
	return max(time.Millisecond, next.Sub(now)), true
}

// ask sends an ask and takes in its reply.
func (q *quotas) ask(ask quota.Ask, address string) {
	grants, err := q.call(ask, address)
	result := "ok"
	if err != nil {
		result = "unreachable"
		if port.IsPeerCode(err, port.PeerRefused) {
			result = "refused"
		}
		q.node.log.WithField("peer", ask.To).WithError(err).Debug("No reply to an ask for quotas.")
	}
	q.node.metrics.quotaAsks.WithLabelValues(result).Inc()
	q.mu.Lock()
	defer q.mu.Unlock()
	if err != nil {
		q.client.Failed(time.Now(), ask)
	} else {
		q.client.Replied(time.Now(), ask, grants)
	}
	close(q.replied)
	q.replied = make(chan struct{})
	select {
	case q.kick <- struct{}{}:
	default:
	}
}

// call asks a gateway as issuer, which may be this one.
//
// Errors: *port.PeerError.
func (q *quotas) call(ask quota.Ask, address string) (map[string]quota.Grant, error) {
	msg := &peerv1.QuotaAsk{OtherIssuers: uint32(ask.OtherIssuers)}
	for _, u := range ask.Uses {
		msg.Uses = append(msg.Uses, &peerv1.QuotaUse{Customer: u.Customer, OnCredit: u.OnCredit, TokensWanted: u.Wanted, TokensReturned: u.Returned})
	}
	var reply *peerv1.QuotaReply
	if ask.To == q.node.cfg.Host {
		reply = q.issue(msg, ask.To)
	} else {
		ctx, cancel := context.WithTimeout(q.node.ctx, quotaTimeout)
		defer cancel()
		r, err := q.pool.Call(ctx, address, &peerv1.Request{Body: &peerv1.Request_QuotaAsk{QuotaAsk: msg}})
		if err != nil {
			return nil, err
		}
		if reply = r.GetQuotaReply(); reply == nil {
			return nil, &port.PeerError{Code: port.PeerMismatch, Address: address, Sent: true}
		}
	}
	out := make(map[string]quota.Grant, len(reply.Grants))
	for _, g := range reply.Grants {
		out[g.Customer] = quota.Grant{Tokens: g.Tokens, Denied: g.Denied, RetryAfter: max(0, time.Duration(g.RetryAfterMicros)*time.Microsecond)}
	}
	return out, nil
}
