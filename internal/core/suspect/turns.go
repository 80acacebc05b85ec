package suspect

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Turns grants permission to run suspects, to one holder at a time for each
// suspect, whichever hosts received its copies. It is not safe for concurrent
// use.
type Turns struct{ current map[Fingerprint]turn }

type turn struct {
	holder string
	until  time.Time
}

// Take grants a holder the turn of a suspect, unless there is an unexpired turn
// already. The turn expires at until if the holder does not end it before.
func (t *Turns) Take(now time.Time, f Fingerprint, holder string, until time.Time) bool {
	if old, ok := t.current[f]; ok && now.Before(old.until) {
		return false
	}
	if t.current == nil {
		t.current = map[Fingerprint]turn{}
	}
	t.current[f] = turn{holder: holder, until: until}
	return true
}

// End ends the turn of a suspect if holder has it.
func (t *Turns) End(f Fingerprint, holder string) {
	if t.current[f].holder == holder {
		delete(t.current, f)
	}
}

// Keepers returns the hosts in the order in which they are asked for the turns of
// a suspect. The order is by rendezvous hash, so that callers with the same set of
// hosts agree on it.
func Keepers(f Fingerprint, hosts []string) []string {
	score := func(host string) uint64 {
		var d xxhash.Digest
		d.Reset()
		d.Write(f[:])
		d.WriteString(host)
		return d.Sum64()
	}
	out := slices.Clone(hosts)
	slices.SortFunc(out, func(a, b string) int { return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a, b)) })
	return out
}
