package share

import (
	"errors"
	"testing"
	"time"
)

// modifiedGrants is Grants with the limits that a naive design would use.
type modifiedGrants struct {
	*Grants
	edit func(l *Limits)
	// noOverlap stops enforcing the earlier document immediately.
	noOverlap bool
}

func (d *modifiedGrants) Put(now time.Time, doc Document) {
	if d.edit != nil {
		d.edit(doc.Limits)
	}
	if d.noOverlap {
		doc.Limits.hosts = d.Grants.latest.hosts
	}
	d.Grants.Put(now, doc)
}

// scaleParts multiplies a host's part of every cap.
func scaleParts(l *Limits, by int) {
	for k := range l.Flows {
		l.Flows[k] *= by
	}
	for k := range l.Totals {
		l.Totals[k] *= by
	}
}

// naiveDesigns are designs that exceed a cap in some history.
var naiveDesigns = map[string]newAdmitter{
	"every host uses the whole cap": func(now time.Time, _ *simulation, _ *int) admitter {
		return &modifiedGrants{Grants: NewGrants(now), edit: func(l *Limits) { scaleParts(l, max(1, len(l.hosts))) }}
	},
	"the cap is divided by the number of reachable hosts": func(now time.Time, _ *simulation, seen *int) admitter {
		return &modifiedGrants{Grants: NewGrants(now), edit: func(l *Limits) { scaleParts(l, max(1, len(l.hosts)/(*seen))) }}
	},
	"each sending region is limited separately": func(now time.Time, _ *simulation, _ *int) admitter {
		return &modifiedGrants{Grants: NewGrants(now), edit: func(l *Limits) {
			for k := range l.Totals {
				l.Totals[k] = 1000
			}
		}}
	},
	"a new process ignores running work of its predecessor": func(now time.Time, _ *simulation, _ *int) admitter {
		return NewGrants(now.Add(-time.Hour))
	},
	"a new set of hosts is effective immediately": func(now time.Time, _ *simulation, _ *int) admitter {
		return &modifiedGrants{Grants: NewGrants(now), noOverlap: true}
	},
}

func TestNaiveDesignsExceedRegionCap(t *testing.T) {
	const tries = 3000
	for name, m := range naiveDesigns {
		t.Run(name, func(t *testing.T) {
			for seed := range tries {
				var over *capError
				if errors.As(replay(histories.Example(seed), m), &over) {
					t.Logf("history %d: %v", seed, over)
					return
				}
			}
			t.Fatalf("none of %d histories exceeded a cap", tries)
		})
	}
}
