package quota

import (
	"maps"
	"slices"
	"time"
)

const (
	// probeEvery is how often a gateway that did not reply is asked whether it replies again.
	probeEvery = time.Second
	// probeIssuers is the number of other issuers that a probe names, so that the receiver counts
	// the sender for next to nothing.
	probeIssuers = 1000
	// sweepEvery is how often idle accounts are looked for.
	sweepEvery = time.Second
	// maxUses is how many customers one ask covers; the others are in the next.
	maxUses = 2000
)

// Client is the part of a gateway that admits requests and asks issuers. It is not safe for
// concurrent use.
type Client struct {
	accounts map[string]*Account
	// active are the accounts that may need an ask: of many thousand, few do at a time.
	active map[string]*Account
	links  map[string]*link
	// swept is when idle accounts were last forgotten.
	swept time.Time
	// next is when Due is to be called again, lastSent when it last returned an ask.
	next, lastSent time.Time
}

// link is what a gateway knows of one that it has asked.
type link struct {
	// asked is when it was last asked as issuer, tried that or when it was last probed.
	asked, tried time.Time
	// outstanding is set while there is no reply yet, failed from a missing reply to the next.
	outstanding, failed bool
}

// CustomerUse is a customer's use.
type CustomerUse struct {
	Customer string
	Use
}

// Ask is a message to a gateway as issuer.
type Ask struct {
	To   string
	Sent time.Time
	Uses []CustomerUse
	// OtherIssuers is how many others the gateway has asked lately in place of the present ones.
	OtherIssuers int
}

// NewClient returns a client without accounts.
func NewClient() *Client {
	return &Client{accounts: map[string]*Account{}, active: map[string]*Account{}, links: map[string]*link{}}
}

// Admit decides on a request as Account.Admit does. It also returns whether Due is to be called
// earlier than it last said.
func (c *Client) Admit(now time.Time, customer string, limit Limit, n int, repeated bool) (v Verdict, after time.Duration, wake bool) {
	a := c.accounts[customer]
	if a == nil {
		a = new(Account)
		c.accounts[customer] = a
	}
	c.active[customer] = a
	if v, after = a.Admit(now, limit, n, repeated); v == ByToken {
		return v, after, false
	}
	every := RefreshEvery
	switch a.Need(now) {
	case Urgent:
		every = AskEveryUrgent
	case Regular:
		every = AskEvery
	}
	if at := c.lastSent.Add(every); at.Before(c.next) {
		c.next = at
		return v, after, true
	}
	return v, after, false
}

func (c *Client) link(host string) *link {
	l := c.links[host]
	if l == nil {
		l = new(link)
		c.links[host] = l
	}
	return l
}

// target returns the host to ask in place of an issuer, empty if neither it nor the deputy can be
// reached.
func (c *Client) target(s Issuers, issuer int) string {
	for _, i := range []int{issuer, s.deputy} {
		if i >= 0 && !c.link(s.hosts[i]).failed {
			return s.hosts[i]
		}
	}
	return ""
}

// Due returns the asks to send now, at most one to each gateway, and when to call it again. With
// refresh set the issuers are asked also when nothing is needed, so that they count the gateway.
func (c *Client) Due(now time.Time, s Issuers, refresh bool) ([]Ask, time.Time) {
	c.next = now.Add(RefreshEvery)
	groups := map[string][]string{}
	needs := map[string]Need{}
	targets := map[int]string{}
	for _, i := range s.first {
		targets[i] = c.target(s, i)
		if refresh && targets[i] != "" {
			needs[targets[i]] = Idle
		}
	}
	c.sweep(now)
	for customer, a := range c.active {
		need := a.Need(now)
		if need == Idle {
			if len(a.held) == 0 {
				delete(c.active, customer)
			}
			continue
		}
		issuer, _ := s.Of(customer)
		to := targets[issuer]
		if to == "" {
			a.Lost(now, false)
			continue
		}
		groups[to] = append(groups[to], customer)
		needs[to] = max(needs[to], need)
	}
	var out []Ask
	for _, to := range slices.Sorted(maps.Keys(needs)) {
		need, l := needs[to], c.link(to)
		if l.outstanding {
			// The reply calls for the next.
			continue
		}
		at := l.asked.Add([]time.Duration{Idle: RefreshEvery, Regular: AskEvery, Urgent: AskEveryUrgent}[need])
		if at.After(now) {
			c.next = earlier(c.next, at)
			continue
		}
		l.outstanding, l.asked, l.tried, c.lastSent = true, now, now, now
		out = append(out, c.ask(now, to, groups[to]))
	}
	if len(out) > 0 {
		others := c.otherIssuers(now, s, targets)
		for i := range out {
			out[i].OtherIssuers = others
		}
	}
	return c.probe(now, s, out), c.next
}

