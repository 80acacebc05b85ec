package ctl

import (
	"slices"
	"time"

	"cassiatray/internal/core/document"
)

// StatusCmd shows what each host has in force.
type StatusCmd struct {
	Environment string   `help:"Environment to show." short:"e" default:"production"`
	Strict      bool     `help:"Exit with status 7 unless every host has the newest document in force."`
	Operators   []string `arg:"" optional:"" help:"Operator addresses of steer processes to ask, instead of those in the document." placeholder:"IP:PORT"`
}

// HostState is what became of a document on a host.
type HostState string

// Values of HostState.
const (
	InForce     HostState = "in-force"
	Behind      HostState = "behind"
	Unreachable HostState = "unreachable"
)

// Status is the result of StatusCmd.
type Status struct {
	Environment string    `json:"environment"`
	Sequence    uint64    `json:"sequence"`
	ChangeID    string    `json:"changeId"`
	Accepted    time.Time `json:"accepted,omitzero"`
	// StoreError is set when the platform could not be asked; Sequence is
	// then the newest that any host shows.
	StoreError string         `json:"storeError,omitempty"`
	Domains    []DomainStatus `json:"domains"`
	Hosts      []HostStatus   `json:"hosts"`
}

// DomainStatus is the state of one failure domain.
type DomainStatus struct {
	Domain      string `json:"domain"`
	Region      string `json:"region"`
	Lead        string `json:"lead"`
	Hosts       int    `json:"hosts"`
	InForce     int    `json:"inForce"`
	Unreachable int    `json:"unreachable"`
	// Behind is the most sequences that a reachable host lacks.
	Behind uint64 `json:"behind"`
}

// HostStatus is the state of one entry host.
type HostStatus struct {
	Host    string    `json:"host"`
	Domain  string    `json:"domain"`
	Region  string    `json:"region"`
	Address string    `json:"address"`
	State   HostState `json:"state"`
	// SteerSequence and EntrySequence are in force in its two processes.
	SteerSequence uint64 `json:"steerSequence"`
	EntrySequence uint64 `json:"entrySequence"`
	// Behind counts the sequences that it lacks, and BehindSeconds the time
	// since the first of them was accepted.
	Behind        uint64  `json:"behind"`
	BehindSeconds float64 `json:"behindSeconds"`
	// Since is when the document in force here was put in force, or when an
	// unreachable host was last heard by another; zero when none says.
	Since time.Time `json:"since,omitzero"`
	Lead  string    `json:"lead"`
	Error string    `json:"error,omitempty"`
}

// steerState is the part of a steer process's dump that status reads.
type steerState struct {
	Host   string        `json:"host"`
	Domain string        `json:"domain"`
	Lead   string        `json:"lead"`
	Head   document.Head `json:"head"`
	Since  time.Time     `json:"since"`
	Peers  []peerState   `json:"peers"`
	Self   struct {
		EntrySequence uint64 `json:"entry_sequence"`
	} `json:"self"`
}

type peerState struct {
	Address     string    `json:"address"`
	Host        string    `json:"host"`
	LastContact time.Time `json:"lastContact"`
}

// Run implements the command.
func (c *StatusCmd) Run(app *App) error {
	if err := environment(c.Environment); err != nil {
		return err
	}
	hosts, head, err := app.hosts(c.Environment)
	if err != nil && len(c.Operators) == 0 {
		return err
	}
	out := Status{
		Environment: c.Environment, Sequence: head.Sequence, ChangeID: head.ChangeID, Accepted: head.Accepted,
		Domains: []DomainStatus{}, Hosts: []HostStatus{},
	}
	if err != nil {
		out.StoreError = err.Error()
	}
	app.ask(&out, c.targets(hosts))
	app.measure(&out)
	out.sumDomains()
	if err := app.emit(out, out.write); err != nil {
		return err
	}
	if n := out.notInForce(); c.Strict && n > 0 {
		return &BehindError{Hosts: n}
	}
	return nil
}

