package share

import (
	"cmp"
	"slices"
	"time"

	"cassiatray/internal/core/document"
)

// Shift is a planned move of callers away from a region or failure domain and
// back.
type Shift struct {
	// ID is unique among the shifts of a service.
	ID string
	// Start is when callers may start to move away, and Until when they may start
	// to return. A zero Until means that they never return.
	Start, Until time.Time
	// Size is the amount of work that moves, as a fraction of the slots of the
	// smallest region concerned. It exceeds 1 when a region that may take the work
	// is smaller than the drained one.
	Size float64
}

// Rate is the rate at which callers may move, as a fraction of a region's slots
// per second.
type Rate float64

// RateOf returns the rate at which a cap holds in every window of its period. Work
// in one window follows answers from a longer one: a caller may use a cached answer
// for ttl after it has changed, and the clocks of hosts differ by up to MaxSkew.
func RateOf(c document.ShiftCap, ttl time.Duration) Rate {
	window := c.Per.D() + ttl + 2*MaxSkew
	return Rate(c.Share.Fraction() / window.Seconds())
}

// segment is a period in which the level of a shift changes at a constant rate.
type segment struct {
	begin, end time.Time
	from, to   float64
}

// Schedule is the planned level of each shift over time. It depends only on the
// document, so that hosts with the same document agree without communication. It
// is immutable.
type Schedule struct {
	rate     Rate
	segments map[string][]segment
}

// move is one direction of a shift.
type move struct {
	shift  Shift
	at     time.Time
	target float64
	cutoff time.Time // the move is cut short at this time, unless it is zero
}

// NewSchedule plans the shifts of one service one after another in the order of
// their start, so that together they never exceed the rate.
func NewSchedule(shifts []Shift, r Rate) *Schedule {
	s := &Schedule{rate: r, segments: map[string][]segment{}}
	var moves []move
	for _, sh := range shifts {
		moves = append(moves, move{shift: sh, at: sh.Start, target: 1, cutoff: sh.Until})
		if !sh.Until.IsZero() {
			moves = append(moves, move{shift: sh, at: sh.Until})
		}
	}
	slices.SortFunc(moves, func(a, b move) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.shift.ID, b.shift.ID), cmp.Compare(b.target, a.target))
	})
	var nextStart time.Time
	for _, m := range moves {
		nextStart = s.add(m, nextStart)
	}
	return s
}

// add plans a move that starts no earlier than earliest, and returns its end.
func (s *Schedule) add(m move, earliest time.Time) time.Time {
	begin := m.at
	if earliest.After(begin) {
		begin = earliest
	}
	if !m.cutoff.IsZero() && !begin.Before(m.cutoff) {
		return earliest
	}
	from := s.finalLevel(m.shift.ID)
	end := begin.Add(s.rate.duration(m.shift.Size, m.target-from))
	sp := segment{begin: begin, end: end, from: from, to: m.target}
	if !m.cutoff.IsZero() && end.After(m.cutoff) {
		sp.end, sp.to = m.cutoff, sp.at(m.cutoff)
	}
	s.segments[m.shift.ID] = append(s.segments[m.shift.ID], sp)
	return sp.end
}

// never is the duration of a move that does not end in practice.
const never = 100 * 365 * 24 * time.Hour

// duration returns how long it takes to move a part of a shift of the given size.
func (r Rate) duration(size, part float64) time.Duration {
	seconds := size * max(part, -part) / float64(r)
	if r <= 0 || seconds > never.Seconds() {
		return never
	}
	return time.Duration(seconds * float64(time.Second))
}

func (s *Schedule) finalLevel(id string) float64 {
	list := s.segments[id]
	if len(list) == 0 {
		return 0
	}
	return list[len(list)-1].to
}

func (sp segment) at(now time.Time) float64 {
	if !now.Before(sp.end) {
		return sp.to
	}
	done := float64(now.Sub(sp.begin)) / float64(sp.end.Sub(sp.begin))
	return sp.from + done*(sp.to-sp.from)
}

// Level returns the fraction of its callers that a shift has moved, from 0 to 1.
func (s *Schedule) Level(id string, now time.Time) float64 {
	level := 0.0
	for _, sp := range s.segments[id] {
		if now.Before(sp.begin) {
			break
		}
		level = sp.at(now)
	}
	return level
}

// End returns when the last planned move of a shift ends.
func (s *Schedule) End(id string) time.Time {
	list := s.segments[id]
	if len(list) == 0 {
		return time.Time{}
	}
	return list[len(list)-1].end
}

// maxStep is the longest time between two steps for which a Pacer changes levels.
const maxStep = time.Second

// Pacer limits the rate of change of one host's levels when its schedule jumps
// because a document arrives late or removes a shift. Levels move towards those of
// the schedule. It is not safe for concurrent use.
type Pacer struct {
	lastStep time.Time
	levels   map[string]float64
	sizes    map[string]float64
}

// NewPacer returns a pacer whose first step adopts the levels of the schedule
// without a rate limit.
func NewPacer() *Pacer { return &Pacer{sizes: map[string]float64{}} }

// Step moves the levels towards those of a schedule and returns them. The level of
// a removed shift moves back to 0. The result must not be modified.
func (p *Pacer) Step(now time.Time, shifts []Shift, s *Schedule) map[string]float64 {
	target := map[string]float64{}
	for _, sh := range shifts {
		target[sh.ID] = s.Level(sh.ID, now)
		p.sizes[sh.ID] = sh.Size
	}
	if p.levels == nil {
		p.levels, p.lastStep = target, now
		return p.levels
	}
	budget := float64(s.rate) * min(max(0, now.Sub(p.lastStep)), maxStep).Seconds()
	p.lastStep = now
	levels := map[string]float64{}
	for _, id := range p.ids(target) {
		level := p.levels[id]
		delta := target[id] - level
		cost := p.sizes[id] * max(delta, -delta)
		if cost > budget {
			delta *= budget / cost
			cost = budget
		}
		budget -= cost
		level += delta
		if _, known := target[id]; known || level > 0 {
			levels[id] = level
		} else {
			delete(p.sizes, id)
		}
	}
	p.levels = levels
	return levels
}

// Forget removes a shift that has ended permanently.
func (p *Pacer) Forget(id string) {
	delete(p.levels, id)
	delete(p.sizes, id)
}

// ids returns the sorted IDs of the scheduled shifts and of those that still have
// a level.
func (p *Pacer) ids(target map[string]float64) []string {
	var out []string
	for id := range target {
		out = append(out, id)
	}
	for id := range p.levels {
		if _, ok := target[id]; !ok {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}
