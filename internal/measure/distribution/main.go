// Command distribution measures what it costs to bring changes of a document
// into force. Run it with one of:
//
//	store      bytes and calls of a change of one block, by size of document
//	members    time, bytes and processor time, by number of hosts in one process;
//	           shapes such as 2x17, domains by hosts, may follow
//	cold       time for hosts with no document to have the whole of it, by its
//	           size
//	processes  time and processor time at 24 hosts as plain processes
//	frozen     time at 24 hosts as plain processes while a lead is stopped for
//	           longer than its lease lasts, and once it goes on
package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"
)

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	modes := map[string]func(context.Context) error{"store": store, "members": members, "cold": cold, "processes": processes, "frozen": frozen}
	if len(os.Args) < 2 || modes[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: distribution store|members|cold|processes|frozen")
		os.Exit(2)
	}
	if err := modes[os.Args[1]](ctx); err != nil {
		fmt.Fprintln(os.Stderr, "distribution:", err)
		os.Exit(1)
	}
}

// quantile returns a share's value of a list of times, in milliseconds.
func quantile(list []time.Duration, share float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	i := min(int(share*float64(len(sorted))), len(sorted)-1)
	return float64(sorted[i].Microseconds()) / 1000
}
