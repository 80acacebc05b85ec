package membership

import (
	"time"
)

// incarnationBits is the number of random low bits of an incarnation.
const incarnationBits = 10

// NewIncarnation returns a number that grows with each start of a process on
// one host. Random separates two starts in the same microsecond.
func NewIncarnation(now time.Time, random uint64) uint64 {
	return uint64(now.UnixMicro())<<incarnationBits | random&(1<<incarnationBits-1)
}
