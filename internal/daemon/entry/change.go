package entry

import (
	"fmt"
	"net/netip"
	"slices"

	"cassiatray/internal/core/lookup"
	"cassiatray/internal/core/share"
)

// change is a document whose new preferences callers move to at the pace of
// the cap on shifts.
type change struct {
	// old is the table before it.
	old   *lookup.Table
	shift share.Shift
	seed  uint64
}

// paced is a change with the part of the callers that it has moved.
type paced struct {
	*change
	levels map[string]float64 // by service
}

// noteChange remembers the table before a new one. A process that has just
// started knows no earlier table and answers by the newest. It must be called
// with mu held.
func (s *steering) noteChange(snap *Snapshot) {
	last := s.view.Load()
	if last == nil || last.snap.Table == snap.Table {
		return
	}
	size := last.snap.Table.Moved(snap.Table)
	if size == 0 {
		return
	}
	s.changes = append(s.changes, &change{
		old: last.snap.Table, seed: snap.Head.Sequence,
		shift: share.Shift{ID: fmt.Sprintf("document@%d", snap.Head.Sequence), Start: snap.Head.Accepted, Size: size},
	})
}

func (v *view) addChanges(changes []*change, service string, levels map[string]float64) {
	for i, c := range changes {
		if i == len(v.changes) {
			v.changes = append(v.changes, paced{change: c, levels: map[string]float64{}})
		}
		v.changes[i].levels[service] = levels[c.shift.ID]
	}
}

// endChanges drops the changes that have moved every caller.
func (s *steering) endChanges(v *view) {
	v.changes = slices.DeleteFunc(v.changes, func(p paced) bool {
		for _, level := range p.levels {
			if level < 1 {
				return false
			}
		}
		for _, pacer := range s.pacers {
			pacer.Forget(p.shift.ID)
		}
		return true
	})
	s.changes = s.changes[:0:0]
	for _, p := range v.changes {
		s.changes = append(s.changes, p.change)
	}
}

// find returns the block whose preferences apply to a caller now: those of an
// earlier table until the caller has been moved.
func (v *view) find(service string, client netip.Addr) (lookup.Block, bool) {
	table := v.snap.Table
	for _, c := range slices.Backward(v.changes) {
		if lookup.SpreadOf(client).Moved(c.seed, c.levels[service]) {
			break
		}
		table = c.old
	}
	return table.Find(client)
}
