package relay

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Beats tells living failure domains from lost ones. Each lead counts its own
// domain's beat up, and leads pass on the highest beat of each domain that they
// have heard of. A domain whose beat has not risen for SilentAfter ticks is
// silent: nobody in reach hears of it. No clocks are compared. It is not safe
// for concurrent use.
type Beats struct {
	own    string
	names  []string
	beat   []uint32
	age    []int // ticks since beat rose
	digest uint64
}

// SilentAfter is after how many ticks a domain is silent. It is well above the
// ticks that a beat takes to reach all leads.
const SilentAfter = 24

// NewBeats returns the beats of a sorted list of domains, as far as before
// knows them.
func NewBeats(own string, names []string, before *Beats) *Beats {
	b := &Beats{own: own, names: names, beat: make([]uint32, len(names)), age: make([]int, len(names))}
	d := xxhash.New()
	for i, name := range names {
		d.WriteString(name + "\x00")
		if j, ok := before.index(name); ok {
			b.beat[i], b.age[i] = before.beat[j], before.age[j]
		}
	}
	b.digest = d.Sum64()
	return b
}

func (b *Beats) index(name string) (int, bool) {
	if b == nil {
		return 0, false
	}
	return slices.BinarySearch(b.names, name)
}

// Names returns the domains.
func (b *Beats) Names() []string { return b.names }

// Expire takes domains for silent until their beat rises.
func (b *Beats) Expire(domains []string) {
	for _, name := range domains {
		if i, ok := b.index(name); ok {
			b.age[i] = SilentAfter
		}
	}
}

// Tick counts one interval, and the own domain's beat up.
func (b *Beats) Tick() {
	for i := range b.age {
		b.age[i]++
	}
	if i, ok := b.index(b.own); ok {
		b.beat[i]++
		b.age[i] = 0
	}
}

// Export returns the beats and the digest of the names they stand for.
func (b *Beats) Export() ([]uint32, uint64) { return slices.Clone(b.beat), b.digest }

// Merge takes in the beats of another lead. Those of other domains than this
// one's document has are ignored. A lead that took over its domain learns here
// where the count stood.
func (b *Beats) Merge(beats []uint32, digest uint64) {
	if digest != b.digest || len(beats) != len(b.beat) {
		return
	}
	for i, beat := range beats {
		if beat > b.beat[i] {
			b.beat[i], b.age[i] = beat, 0
		}
	}
}

// Silent returns the silent domains.
func (b *Beats) Silent() []string {
	var out []string
	for i, name := range b.names {
		if b.age[i] >= SilentAfter {
			out = append(out, name)
		}
	}
	return out
}
