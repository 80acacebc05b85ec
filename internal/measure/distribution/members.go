package main

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"time"

	"cassiatray/internal/core/document"
	"cassiatray/internal/daemon/steertest"
	"cassiatray/internal/site"
	"cassiatray/internal/sleep"
)

// shape is a number of domains with a number of hosts each.
type shape struct{ domains, hosts int }

var shapes = []shape{{3, 4}, {6, 4}, {15, 5}, {30, 5}, {60, 5}, {2, 17}, {2, 33}}

// Times of one shape.
const (
	idleTime   = 10 * time.Second
	changes    = 8
	changeGap  = 1300 * time.Millisecond // 0.76 a second
	smallBlock = 2_000                   // client blocks
)

func members(ctx context.Context) error {
	fmt.Println("hosts | domains x hosts | p50 ms | max ms | lead out B/s idle | member out B/s idle | lead out B/change | member out B/change | busiest B/s idle | store calls/min idle | store calls/change | CPU us/host/s idle | CPU us/host/change")
	list := shapes
	for i, arg := range os.Args[2:] {
		if i == 0 {
			list = nil
		}
		var s shape
		if _, err := fmt.Sscanf(arg, "%dx%d", &s.domains, &s.hosts); err != nil {
			return err
		}
		list = append(list, s)
	}
	for _, s := range list {
		if err := measureShape(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

func measureShape(ctx context.Context, s shape) error {
	c := steertest.New(s.domains, s.hosts, smallBlock)
	defer c.Stop()
	c.Start()
	if _, err := c.Apply(ctx, "first"); err != nil {
		return err
	}
	if err := site.Await(ctx, "all members", func() bool { return complete(c) }); err != nil {
		return err
	}
	// The lease is taken within one interval of renewal.
	sleep.For(ctx, idleTime)
	before := sample(c)
	sleep.For(ctx, idleTime)
	idle := before.to(sample(c))
	before = sample(c)
	times, err := change(ctx, c)
	if err != nil {
		return err
	}
	busy := before.to(sample(c))
	seconds := idle.took.Seconds()
	// What a change costs is what comes on top of an idle time as long.
	over := busy.took.Seconds() / seconds
	per := func(b, i float64) float64 { return (b - i*over) / changes }
	hosts := float64(len(c.Hosts))
	fmt.Printf("%d | %dx%d | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.1f | %.0f | %.0f\n",
		len(c.Hosts), s.domains, s.hosts, quantile(times, 0.5), quantile(times, 1),
		idle.lead/seconds, idle.member/seconds, per(busy.lead, idle.lead), per(busy.member, idle.member), idle.busiest/seconds,
		idle.calls/seconds*60, per(busy.calls, idle.calls),
		idle.cpu.Seconds()*1e6/hosts/seconds, per(busy.cpu.Seconds(), idle.cpu.Seconds())*1e6/hosts)
	return nil
}

func complete(c *steertest.Cluster) bool {
	for _, h := range c.Hosts {
		s := h.Feed.Snapshot()
		if s == nil || len(s.Hosts) != len(c.Hosts) {
			return false
		}
	}
	return true
}

// change makes changes at the rate of the target size, and returns how long
// each took to be in force at each entry process.
func change(ctx context.Context, c *steertest.Cluster) ([]time.Duration, error) {
	var times []time.Duration
	for i := range changes {
		began := time.Now()
		head, err := c.ChangeBlock(ctx, i)
		if err != nil {
			return nil, err
		}
		if err := awaitAll(ctx, c, head); err != nil {
			return nil, err
		}
		for _, h := range c.Hosts {
			times = append(times, h.Feed.Since().Sub(head.Accepted))
		}
		sleep.For(ctx, changeGap-time.Since(began))
	}
	return times, nil
}

func awaitAll(ctx context.Context, c *steertest.Cluster, head document.Head) error {
	return site.Await(ctx, "a change", func() bool {
		for _, h := range c.Hosts {
			if h.Sequence() < head.Sequence {
				return false
			}
		}
		return true
	})
}

// state is a sample of all counters.
type state struct {
	at    time.Time
	cpu   time.Duration
	calls int
	out   []int64
	total []int64
	leads []bool
}

func sample(c *steertest.Cluster) state {
	var usage syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	n := c.KV.Counts()
	s := state{
		at: time.Now(), calls: n.Reads + n.Writes + n.Watches,
		cpu: time.Duration(usage.Utime.Nano() + usage.Stime.Nano()),
	}
	for _, h := range c.Hosts {
		s.out = append(s.out, h.Traffic.Out.Load())
		s.total = append(s.total, h.Traffic.Out.Load()+h.Traffic.In.Load())
		s.leads = append(s.leads, h.Leads())
	}
	return s
}

// spent is what was spent between two samples. Bytes are the mean of a role's
// hosts, and the sum of both directions at the busiest.
type spent struct {
	took                  time.Duration
	cpu                   time.Duration
	calls                 float64
	lead, member, busiest float64
}

func (a state) to(b state) spent {
	out := spent{took: b.at.Sub(a.at), cpu: b.cpu - a.cpu, calls: float64(b.calls - a.calls)}
	leads, members := 0, 0
	for i := range a.out {
		sent := float64(b.out[i] - a.out[i])
		out.busiest = max(out.busiest, float64(b.total[i]-a.total[i]))
		if b.leads[i] {
			out.lead += sent
			leads++
		} else {
			out.member += sent
			members++
		}
	}
	out.lead /= float64(max(leads, 1))
	out.member /= float64(max(members, 1))
	return out
}