// sweep forgets idle accounts.
func (c *Client) sweep(now time.Time) {
	if now.Sub(c.swept) < sweepEvery {
		return
	}
	c.swept = now
	for customer, a := range c.accounts {
		if a.Idle(now) {
			c.forget(customer)
		}
	}
}

func (c *Client) forget(customer string) {
	delete(c.accounts, customer)
	delete(c.active, customer)
}

// probe adds asks to the issuers that did not reply: whether they do again.
func (c *Client) probe(now time.Time, s Issuers, out []Ask) []Ask {
	for _, i := range append(slices.Clone(s.first), s.deputy) {
		if i < 0 {
			continue
		}
		l := c.link(s.hosts[i])
		if !l.failed || l.outstanding {
			continue
		}
		if at := l.tried.Add(probeEvery); at.After(now) {
			c.next = earlier(c.next, at)
			continue
		}
		l.outstanding, l.tried = true, now
		out = append(out, Ask{To: s.hosts[i], Sent: now, OtherIssuers: probeIssuers})
	}
	return out
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (c *Client) ask(now time.Time, to string, customers []string) Ask {
	ask := Ask{To: to, Sent: now}
	slices.Sort(customers)
	for _, customer := range customers[:min(len(customers), maxUses)] {
		if use, ok := c.accounts[customer].Report(now, to); ok {
			ask.Uses = append(ask.Uses, CustomerUse{Customer: customer, Use: use})
		}
	}
	return ask
}

// otherIssuers counts the gateways that may still count this one, apart from those it asks now.
func (c *Client) otherIssuers(now time.Time, s Issuers, targets map[int]string) int {
	current := slices.Collect(maps.Values(targets))
	n := 0
	for host, l := range c.links {
		switch {
		case slices.Contains(current, host):
		case now.Sub(l.asked) <= countedFor:
			n++
		case !l.outstanding && !s.includes(host):
			delete(c.links, host)
		}
	}
	return n
}

// Replied takes in the reply to an ask. A customer without a grant is one that the issuer does
// not know.
func (c *Client) Replied(now time.Time, ask Ask, grants map[string]Grant) {
	l := c.link(ask.To)
	l.outstanding, l.failed = false, false
	for _, u := range ask.Uses {
		a := c.accounts[u.Customer]
		if a == nil {
			continue
		}
		if g, ok := grants[u.Customer]; ok {
			a.Granted(ask.Sent, now, ask.To, g)
			continue
		}
		a.Undelivered()
		a.Lost(now, true)
	}
}

// Failed notes that there was no reply to an ask; the deputy is asked next.
func (c *Client) Failed(now time.Time, ask Ask) {
	l := c.link(ask.To)
	l.outstanding, l.failed = false, true
	for _, u := range ask.Uses {
		if a := c.accounts[u.Customer]; a != nil {
			a.Undelivered()
		}
	}
}

// Limited takes over a new configuration: limitOf returns a customer's limit, and false if it has
// none or is gone. Tokens beyond a lower limit are dropped.
func (c *Client) Limited(limitOf func(customer string) (Limit, bool)) {
	for customer, a := range c.accounts {
		limit, ok := limitOf(customer)
		if !ok {
			c.forget(customer)
			continue
		}
		a.Clip(limit)
	}
}

// Drop drops all tokens, after the process was suspended for a time that its clock does not show.
func (c *Client) Drop() {
	for _, a := range c.accounts {
		a.Drop()
	}
}

// Status returns the state of a customer's account for operators.
func (c *Client) Status(now time.Time, customer string) Status {
	if a := c.accounts[customer]; a != nil {
		return a.Status(now, customer)
	}
	return Status{Customer: customer}
}

// Statuses returns the state of the accounts for operators, in no order.
func (c *Client) Statuses(now time.Time) []Status {
	out := make([]Status, 0, len(c.accounts))
	for customer, a := range c.accounts {
		out = append(out, a.Status(now, customer))
	}
	return out
}
