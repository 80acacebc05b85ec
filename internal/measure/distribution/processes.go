package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"cassiatray/internal/adapter/platform"
	"cassiatray/internal/core/document"
	"cassiatray/internal/daemon/entry"
	"cassiatray/internal/daemon/steertest"
	"cassiatray/internal/envstore"
	"cassiatray/internal/port"
	"cassiatray/internal/site"
	"cassiatray/internal/sleep"
)

// Sizes of the run with plain processes.
const (
	processHosts   = 4 // in each of 6 domains
	processChanges = 20
	platformTime   = 5 * time.Second
)

// bring starts the site with a first document in force. The caller closes it.
func bring(ctx context.Context) (*site.Site, *envstore.Store, error) {
	bin, err := site.Programs()
	if err != nil {
		return nil, nil, err
	}
	s, err := site.New(site.Coop(processHosts), bin, steertest.Environment)
	if err != nil {
		return nil, nil, err
	}
	st := envstore.New(platform.New(s.Store.String(), platformTime), port.SystemClock{})
	if err := first(ctx, s, st); err != nil {
		s.Close()
		return nil, nil, err
	}
	return s, st, nil
}

func first(ctx context.Context, s *site.Site, st *envstore.Store) error {
	if err := s.StartAll(); err != nil {
		return err
	}
	for i := range len(s.Hosts) * 100 {
		s.Document.Clients = append(s.Document.Clients, document.Client{
			Block: steertest.Block(1<<20 + i), Regions: s.Document.Clients[0].Regions,
		})
	}
	err := site.Await(ctx, "the first document", func() bool {
		_, err := put(ctx, s, st)
		return err == nil
	})
	if err != nil {
		return err
	}
	for _, h := range s.Hosts {
		if err := site.AwaitReady(ctx, h.EntryOperator); err != nil {
			return err
		}
	}
	return nil
}

func processes(ctx context.Context) error {
	s, st, err := bring(ctx)
	if err != nil {
		return err
	}
	defer s.Close()
	sleep.For(ctx, idleTime)
	idle := cpu(s)
	sleep.For(ctx, idleTime)
	report("idle", idle, cpu(s), idleTime)
	before, began := cpu(s), time.Now()
	times, err := changeProcesses(ctx, s, st)
	if err != nil {
		return err
	}
	report("at 0.76 changes a second", before, cpu(s), time.Since(began))
	fmt.Printf("accepted to in force at %d entry processes, %d changes: p50 %.1f ms, p99 %.1f ms, max %.1f ms\n",
		len(s.Hosts), processChanges, quantile(times, 0.5), quantile(times, 0.99), quantile(times, 1))
	return nil
}

func put(ctx context.Context, s *site.Site, st *envstore.Store) (document.Head, error) {
	sections, err := document.Divide(s.Document)
	if err != nil {
		return document.Head{}, err
	}
	base, _, err := st.Head(ctx, s.Environment)
	if err != nil {
		return document.Head{}, err
	}
	return st.Apply(ctx, envstore.Proposal{
		Environment: s.Environment, Base: base, Author: "measure", Reason: "measure", From: "file", Sections: sections,
	})
}

func changeProcesses(ctx context.Context, s *site.Site, st *envstore.Store) ([]time.Duration, error) {
	var all []time.Duration
	for i := range processChanges {
		began := time.Now()
		times, err := changeOnce(ctx, s, st, i)
		if err != nil {
			return nil, err
		}
		all = append(all, times...)
		sleep.For(ctx, changeGap-time.Since(began))
	}
	return all, nil
}

// changeOnce changes the i-th block from the end, and returns how long it took
// to be in force at each entry process.
func changeOnce(ctx context.Context, s *site.Site, st *envstore.Store, i int) ([]time.Duration, error) {
	c := &s.Document.Clients[len(s.Document.Clients)-1-i]
	c.Regions = append(c.Regions[1:len(c.Regions):len(c.Regions)], c.Regions[0])
	head, err := put(ctx, s, st)
	if err != nil {
		return nil, err
	}
	var times []time.Duration
	for _, h := range s.Hosts {
		err := site.Await(ctx, h.Name, func() bool {
			st := dump(ctx, h)
			if st.Head.Sequence < head.Sequence {
				return false
			}
			times = append(times, st.Since.Sub(head.Accepted))
			return true
		})
		if err != nil {
			return nil, err
		}
	}
	return times, nil
}

func dump(ctx context.Context, h site.HostPlan) entry.State {
	_, body := site.Get(ctx, "http://"+h.EntryOperator.String()+"/dump")
	var st entry.State
	if json.Unmarshal(body, &st) != nil {
		return entry.State{}
	}
	return st
}

// cpu samples every daemon.
func cpu(s *site.Site) map[string]site.Usage {
	out := map[string]site.Usage{}
	for _, h := range s.Hosts {
		for _, role := range []string{"steer", "entry"} {
			if u, err := s.Process(h.Name + "-" + role).Usage(); err == nil {
				out[h.Name+"-"+role] = u
			}
		}
	}
	return out
}

func report(phase string, before, after map[string]site.Usage, took time.Duration) {
	for _, role := range []string{"steer", "entry"} {
		var total, most time.Duration
		var resident int64
		n := 0
		for name, u := range after {
			if strings.HasSuffix(name, role) {
				used := u.CPU - before[name].CPU
				total += used
				most = max(most, used)
				resident = max(resident, u.Resident)
				n++
			}
		}
		fmt.Printf("%s, %s: %.2f%% of a core on average, %.2f%% at most, %d MB resident at most\n", phase, role,
			100*total.Seconds()/took.Seconds()/float64(n), 100*most.Seconds()/took.Seconds(), resident>>20)
	}
}
