package placement

import (
	"fmt"
	"testing"
)

// BenchmarkRank measures the ranking of servers for an object that is not
// cached, as after a change of the servers.
func BenchmarkRank(b *testing.B) {
	for _, n := range []int{36, 400, 1000, 4000} {
		r := newTestRing(serverNames(n), equalWeight)
		for _, best := range []int{8, n} {
			b.Run(fmt.Sprintf("%d of %d", best, n), func(b *testing.B) {
				b.ReportAllocs()
				object := uint64(1)
				for b.Loop() {
					object = object*6364136223846793005 + 1
					r.Rank(object, best)
				}
			})
		}
	}
}
