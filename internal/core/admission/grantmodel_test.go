package admission

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// The model below simulates the hosts of one failure domain and one server, with
// lost and delayed messages, frozen hosts, and hosts whose process is replaced. It
// counts the requests in flight on the server independently of the hosts.

const (
	testLease = 30 * time.Millisecond
	testHold  = 50 * time.Millisecond
	testSlots = 9
)

var testKey = Key{Service: "svc", Server: "s"}

type step struct {
	Kind int
	Host int
	Peer int
	Wait int
}

const (
	stepRound = iota
	stepDeliver
	stepDrop
	stepFill
	stepFinish
	stepWait
	stepFreeze
	stepUnfreeze
	stepWantAll
	stepWantOne
	stepReplace
	stepExchange
)

// stepWeights makes rounds, deliveries and new work frequent, and faults rare.
var stepWeights = []int{
	stepExchange, stepExchange, stepExchange, stepExchange, stepExchange, stepExchange, stepExchange, stepExchange,
	stepRound, stepDeliver, stepDeliver, stepDeliver, stepDeliver, stepDeliver, stepDeliver, stepDrop, stepFill, stepFill, stepFill, stepFinish, stepFinish, stepWait, stepWait, stepWait, stepFreeze, stepUnfreeze,
	stepWantAll, stepWantOne, stepWantOne, stepReplace,
}

var steps = rapid.Custom(func(t *rapid.T) step {
	return step{
		Kind: rapid.SampledFrom(stepWeights).Draw(t, "kind"), Host: rapid.IntRange(0, 3).Draw(t, "host"),
		Peer: rapid.IntRange(0, 15).Draw(t, "peers"), Wait: rapid.IntRange(1, 40).Draw(t, "ms"),
	}
})

var histories = rapid.SliceOfN(steps, 50, 400)

// variant disables mechanisms of the protocol.
type variant struct {
	noHold, noVoters, noRestartWait, fullShareForAnyGrant bool
}

type message struct {
	ask     *Ask
	voter   int
	sent    time.Time
	answers []Answer
	reply   bool
	// answered is the incarnation of the voter that made the answers.
	answered uint64
	// fromProcess and toProcess are the incarnations of sender and receiver. The
	// message is lost if one of them is replaced.
	fromProcess, toProcess uint64
}

type modelHost struct {
	name    string
	process uint64
	frozen  bool
	claims  *Claims
	ledger  *Ledger
	view    *ClaimView
	wants   bool
	// running holds the deadlines of this host's requests on the server.
	running []time.Time
}

type model struct {
	now        time.Time
	v          variant
	names      []string
	hosts      []*modelHost
	network    []*message
	maxRunning int
}

func newModel(hosts int, v variant) *model {
	m := &model{now: time.Unix(1000, 0), v: v}
	for i := range hosts {
		m.names = append(m.names, fmt.Sprint("h", i))
	}
	for i := range hosts {
		m.hosts = append(m.hosts, &modelHost{name: m.names[i]})
		m.start(m.hosts[i])
	}
	return m
}

func (m *model) start(h *modelHost) {
	h.process++
	h.frozen = false
	h.running = nil
	h.claims = NewClaims(Holder{Host: h.name, Incarnation: h.process}, testLease)
	reporting := m.names
	if m.v.noRestartWait {
		reporting = nil
	}
	h.ledger = NewLedger(m.now, testLease, reporting)
	h.view = &ClaimView{}
	m.applyWants(h)
}

func (m *model) applyWants(h *modelHost) {
	h.claims.Want(nil)
	if h.wants {
		hold := testHold
		if m.v.noHold {
			hold = 0
		}
		h.claims.Want([]Want{{Key: testKey, Hold: hold}})
	}
	h.view = h.claims.View(m.names)
}

func (m *model) expire() {
	for _, h := range m.hosts {
		kept := h.running[:0]
		for _, deadline := range h.running {
			if m.now.Before(deadline) {
				kept = append(kept, deadline)
			}
		}
		h.running = kept
	}
}

