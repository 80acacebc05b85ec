package share

import (
	"cmp"
	"slices"
	"time"

	"cassiatray/internal/core/document"
)

// Shift is a planned move of callers away from a place, and back.
type Shift struct {
	// ID is unique among the shifts of a service.
	ID string
	// Start is when callers may begin to move away, and Until when they may
	// begin to come back; zero Until means never.
	Start, Until time.Time
	// Size is how much work moves, as a part of the slots of the smallest
	// region concerned; above 1 when the others are smaller than the first.
	Size float64
}

// Rate is how fast callers may move: parts of a region's slots per second.
type Rate float64

// RateOf returns the rate that keeps a cap in every window of its period. A
// caller may use an old answer for ttl after a new one could be had, and two
// hosts' clocks differ by MaxSkew at most: the window of the answers that
// matter is longer than that of the work by both.
func RateOf(c document.ShiftCap, ttl time.Duration) Rate {
	window := c.Per.D() + ttl + 2*MaxSkew
	return Rate(c.Share.Fraction() / window.Seconds())
}

// span is a stretch in which one shift moves steadily.
type span struct {
	begin, end time.Time
	from, to   float64
}

// Schedule says how far each shift has come at any time. It is a pure function
// of the document: hosts that have the same one agree without talking. It is
// immutable.
type Schedule struct {
	rate  Rate
	spans map[string][]span
}

// move is one direction of a shift.
type move struct {
	shift  Shift
	at     time.Time
	target float64
	by     time.Time // ends early at this time; zero for never
}

// NewSchedule plans the shifts of one service one after another in order of
// their start, so that all of them together never move faster than the rate.
func NewSchedule(shifts []Shift, r Rate) *Schedule {
	s := &Schedule{rate: r, spans: map[string][]span{}}
	var moves []move
	for _, sh := range shifts {
		moves = append(moves, move{shift: sh, at: sh.Start, target: 1, by: sh.Until})
		if !sh.Until.IsZero() {
			moves = append(moves, move{shift: sh, at: sh.Until})
		}
	}
	slices.SortFunc(moves, func(a, b move) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.shift.ID, b.shift.ID), cmp.Compare(b.target, a.target))
	})
	var free time.Time
	for _, m := range moves {
		free = s.add(m, free)
	}
	return s
}

// add plans a move no earlier than free and returns when it ends.
func (s *Schedule) add(m move, free time.Time) time.Time {
	begin := m.at
	if free.After(begin) {
		begin = free
	}
	if !m.by.IsZero() && !begin.Before(m.by) {
		return free
	}
	from := s.final(m.shift.ID)
	end := begin.Add(s.rate.span(m.shift.Size, m.target-from))
	sp := span{begin: begin, end: end, from: from, to: m.target}
	if !m.by.IsZero() && end.After(m.by) {
		sp.end, sp.to = m.by, sp.at(m.by)
	}
	s.spans[m.shift.ID] = append(s.spans[m.shift.ID], sp)
	return sp.end
}

// never is a time that no shift lives to see.
const never = 100 * 365 * 24 * time.Hour

// span returns how long a part of a shift takes.
func (r Rate) span(size, part float64) time.Duration {
	seconds := size * max(part, -part) / float64(r)
	if r <= 0 || seconds > never.Seconds() {
		return never
	}
	return time.Duration(seconds * float64(time.Second))
}

func (s *Schedule) final(id string) float64 {
	list := s.spans[id]
	if len(list) == 0 {
		return 0
	}
	return list[len(list)-1].to
}

func (sp span) at(now time.Time) float64 {
	if !now.Before(sp.end) {
		return sp.to
	}
	done := float64(now.Sub(sp.begin)) / float64(sp.end.Sub(sp.begin))
	return sp.from + done*(sp.to-sp.from)
}

// Level returns which part of its callers a shift has moved, from 0 to 1.
func (s *Schedule) Level(id string, now time.Time) float64 {
	level := 0.0
	for _, sp := range s.spans[id] {
		if now.Before(sp.begin) {
			break
		}
		level = sp.at(now)
	}
	return level
}

// End returns when the last planned move of a shift ends.
func (s *Schedule) End(id string) time.Time {
	list := s.spans[id]
	if len(list) == 0 {
		return time.Time{}
	}
	return list[len(list)-1].end
}

// longestStep bounds how much a Pacer makes up for between two steps.
const longestStep = time.Second

// Pacer holds one host's levels under the rate when its schedule jumps: when a
// document arrives late, or withdraws a shift. Levels move towards those of
// the schedule. It is not safe for concurrent use.
type Pacer struct {
	last   time.Time
	levels map[string]float64
	sizes  map[string]float64
}

// NewPacer returns a pacer that takes its first levels as they come.
func NewPacer() *Pacer { return &Pacer{sizes: map[string]float64{}} }

// Step moves the levels towards the targets of a schedule and returns them. A
// level whose shift is gone moves back to 0. The result must not be written to.
func (p *Pacer) Step(now time.Time, shifts []Shift, s *Schedule) map[string]float64 {
	target := map[string]float64{}
	for _, sh := range shifts {
		target[sh.ID] = s.Level(sh.ID, now)
		p.sizes[sh.ID] = sh.Size
	}
	if p.levels == nil {
		p.levels, p.last = target, now
		return p.levels
	}
	budget := float64(s.rate) * min(max(0, now.Sub(p.last)), longestStep).Seconds()
	p.last = now
	next := map[string]float64{}
	for _, id := range p.ids(target) {
		level := p.levels[id]
		want := target[id] - level
		cost := p.sizes[id] * max(want, -want)
		if cost > budget {
			want *= budget / cost
			cost = budget
		}
		budget -= cost
		level += want
		if _, known := target[id]; known || level > 0 {
			next[id] = level
		} else {
			delete(p.sizes, id)
		}
	}
	p.levels = next
	return next
}

// Forget drops a shift that has ended for good.
func (p *Pacer) Forget(id string) {
	delete(p.levels, id)
	delete(p.sizes, id)
}

// ids returns all shifts that have or had a level, in a stable order.
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