// targets returns the hosts to ask: those of the document, or the addresses
// given.
func (c *StatusCmd) targets(hosts []place) []HostStatus {
	var out []HostStatus
	for _, h := range hosts {
		t := HostStatus{Host: h.Name, Domain: h.Domain, Region: h.Region}
		if !h.SteerOperator.IsZero() {
			t.Address = h.SteerOperator.String()
		}
		if len(c.Operators) == 0 || slices.Contains(c.Operators, t.Address) {
			out = append(out, t)
		}
	}
	for _, address := range c.Operators {
		known := func(h HostStatus) bool { return h.Address == address }
		if !slices.ContainsFunc(out, known) {
			out = append(out, HostStatus{Address: address})
		}
	}
	return out
}

// ask fills in what each host says.
func (app *App) ask(out *Status, targets []HostStatus) {
	states := make([]steerState, len(targets))
	forEach(len(targets), func(i int) {
		t := &targets[i]
		if t.Address == "" {
			t.State, t.Error = Unreachable, "the document has no steerOperator address for it"
			return
		}
		var err error
		if states[i], err = fetchJSON[steerState](app.Ctx, t.Address, "/dump"); err != nil {
			t.State, t.Error = Unreachable, err.Error()
			return
		}
		s := &states[i]
		t.Host, t.Domain, t.Lead, t.Since = s.Host, s.Domain, s.Lead, s.Since
		t.SteerSequence, t.EntrySequence = s.Head.Sequence, s.Self.EntrySequence
	})
	for i := range targets {
		if targets[i].State == Unreachable {
			targets[i].Since = lastHeard(targets[i].Host, states)
		}
	}
	out.Hosts = append(out.Hosts, targets...)
}

// lastHeard returns when any host last heard another.
func lastHeard(host string, states []steerState) time.Time {
	var last time.Time
	for _, s := range states {
		for _, p := range s.Peers {
			if p.Host == host && p.LastContact.After(last) {
				last = p.LastContact
			}
		}
	}
	return last
}

// measure compares each host with the newest sequence.
func (app *App) measure(out *Status) {
	if out.StoreError != "" {
		for _, h := range out.Hosts {
			out.Sequence = max(out.Sequence, h.SteerSequence)
		}
	}
	accepted := app.acceptedTimes(*out)
	for i := range out.Hosts {
		h := &out.Hosts[i]
		if h.State == Unreachable {
			continue
		}
		have := min(h.SteerSequence, h.EntrySequence)
		h.State = InForce
		if have < out.Sequence {
			h.State, h.Behind = Behind, out.Sequence-have
			h.BehindSeconds = max(0, app.Clock.Now().Sub(accepted(have+1)).Seconds())
		}
	}
}

// statusHistory bounds the changes that are read to tell how long a host has
// been behind.
const statusHistory = 50

// acceptedTimes returns when a sequence was accepted; for one that is older
// than the history read, the oldest time read.
func (app *App) acceptedTimes(out Status) func(sequence uint64) time.Time {
	times := map[uint64]time.Time{out.Sequence: out.Accepted}
	oldest := out.Accepted
	late := slices.ContainsFunc(out.Hosts, func(h HostStatus) bool {
		return h.State != Unreachable && min(h.SteerSequence, h.EntrySequence)+1 < out.Sequence
	})
	if late && out.StoreError == "" {
		// A history that cannot be read leaves the newest time.
		changes, _ := app.Store.History(app.Ctx, out.Environment, statusHistory)
		for _, ch := range changes {
			times[ch.Sequence], oldest = ch.Time, ch.Time
		}
	}
	return func(sequence uint64) time.Time {
		if t, ok := times[sequence]; ok {
			return t
		}
		return oldest
	}
}

func (s *Status) sumDomains() {
	for _, h := range s.Hosts {
		i := slices.IndexFunc(s.Domains, func(d DomainStatus) bool { return d.Domain == h.Domain })
		if i < 0 {
			i = len(s.Domains)
			s.Domains = append(s.Domains, DomainStatus{Domain: h.Domain, Region: h.Region})
		}
		s.Domains[i].add(h)
	}
}

func (d *DomainStatus) add(h HostStatus) {
	d.Hosts++
	d.Behind = max(d.Behind, h.Behind)
	if h.Lead != "" {
		d.Lead = h.Lead
	}
	switch h.State {
	case InForce:
		d.InForce++
	case Unreachable:
		d.Unreachable++
	}
}

func (s *Status) notInForce() int {
	n := 0
	for _, h := range s.Hosts {
		if h.State != InForce {
			n++
		}
	}
	return n
}
