package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"syscall"
	"time"

	"cassiatray/internal/daemon/steer"
	"cassiatray/internal/envstore"
	"cassiatray/internal/site"
	"cassiatray/internal/sleep"
)

// frozenTime is longer than a lead's lease lasts.
const frozenTime = 20 * time.Second

func frozen(ctx context.Context) error {
	s, st, err := bring(ctx)
	if err != nil {
		return err
	}
	defer s.Close()
	sleep.For(ctx, idleTime)
	lead := leadOf(ctx, s.Hosts[0])
	p := s.Process(lead + "-steer")
	if p == nil {
		return &site.WaitError{What: "a lead"}
	}
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	began := time.Now()
	if err := phase(ctx, s, st, lead+" stopped this instant", 0); err != nil {
		return err
	}
	if err := phase(ctx, s, st, "while it is stopped", 1); err != nil {
		return err
	}
	sleep.For(ctx, frozenTime-time.Since(began))
	if err := p.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	return phase(ctx, s, st, "the instant it goes on", 2)
}

func phase(ctx context.Context, s *site.Site, st *envstore.Store, name string, i int) error {
	times, err := changeOnce(ctx, s, st, i)
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stdout, "%s: accepted to in force at %d entry processes: p50 %.1f ms, max %.1f ms; lead %s\n",
		name, len(times), quantile(times, 0.5), quantile(times, 1), leadOf(ctx, s.Hosts[1]))
	return nil
}

// leadOf returns who leads a host's domain, as the host sees it.
func leadOf(ctx context.Context, h site.HostPlan) string {
	_, body := site.Get(ctx, "http://"+h.SteerOperator.String()+"/dump")
	var state steer.State
	if json.Unmarshal(body, &state) != nil {
		return ""
	}
	return state.Lead
}
