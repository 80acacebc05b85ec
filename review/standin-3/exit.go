package main

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["exit"] = playExit }

// playExit stops a gateway that has many requests at slow servers, and records how its process ends. It
// judges no rule.
func playExit(ctx context.Context, rec *record) (int, error) {
	w, err := newWorld(ctx, rec, 1)
	if err != nil {
		return exitNotRun, err
	}
	defer w.close()
	if err := w.addServersLike(backend{service: "command", slots: 60, queue: 60, work: 10 * time.Second}, 8); err != nil {
		return exitNotRun, err
	}
	routes := []route{{
		Name: "setcmd", PathPrefix: "/setcmd/", Kind: "non_idempotent", TimeoutMs: 12000, TargetLatencyMs: 8000, Priority: 1, MaxAttempts: 2,
		HomeRegions: []string{}, Service: "command",
	}}
	if err := w.putConfig(7, []string{"command"}, routes); err != nil {
		return exitNotRun, err
	}
	if err := w.startGateways(); err != nil {
		return exitNotRun, err
	}
	w.sleep(2 * time.Second)
	g := w.gateways[0]
	var wg sync.WaitGroup
	for range 300 {
		wg.Go(func() { w.send(g, http.MethodPost, "/setcmd/1", 12*time.Second) })
	}
	w.sleep(500 * time.Millisecond)
	g.signal(syscall.SIGTERM)
	<-g.ended
	rec.printf("%s ended: %v", g.name, g.cmd.ProcessState)
	wg.Wait()
	return exitHeld, nil
}
