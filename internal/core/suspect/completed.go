package suspect

import "sync/atomic"

// completedSlots is the number of requests that a Completed remembers, 64 KiB in all.
const completedSlots = 8192

// Completed remembers requests that ran to completion, each until another one takes its slot:
// the more often a request runs, the surer it is remembered. The zero value is empty. It is
// safe for concurrent use.
type Completed struct{ keys [completedSlots]atomic.Uint64 }

// Add records that a request ran to completion.
func (c *Completed) Add(key uint64) { c.keys[key%completedSlots].Store(key) }

// Has reports whether a request is known to have run to completion.
func (c *Completed) Has(key uint64) bool { return key != 0 && c.keys[key%completedSlots].Load() == key }
