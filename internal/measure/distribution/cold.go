package main

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"cassiatray/internal/daemon/steertest"
)

// Hosts that start at once without a document.
const (
	coldDomains = 2
	coldHosts   = 3
)

func cold(ctx context.Context) error {
	fmt.Println("blocks | hosts | s from start to in force everywhere | heap MB a host, steer and entry together")
	for _, n := range blockSizes {
		if err := measureCold(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

func measureCold(ctx context.Context, blocks int) error {
	before := heapInUse()
	c := steertest.New(coldDomains, coldHosts, blocks)
	defer c.Stop()
	head, err := c.Apply(ctx, "first")
	if err != nil {
		return err
	}
	c.Doc = nil
	operator := heapInUse() - before
	began := time.Now()
	c.Start()
	if err := awaitAll(ctx, c, head); err != nil {
		return err
	}
	took := time.Since(began)
	hosts := len(c.Hosts)
	held := float64(heapInUse()-before-operator) / float64(hosts) / (1 << 20)
	fmt.Printf("%d | %d | %.1f | %.0f\n", blocks, hosts, took.Seconds(), held)
	return nil
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
