package steering

import (
	"testing"
	"time"
)

const (
	seed      = 20261204
	testRun   = 9 * time.Second
	reportRun = time.Minute
)

// TestCapacityKeepsCaps holds the policy to the caps in every scenario, and
// shows that a policy without them passes one.
func TestCapacityKeepsCaps(t *testing.T) {
	for _, s := range Scenarios {
		r := Run(s, "capacity", testRun, seed)
		if r.CapUse > 1 {
			t.Errorf("%s: %.2f of a cap in use", s.Name, r.CapUse)
		}
		if r.SlotUse > 1 {
			t.Errorf("%s: %.2f of a server's slots in use", s.Name, r.SlotUse)
		}
	}
	if r := Run(Scenarios[1], "random", testRun, seed); r.CapUse <= 1 {
		t.Error("random keeps the caps: they prove nothing")
	}
}

// BenchmarkTable prints every policy in every scenario.
func BenchmarkTable(b *testing.B) {
	for _, s := range Scenarios {
		for _, name := range Names {
			b.Run(s.Name+"/"+name, func(b *testing.B) {
				var r Result
				for range b.N {
					r = Run(s, name, reportRun, seed)
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(100*r.CapUse, "%cap")
				b.ReportMetric(100*r.SlotUse, "%slots")
				b.ReportMetric(100*r.Headroom, "%free")
				for i, c := range classes {
					b.ReportMetric(float64(r.Quantile(i, 0.5))/float64(time.Millisecond), c.name+"-p50ms")
					b.ReportMetric(float64(r.Quantile(i, 0.99))/float64(time.Millisecond), c.name+"-p99ms")
					b.ReportMetric(100*r.Met(i), c.name+"-%met")
				}
			})
		}
	}
}
