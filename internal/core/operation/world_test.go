package operation

import (
	"fmt"
	"time"
)

// outcome is what callers are told, as in the API.
type outcome string

const (
	done    outcome = "done"
	notRun  outcome = "not-run"
	unknown outcome = "unknown"
)

// faults are the naive variants that the properties must find.
type faults struct {
	// forgetful restarts a host under its old incarnation with no records.
	forgetful bool
	// impatient calls an operation not run when its deadline passes.
	impatient bool
	// unguarded runs whatever attempt arrives.
	unguarded bool
	// hasty refuses what it cannot take without sealing it.
	hasty bool
}

// world is a few entry hosts, the messages between them and what the servers
// ran. Every step may be the one at which a host dies.
type world struct {
	faults  faults
	now     time.Time
	hosts   []*host
	msgs    []message
	seen    []message
	ids     []id
	next    int
	runs    map[string]int
	refused map[string]bool
}

type id struct {
	text        string
	host        int
	incarnation uint64
	issued      time.Time
}

type host struct {
	incarnation uint64
	skew        time.Duration
	own         *Table[outcome]
	guard       *Guard
	inherited   *Inherited[outcome]
	// attempts is the number of the attempt in progress.
	attempts map[string]uint32
}

type step int

const (
	relay step = iota
	run
	reply
)

type message struct {
	step        step
	op          id
	to          int
	incarnation uint64
	attempt     uint32
	outcome     outcome
	// late is set on a message that arrives a second time: its reply matches
	// no exchange that is still open and is dropped.
	late bool
}

const hostCount = 3

var small = Limits{Window: 10 * time.Minute, Records: 3, Bytes: 1 << 10, Running: 4}

func newWorld(f faults) *world {
	w := &world{faults: f, now: time.Unix(1e9, 0), runs: map[string]int{}, refused: map[string]bool{}}
	for i := range hostCount {
		w.hosts = append(w.hosts, newHost(uint64(i+1)))
	}
	return w
}

func newHost(incarnation uint64) *host {
	return &host{
		incarnation: incarnation, own: NewTable[outcome](small), guard: NewGuard(small),
		inherited: NewInherited[outcome](small), attempts: map[string]uint32{},
	}
}

func (w *world) clock(h int) time.Time { return w.now.Add(w.hosts[h].skew) }

func (w *world) tell(op id, o outcome) {
	if o == notRun {
		w.refused[op.text] = true
	}
}

// copy is a caller's copy of an operation at a host.
func (w *world) copy(op id, at int) {
	h := w.hosts[at]
	if op.host == at && op.incarnation == h.incarnation {
		w.begin(op, at)
		return
	}
	if !w.ask(op, at) {
		w.msgs = append(w.msgs, message{step: relay, op: op, to: op.host, incarnation: op.incarnation})
	}
}

// ask answers from inherited records.
func (w *world) ask(op id, at int) bool {
	o, verdict := w.hosts[at].inherited.Find(Owner{Host: fmt.Sprint(op.host), Incarnation: op.incarnation}, op.text, op.issued)
	switch verdict {
	case Held:
		w.tell(op, o)
	case NeverRan:
		w.tell(op, notRun)
	case NotHeld:
		return false
	}
	return true
}

func (w *world) begin(op id, at int) {
	h := w.hosts[at]
	rec, mine, err := h.own.Begin(w.clock(at), op.text, op.issued)
	switch {
	case err != nil && err.(*RefusedError).Reason == Closed:
		w.tell(op, notRun)
	case err != nil:
		w.tell(op, unknown)
	case mine:
		w.attempt(op, at, 1)
	case rec.Finished():
		w.tell(op, rec.Result)
	}
}

func (w *world) attempt(op id, from int, n uint32) {
	w.hosts[from].attempts[op.text] = n
	to := (from + int(n)) % hostCount
	w.msgs = append(w.msgs, message{step: run, op: op, to: to, incarnation: w.hosts[to].incarnation, attempt: n})
}

