package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["gone"] = func(ctx context.Context, rec *record) (int, error) { return playGone(ctx, rec, turnHubsAway) }
	cases["left"] = func(ctx context.Context, rec *record) (int, error) { return playGone(ctx, rec, takeStoreAway) }
}

// A directory may name a machine that has ended for stableWindow + goneSlack, in mostStale answers at
// most later (RULES.md, DRAIN).
const (
	goneSlack = 3 * time.Second
	mostStale = 3
)

// clientsPerGateway ask the directory at a gateway once in the time for which an answer holds.
const clientsPerGateway = 10

// lookUp is one answer of a directory.
type lookUp struct {
	at    time.Time
	by    string
	names []string
}

// play is one loss of a gateway for good.
type play struct {
	*world
	// lost is the gateway that is lost, at lostAt.
	lost   *gateway
	lostAt time.Time
	// inTouch tells which gateways are bound by the rule, and since when.
	inTouch func(g *gateway) (since time.Time, bound bool)
}

// playGone loses a gateway for good and looks at what the directories of the others name.
func playGone(ctx context.Context, rec *record, disturb func(p *play) error) (int, error) {
	w, err := newWorld(ctx, rec, 2)
	if err != nil {
		return exitNotRun, err
	}
	defer w.close()
	if err := w.addServers("ledger-a", 8, 60*time.Millisecond); err != nil {
		return exitNotRun, err
	}
	routes := []route{{Name: "scale", PathPrefix: "/scale/", Kind: "idempotent", TimeoutMs: 1200, TargetLatencyMs: 500, Priority: 2, MaxAttempts: 2, HomeRegions: []string{}, Service: "ledger-a"}}
	if err := w.putConfig(7, []string{"ledger-a"}, routes); err != nil {
		return exitNotRun, err
	}
	if err := w.startGateways(); err != nil {
		return exitNotRun, err
	}
	w.sleep(stableWindow + 2*time.Second)
	asking, endAsking := context.WithCancel(ctx)
	defer endAsking()
	var mu sync.Mutex
	var lookUps []lookUp
	var wg sync.WaitGroup
	for _, g := range w.gateways {
		for i := range clientsPerGateway {
			wg.Go(func() {
				for time.Sleep(time.Duration(i) * time.Second / clientsPerGateway); asking.Err() == nil; time.Sleep(time.Second) {
					names, err := g.resolve(g.region, g.zone)
					if err == nil {
						mu.Lock()
						lookUps = append(lookUps, lookUp{time.Now(), g.name, names})
						mu.Unlock()
					}
				}
			})
		}
	}
	p := &play{world: w}
	p.inTouch = func(g *gateway) (time.Time, bool) { return g.started.Add(stableWindow), g != p.lost }
	if err := disturb(p); err != nil {
		return exitNotRun, err
	}
	endAsking()
	wg.Wait()
	return p.judge(lookUps), nil
}

func (p *play) judge(lookUps []lookUp) int {
	front := fmt.Sprintf("%s:%d", p.lost.ip, p.lost.ports.front)
	bound := p.lostAt.Add(stableWindow + goneSlack)
	late := 0
	last := map[string]time.Duration{}
	for _, l := range lookUps {
		g := p.gateways[slices.IndexFunc(p.gateways, func(g *gateway) bool { return g.name == l.by })]
		since, isBound := p.inTouch(g)
		if !isBound || !slices.Contains(l.names, front) || len(l.names) < 2 {
			continue
		}
		last[l.by] = max(last[l.by], l.at.Sub(p.lostAt))
		if l.at.After(bound) && l.at.After(since) {
			late++
		}
	}
	for _, g := range p.gateways {
		if _, isBound := p.inTouch(g); isBound {
			p.rec.printf("%s last named %s %.3f s after that had ended", g.name, p.lost.name, last[g.name].Seconds())
		}
	}
	p.rec.printf("answers by gateways in touch that named it later than %s after its end: %d of %d answers, at most %d may", stableWindow+goneSlack, late, len(lookUps), mostStale)
	if late > mostStale {
		return exitBroken
	}
	return exitHeld
}

// hubs returns the gateway of each region that watches the store for the others.
func (p *play) hubs() []*gateway {
	before := map[string]int{}
	for _, g := range p.gateways {
		before[g.name] = p.store.watchesOf(g.name)
	}
	p.sleep(2 * time.Second)
	var out []*gateway
	for _, g := range p.gateways {
		if p.store.watchesOf(g.name) > before[g.name] {
			out = append(out, g)
		}
	}
	return out
}

// turnHubsAway has the store turn the hubs away while it serves all others, and loses a gateway.
func turnHubsAway(p *play) error {
	const awayFor = 9 * time.Second
	hubs := p.hubs()
	var names []string
	for _, g := range hubs {
		names = append(names, g.name)
	}
	if len(hubs) == 0 || len(hubs) > 2 {
		return fmt.Errorf("hubs: %v", names)
	}
	for _, g := range p.gateways {
		if !slices.Contains(hubs, g) {
			p.lost = g
			break
		}
	}
	p.inTouch = func(g *gateway) (time.Time, bool) {
		return g.started.Add(stableWindow), g != p.lost && !slices.Contains(hubs, g)
	}
	began := time.Now()
	if p.trouble {
		p.rec.printf("the store turns %v away", names)
		p.store.turnAway(true, names...)
	}
	p.sleep(2 * time.Second)
	p.lost.kill()
	p.lostAt = time.Now()
	p.rec.printf("%s is lost for good", p.lost.name)
	p.sleep(awayFor - time.Since(began))
	if p.trouble {
		p.rec.printf("the store serves all again")
		p.store.turnAway(false, names...)
	}
	p.sleep(8 * time.Second)
	return nil
}

// takeStoreAway takes the store away for some seconds, in which a gateway is taken out of the system.
func takeStoreAway(p *play) error {
	const downFor = 8 * time.Second
	p.lost = p.gateways[1]
	if p.trouble {
		p.rec.printf("the store is down")
		p.store.setDown(true)
	}
	began := time.Now()
	p.sleep(500 * time.Millisecond)
	p.rec.printf("%s is stopped, and leaves", p.lost.name)
	p.lost.signal(syscall.SIGTERM)
	<-p.lost.ended
	p.lostAt = time.Now()
	p.rec.printf("%s has ended", p.lost.name)
	p.sleep(downFor - time.Since(began))
	back := time.Now()
	if p.trouble {
		p.rec.printf("the store is back")
		p.store.setDown(false)
		p.inTouch = func(g *gateway) (time.Time, bool) { return back.Add(stableWindow), g != p.lost }
	}
	p.sleep(14 * time.Second)
	return nil
}
