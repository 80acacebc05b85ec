package main

import (
	"context"
	"encoding/json"
	"fmt"

	"cassiatray/internal/daemon/steertest"
)

// blockSizes are numbers of client blocks.
var blockSizes = []int{1_000, 10_000, 100_000, 440_000}

// storeChanges is how many changes are averaged.
const storeChanges = 10

func store(ctx context.Context) error {
	fmt.Println("blocks | values | writes/change | reads/change | bytes written/change | bytes read/change | head bytes | largest value")
	for _, n := range blockSizes {
		c := steertest.New(112, 17, n)
		if _, err := c.Apply(ctx, "first"); err != nil {
			return err
		}
		first := c.KV.Counts()
		for i := range storeChanges {
			if _, err := c.ChangeBlock(ctx, i*n/storeChanges); err != nil {
				return err
			}
		}
		after := c.KV.Counts()
		head, _, err := c.Store.Head(ctx, steertest.Environment)
		if err != nil {
			return err
		}
		data, err := json.Marshal(head)
		if err != nil {
			return err
		}
		mean := func(a, b int) float64 { return float64(b-a) / storeChanges }
		fmt.Printf("%d | %d | %.1f | %.1f | %.0f | %.0f | %d | %d\n", n, first.Writes,
			mean(first.Writes, after.Writes), mean(first.Reads, after.Reads),
			mean(first.BytesWritten, after.BytesWritten), mean(first.BytesRead, after.BytesRead),
			len(data), c.KV.LargestValue())
	}
	return nil
}
