package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["split"] = playSplit
	cases["restart"] = func(ctx context.Context, rec *record) (int, error) { return playRestart(ctx, rec, (*world).killAll) }
	cases["roll"] = func(ctx context.Context, rec *record) (int, error) { return playRestart(ctx, rec, (*world).rollAll) }
}

// A request that has crashed crashesKnown servers may reach servers in mostRetries more client attempts,
// counted from stableWindow after that (RULES.md, BUDGET).
const (
	crashesKnown = 3
	mostRetries  = 3
)

const poisonPath = "/scale/once-too-many"

// judgePoison holds the runs of the poisonous request against the rule. calm tells whether the gateway
// of a client attempt was in touch when it was sent.
func judgePoison(rec *record, runs []run, calm func(id string) bool) int {
	if len(runs) < crashesKnown {
		rec.printf("%d runs of the request", len(runs))
		return exitHeld
	}
	third := runs[crashesKnown-1].at
	late := map[string]bool{}
	for i, r := range runs {
		counts := r.at.Sub(third) > stableWindow && calm(r.request)
		rec.printf("run %d of the request: attempt %s at server %s of %s, %.3f s after the third crash, counts: %t", i+1, r.request, r.server, r.service, r.at.Sub(third).Seconds(), counts)
		if counts {
			late[r.request] = true
		}
	}
	rec.printf("client attempts that reached servers later than %s after the third crash, by gateways in touch: %d, at most %d may", stableWindow, len(late), mostRetries)
	if len(late) > mostRetries {
		return exitBroken
	}
	return exitHeld
}

// playSplit sends a request that crashes each server that begins to run it, again and again, on a route
// that is split between three services.
func playSplit(ctx context.Context, rec *record) (int, error) {
	w, err := newWorld(ctx, rec, 1)
	if err != nil {
		return exitNotRun, err
	}
	defer w.close()
	if w.trouble {
		w.fleet.poison = poisonPath
	}
	services := []string{"ledger-a", "ledger-b", "ledger-c"}
	for _, s := range services {
		if err := w.addServers(s, 8, 60*time.Millisecond); err != nil {
			return exitNotRun, err
		}
	}
	routes := []route{{
		Name: "scale", PathPrefix: "/scale/", Kind: "idempotent", TimeoutMs: 1200, TargetLatencyMs: 500, Priority: 2, MaxAttempts: 2, HomeRegions: []string{},
		TrafficSplit: []part{{services[0], 34}, {services[1], 33}, {services[2], 33}},
	}}
	if err := w.putConfig(7, services, routes); err != nil {
		return exitNotRun, err
	}
	if err := w.startGateways(); err != nil {
		return exitNotRun, err
	}
	w.sleep(stableWindow + time.Second)
	quiet, endTraffic := context.WithCancel(ctx)
	defer endTraffic()
	counts := w.traffic(quiet, http.MethodGet, "/scale/", 40)
	w.sleep(3 * time.Second)
	// The request comes again every few seconds, at any machine.
	for range 12 {
		g := w.gateways[rand.IntN(len(w.gateways))]
		a := w.send(g, http.MethodGet, poisonPath, 3*time.Second)
		rec.printf("attempt %s of the request at %s: status %d, %v", a.id, g.name, a.status, a.err)
		if !w.sleep(5 * time.Second) {
			break
		}
	}
	endTraffic()
	sent, served := counts()
	rec.printf("ordinary requests: %d sent, %d served", sent, served)
	if !w.trouble {
		rec.printf("without the disruption the request crashes nothing; runs: %d", len(w.fleet.runsOf(poisonPath)))
		if served < sent*9/10 {
			rec.printf("too few ordinary requests served")
			return exitNotRun, nil
		}
		return exitHeld, nil
	}
	return judgePoison(rec, w.fleet.runsOf(poisonPath), func(string) bool { return true }), nil
}

// playRestart sends such a request on a route to one service, and kills all gateways once it is held
// back.
func playRestart(ctx context.Context, rec *record, disturb func(*world) error) (int, error) {
	w, err := newWorld(ctx, rec, 1)
	if err != nil {
		return exitNotRun, err
	}
	defer w.close()
	w.fleet.poison = poisonPath
	services := []string{"ledger-a"}
	if err := w.addServers(services[0], 12, 60*time.Millisecond); err != nil {
		return exitNotRun, err
	}
	routes := []route{{
		Name: "scale", PathPrefix: "/scale/", Kind: "non_idempotent", TimeoutMs: 1200, TargetLatencyMs: 500, Priority: 2, MaxAttempts: 2, HomeRegions: []string{},
		Service: services[0],
	}}
	if err := w.putConfig(7, services, routes); err != nil {
		return exitNotRun, err
	}
	if err := w.startGateways(); err != nil {
		return exitNotRun, err
	}
	w.sleep(stableWindow + time.Second)
	quiet, endTraffic := context.WithCancel(ctx)
	defer endTraffic()
	counts := w.traffic(quiet, http.MethodPost, "/scale/", 40)
	w.sleep(time.Second)
	calm := map[string]bool{}
	ask := func() {
		g := w.gateways[rand.IntN(len(w.gateways))]
		inTouch := time.Since(g.started) > stableWindow
		a := w.send(g, http.MethodPost, poisonPath, 3*time.Second)
		calm[a.id] = inTouch
		rec.printf("attempt %s of the request at %s: status %d, %v", a.id, g.name, a.status, a.err)
	}
	for range 5 {
		ask()
		w.sleep(2 * time.Second)
	}
	w.sleep(3 * time.Second)
	if w.trouble {
		if err := disturb(w); err != nil {
			return exitNotRun, err
		}
	}
	w.sleep(stableWindow + time.Second)
	for end := time.Now().Add(82 * time.Second); time.Now().Before(end) && w.sleep(3*time.Second); {
		ask()
	}
	endTraffic()
	sent, served := counts()
	rec.printf("ordinary requests: %d sent, %d served", sent, served)
	return judgePoison(rec, w.fleet.runsOf(poisonPath), func(id string) bool { return calm[id] }), nil
}

// killAll kills all gateways at once, and starts them again.
func (w *world) killAll() error {
	w.rec.printf("all gateways are killed, and start again")
	for _, g := range w.gateways {
		g.kill()
	}
	w.sleep(time.Second)
	return w.startGateways()
}

// rollAll stops the gateways in turn, and starts each again.
func (w *world) rollAll() error {
	var wg sync.WaitGroup
	for _, g := range w.gateways {
		w.rec.printf("%s is stopped", g.name)
		wg.Go(func() {
			g.signal(syscall.SIGTERM)
			<-g.ended
			w.sleep(500 * time.Millisecond)
			if err := g.start(); err != nil {
				w.rec.printf("%s does not start: %v", g.name, err)
			}
		})
		w.sleep(2 * time.Second)
	}
	wg.Wait()
	return nil
}