// settle is a host that refuses a copy, for instance for its body.
func (w *world) settle(op id, at int) {
	h := w.hosts[at]
	if w.faults.hasty {
		w.tell(op, notRun)
		return
	}
	if op.host != at || op.incarnation != h.incarnation {
		w.tell(op, unknown)
		return
	}
	rec, err := h.own.Seal(w.clock(at), op.text, op.issued, notRun, 0)
	if err == nil && rec.Finished() {
		w.tell(op, rec.Result)
	}
}

// deliver takes one message in. Fate decides what a receiver does with it.
func (w *world) deliver(m message, fate int) {
	h := w.hosts[m.to]
	if h.incarnation != m.incarnation {
		w.misdirected(m)
		return
	}
	switch m.step {
	case relay:
		w.begin(m.op, m.to)
	case run:
		w.receive(m, fate)
	case reply:
		w.replied(m, fate)
	}
}

// misdirected is a message to a process that ended: it had no effect.
func (w *world) misdirected(m message) {
	switch m.step {
	case relay:
		for at := range w.hosts {
			if w.ask(m.op, at) {
				return
			}
		}
		w.tell(m.op, unknown)
	case run:
		w.answer(m, notRun)
	}
}

func (w *world) answer(m message, o outcome) {
	if m.late {
		return
	}
	w.msgs = append(w.msgs, message{step: reply, op: m.op, to: m.op.host, incarnation: m.op.incarnation, attempt: m.attempt, outcome: o})
}

func (w *world) receive(m message, fate int) {
	if err := w.hosts[m.to].guard.Take(w.clock(m.to), m.op.text, m.op.issued, m.attempt); err != nil && !w.faults.unguarded {
		w.answer(m, unknown)
		return
	}
	if fate == 0 {
		w.answer(m, notRun)
		return
	}
	w.runs[m.op.text]++
	w.answer(m, done)
}

func (w *world) replied(m message, fate int) {
	h := w.hosts[m.to]
	if h.attempts[m.op.text] != m.attempt {
		return
	}
	if m.outcome == notRun && fate == 1 {
		w.attempt(m.op, m.to, m.attempt+1)
		return
	}
	w.finish(m.op, m.to, m.outcome)
}

func (w *world) finish(op id, at int, o outcome) {
	h := w.hosts[at]
	delete(h.attempts, op.text)
	if rec := h.own.records[op.text]; rec != nil && !rec.Finished() {
		h.own.Finish(rec, o, 1)
		w.tell(op, o)
	}
}

func (w *world) timeout(op id) {
	h := w.hosts[op.host]
	if h.incarnation != op.incarnation || h.attempts[op.text] == 0 {
		return
	}
	if w.faults.impatient {
		w.finish(op, op.host, notRun)
		return
	}
	w.finish(op, op.host, unknown)
}

func (w *world) kill(at int) {
	incarnation := w.hosts[at].incarnation + hostCount
	if w.faults.forgetful {
		incarnation = w.hosts[at].incarnation
	}
	w.hosts[at] = newHost(incarnation)
}

// stop is a planned stop: it waits for what is in progress and hands over.
func (w *world) stop(at int) {
	h := w.hosts[at]
	if h.own.Running() > 0 {
		return
	}
	heir := (at + 1) % hostCount
	own := Set[outcome]{Owner: Owner{Host: fmt.Sprint(at), Incarnation: h.incarnation}, Floor: h.own.Close(), Records: map[string]outcome{}}
	for _, r := range h.own.Finished() {
		own.Records[r.ID] = r.Result
	}
	for _, s := range append(h.inherited.Sets(), own) {
		for text, o := range s.Records {
			w.hosts[heir].inherited.Add(w.clock(heir), s.Owner, text, o, 1)
		}
		w.hosts[heir].inherited.Close(w.clock(heir), s.Owner, s.Floor)
	}
	w.kill(at)
}

// check reports operations that break a promise.
func (w *world) check(report func(format string, args ...any)) {
	for op, n := range w.runs {
		if n > 1 {
			report("operation %s ran %d times", op, n)
		}
		if w.refused[op] {
			report("operation %s ran, and a caller was told that it did not", op)
		}
	}
}
