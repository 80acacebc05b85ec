package document

import (
	"fmt"
	"runtime"
	"testing"
)

// benchSizes are the numbers of client blocks to benchmark with.
var benchSizes = []int{1_000, 10_000, 100_000, 440_000}

func benchReplica(b *testing.B, n int) *Replica {
	b.Helper()
	doc := mustParse(b)
	doc.Clients = testClients(n)
	return replicaOf(b, 1, doc)
}

// oneBlockChange returns a head and a delta that change the regions of one
// block.
func oneBlockChange(b *testing.B, r *Replica, i, order int) (Head, Delta) {
	b.Helper()
	d := Delta{Base: r.Head().Sequence, Set: []Client{testClient(i, order)}}
	sections, err := r.changedSections(d)
	if err != nil {
		b.Fatal(err)
	}
	h := Head{Sequence: d.Base + 1, Sections: append([]Ref{}, r.head.Sections...)}
	root := sections[len(sections)-1]
	h.Sections[len(h.Sections)-1] = root.Ref()
	return h, d
}

// BenchmarkApplyOneBlock applies a delta that changes one of n blocks.
func BenchmarkApplyOneBlock(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := benchReplica(b, n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				b.StopTimer()
				h, d := oneBlockChange(b, r, i%n, i%n+1+i/n)
				b.StartTimer()
				if _, err := r.Apply(h, d); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkReplicaMemory reports the memory of a replica per block.
func BenchmarkReplicaMemory(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				r := benchReplica(b, n)
				b.ReportMetric(float64(heapBytes()-before)/float64(n), "B/block")
				runtime.KeepAlive(r)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkChangeBytes reports the number and size of the sections that have to
// be stored and sent when one block changes.
func BenchmarkChangeBytes(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := benchReplica(b, n)
			for b.Loop() {
				_, d := oneBlockChange(b, r, 7, 8)
				sections, err := r.changedSections(d)
				if err != nil {
					b.Fatal(err)
				}
				total, largest := 0, 0
				created := 0
				for _, s := range sections {
					if _, exists := r.Find(s.Hash); !exists {
						total += len(s.Data)
						created++
					}
				}
				for _, s := range r.sections {
					largest = max(largest, len(s.Data))
				}
				b.ReportMetric(float64(created), "sections/change")
				b.ReportMetric(float64(total), "B/change")
				b.ReportMetric(float64(largest), "largest-B")
				b.ReportMetric(float64(len(r.sections)), "sections")
			}
		})
	}
}
