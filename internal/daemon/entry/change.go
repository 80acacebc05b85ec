package entry

import (
	"fmt"
	"net/netip"
	"slices"

	"cassiatray/internal/core/lookup"
	"cassiatray/internal/core/share"
)

// preferenceChange is a document that changed the region preferences of callers. Callers
// move to the new preferences at a rate limited by the cap on shifts.
type preferenceChange struct {
	// previous is the client table that the document replaced.
	previous *lookup.Table
	shift    share.Shift
	seed     uint64
}

// changeProgress is a preferenceChange with the share of the callers that have moved to it.
type changeProgress struct {
	*preferenceChange
	movedShare map[string]float64 // by service
}

// recordChange stores the client table that a new document replaces. A process that has
// just started has no earlier table and uses the newest one for all callers. The caller
// must hold mu.
func (s *steering) recordChange(snap *Snapshot) {
	last := s.view.Load()
	if last == nil || last.snapshot.Table == snap.Table {
		return
	}
	size := last.snapshot.Table.Moved(snap.Table)
	if size == 0 {
		return
	}
	s.changes = append(s.changes, &preferenceChange{
		previous: last.snapshot.Table, seed: snap.Head.Sequence,
		shift: share.Shift{ID: fmt.Sprintf("document@%d", snap.Head.Sequence), Start: snap.Head.Accepted, Size: size},
	})
}

func (v *routingView) addChangeProgress(changes []*preferenceChange, service string, levels map[string]float64) {
	for i, c := range changes {
		if i == len(v.changes) {
			v.changes = append(v.changes, changeProgress{preferenceChange: c, movedShare: map[string]float64{}})
		}
		v.changes[i].movedShare[service] = levels[c.shift.ID]
	}
}

// removeCompletedChanges removes the changes to which all callers have moved.
func (s *steering) removeCompletedChanges(v *routingView) {
	v.changes = slices.DeleteFunc(v.changes, func(p changeProgress) bool {
		for _, level := range p.movedShare {
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
		s.changes = append(s.changes, p.preferenceChange)
	}
}

// findBlock returns the client block whose preferences apply to a caller now. Until the
// caller has moved to a change, these are the preferences of the table before it.
func (v *routingView) findBlock(service string, client netip.Addr) (lookup.Block, bool) {
	table := v.snapshot.Table
	for _, c := range slices.Backward(v.changes) {
		if lookup.SpreadOf(client).Moved(c.seed, c.movedShare[service]) {
			break
		}
		table = c.previous
	}
	return table.Find(client)
}
