package membership

import (
	"time"
)

// incarnationBits is the number of random low-order bits of an incarnation.
const incarnationBits = 10

// NewIncarnation returns a number that increases with each start of a process
// on a host. Random distinguishes two starts within the same microsecond.
func NewIncarnation(now time.Time, random uint64) uint64 {
	return uint64(now.UnixMicro())<<incarnationBits | random&(1<<incarnationBits-1)
}
