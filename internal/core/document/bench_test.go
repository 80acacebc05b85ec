package document

import (
	"fmt"
	"runtime"
	"testing"
)

// benchSizes are numbers of client blocks.
var benchSizes = []int{1_000, 10_000, 100_000, 440_000}

func benchReplica(b *testing.B, n int) *Replica {
	b.Helper()
	doc := mustParse(b)
	doc.Clients = testClients(n)
	return replicaOf(b, 1, doc)
}

// step returns the head and the delta that give one block other regions.
func step(b *testing.B, r *Replica, i, order int) (Head, Delta) {
	b.Helper()
	d := Delta{Base: r.Head().Sequence, Set: []Client{testClient(i, order)}}
	sections, err := r.sectionsOf(d)
	if err != nil {
		b.Fatal(err)
	}
	h := Head{Sequence: d.Base + 1, Sections: append([]Ref{}, r.head.Sections...)}
	root := sections[len(sections)-1]
	h.Sections[len(h.Sections)-1] = root.Ref()
	return h, d
}

// BenchmarkApplyOneBlock changes one block of many by a delta.
func BenchmarkApplyOneBlock(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := benchReplica(b, n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				b.StopTimer()
				h, d := step(b, r, i%n, i%n+1+i/n)
				b.StartTimer()
				if _, err := r.Apply(h, d); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkReplicaMemory reports the bytes that a replica holds for a block.
func BenchmarkReplicaMemory(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				r := benchReplica(b, n)
				b.ReportMetric(float64(heap()-before)/float64(n), "B/block")
				runtime.KeepAlive(r)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkChangeBytes reports what one changed block costs to store and to
// send: the sections that it makes anew.
func BenchmarkChangeBytes(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := benchReplica(b, n)
			for b.Loop() {
				_, d := step(b, r, 7, 8)
				sections, err := r.sectionsOf(d)
				if err != nil {
					b.Fatal(err)
				}
				total, largest := 0, 0
				made := 0
				for _, s := range sections {
					if _, held := r.Find(s.Hash); !held {
						total += len(s.Data)
						made++
					}
				}
				for _, s := range r.sections {
					largest = max(largest, len(s.Data))
				}
				b.ReportMetric(float64(made), "sections/change")
				b.ReportMetric(float64(total), "B/change")
				b.ReportMetric(float64(largest), "largest-B")
				b.ReportMetric(float64(len(r.sections)), "sections")
			}
		})
	}
}