func (m *model) round(h *modelHost) {
	h.claims.Round(func(Key) bool { return len(h.running) == 0 })
	for i, peer := range m.hosts {
		m.network = append(m.network, &message{
			ask: h.claims.Ask(m.now, peer.name), voter: i, sent: m.now, fromProcess: h.process, toProcess: peer.process,
		})
	}
	h.view = h.claims.View(m.names)
}

func (m *model) host(name string) *modelHost {
	for _, h := range m.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// deliver delivers message i. A message to a process that has been replaced is
// lost, and a message to a frozen process stays in the network.
func (m *model) deliver(i int) {
	msg := m.network[i]
	voter, asker := m.hosts[msg.voter], m.host(msg.ask.From.Host)
	if !msg.reply {
		m.deliverAsk(i, msg, voter)
		return
	}
	if asker.process != msg.fromProcess {
		m.drop(i)
		return
	}
	if asker.frozen {
		return
	}
	asker.claims.Take(Holder{Host: voter.name, Incarnation: msg.answered}, msg.ask.Round, msg.sent, m.now, msg.answers)
	asker.view = asker.claims.View(m.names)
	m.drop(i)
}

func (m *model) deliverAsk(i int, msg *message, voter *modelHost) {
	if voter.process != msg.toProcess {
		m.drop(i)
		return
	}
	if voter.frozen {
		return
	}
	answers, ok := voter.ledger.Vote(m.now, msg.ask)
	if !ok {
		m.drop(i)
		return
	}
	msg.answers, msg.reply, msg.answered = answers, true, voter.process
}

func (m *model) drop(i int) { m.network = append(m.network[:i], m.network[i+1:]...) }

// exchange starts a round. The voters in the bit set peers receive and answer the
// message immediately, the others later or never.
func (m *model) exchange(h *modelHost, peers int) {
	before := len(m.network)
	m.round(h)
	for _, msg := range append([]*message{}, m.network[before:]...) {
		if peers&(1<<msg.voter) == 0 {
			continue
		}
		for range 2 {
			if i := slices.Index(m.network, msg); i >= 0 {
				m.deliver(i)
			}
		}
	}
}

func (m *model) limit(h *modelHost) int {
	switch {
	case m.v.noVoters && h.wants:
		return testSlots
	case m.v.fullShareForAnyGrant && h.view.Votes(m.now, testKey) > 0:
		return testSlots
	}
	return h.view.Limit(m.now, testKey, testSlots)
}

func (m *model) fill(h *modelHost) {
	for len(h.running) < m.limit(h) {
		h.running = append(h.running, m.now.Add(testHold))
	}
}

func (m *model) apply(s step) {
	h := m.hosts[s.Host%len(m.hosts)]
	switch s.Kind {
	case stepWait:
		m.now = m.now.Add(time.Duration(s.Wait) * time.Millisecond)
		m.expire()
	case stepDeliver:
		if len(m.network) > 0 {
			m.deliver(s.Peer % len(m.network))
		}
	case stepDrop:
		if len(m.network) > 0 {
			m.drop(s.Peer % len(m.network))
		}
	case stepFreeze:
		h.frozen = true
	case stepUnfreeze:
		h.frozen = false
	case stepReplace:
		m.start(h)
	default:
		if !h.frozen {
			m.applyToRunning(s.Kind, h, s.Peer)
		}
	}
}

func (m *model) applyToRunning(kind int, h *modelHost, peers int) {
	switch kind {
	case stepRound:
		m.round(h)
	case stepExchange:
		m.exchange(h, peers)
	case stepFill:
		m.fill(h)
	case stepFinish:
		if len(h.running) > 0 {
			h.running = h.running[1:]
		}
	case stepWantAll, stepWantOne:
		h.wants = kind == stepWantAll || !h.wants
		m.applyWants(h)
	}
}

// simulate replays a history and returns the highest number of requests in flight
// on the server at any time.
func simulate(hosts int, v variant, history []step) int {
	m := newModel(hosts, v)
	for _, s := range history {
		m.apply(s)
		n := 0
		for _, h := range m.hosts {
			n += len(h.running)
		}
		m.maxRunning = max(m.maxRunning, n)
	}
	return m.maxRunning
}
