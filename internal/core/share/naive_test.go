package share

import (
	"errors"
	"testing"
	"time"
)

// doctored is Grants with limits that a naive design would use.
type doctored struct {
	*Grants
	edit func(l *Limits)
	// hasty drops the earlier document at once.
	hasty bool
}

func (d *doctored) Put(now time.Time, doc Document) {
	if d.edit != nil {
		d.edit(doc.Limits)
	}
	if d.hasty {
		doc.Limits.hosts = d.Grants.next.hosts
	}
	d.Grants.Put(now, doc)
}

// each multiplies a host's part of every cap.
func each(l *Limits, by int) {
	for k := range l.Flows {
		l.Flows[k] *= by
	}
	for k := range l.Totals {
		l.Totals[k] *= by
	}
}

// naive are designs that pass a cap in some history.
var naive = map[string]maker{
	"every host takes the whole cap": func(now time.Time, _ *world, _ *int) gate {
		return &doctored{Grants: NewGrants(now), edit: func(l *Limits) { each(l, max(1, len(l.hosts))) }}
	},
	"the cap is divided by the hosts seen alive": func(now time.Time, _ *world, seen *int) gate {
		return &doctored{Grants: NewGrants(now), edit: func(l *Limits) { each(l, max(1, len(l.hosts)/(*seen))) }}
	},
	"each sending region bounds its own work": func(now time.Time, _ *world, _ *int) gate {
		return &doctored{Grants: NewGrants(now), edit: func(l *Limits) {
			for k := range l.Totals {
				l.Totals[k] = 1000
			}
		}}
	},
	"a new process forgets what runs": func(now time.Time, _ *world, _ *int) gate {
		return NewGrants(now.Add(-time.Hour))
	},
	"a new set of hosts counts at once": func(now time.Time, _ *world, _ *int) gate {
		return &doctored{Grants: NewGrants(now), hasty: true}
	},
}

func TestNaiveDesignsPassARegionsCap(t *testing.T) {
	const tries = 3000
	for name, m := range naive {
		t.Run(name, func(t *testing.T) {
			for seed := range tries {
				var over *capError
				if errors.As(replay(histories.Example(seed), m), &over) {
					t.Logf("history %d: %v", seed, over)
					return
				}
			}
			t.Fatalf("no fault found in %d histories", tries)
		})
	}
}
