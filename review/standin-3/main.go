// Command standin-3 plays the cases of the third review: it starts gateways by the deploy file beside
// stand-ins for the platform's store, backend servers and clients, all on loopback addresses.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Bounds of the pages, as in the small deployments.
const (
	stableWindow = 4 * time.Second
	mostLength   = 115 * time.Second
)

const (
	host       = "review.example"
	healthPath = "/health"
)

// record is what a case writes down.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, line)
}

// world is a small deployment.
type world struct {
	rec      *record
	dir      string
	store    *store
	fleet    *fleet
	gateways []*gateway
	zones    map[string]string
	ctx      context.Context
	// trouble is false for a play without the disruption.
	trouble bool
}

// zoneOrder are the zones, two to a region.
var zoneOrder = []struct{ zone, region string }{{"sask-rgn", "sask"}, {"sask-stn", "sask"}, {"alta-cgy", "alta"}, {"alta-edm", "alta"}}

// newWorld starts a store, and gateways with perZone of them to a zone.
func newWorld(ctx context.Context, rec *record, perZone int) (*world, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	w := &world{rec: rec, dir: dir, zones: map[string]string{}, ctx: ctx, trouble: os.Getenv("TROUBLE") != "0"}
	network := freeNetwork()
	w.store = newStore()
	w.fleet = &fleet{store: w.store, rec: rec}
	command, template, err := deployRun()
	if err != nil {
		return nil, err
	}
	var ips, seeds []string
	for i, z := range zoneOrder {
		w.zones[z.zone] = z.region
		for k := range perZone {
			g := &gateway{name: fmt.Sprintf("edge-%s-%d", z.zone, k+1), zone: z.zone, region: z.region, ip: fmt.Sprintf("127.%d.%d.%d", network, i+1, 10+k), command: command}
			w.gateways = append(w.gateways, g)
			ips = append(ips, g.ip)
		}
	}
	p, err := freePorts(ips)
	if err != nil {
		return nil, err
	}
	for i, g := range w.gateways {
		g.ports = p
		if i%perZone == 0 && len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", g.ip, p.control))
		}
	}
	for i, g := range w.gateways {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.9.%d:0", network, i+1))
		if err != nil {
			return nil, err
		}
		w.store.serve(l, g.name)
		if err := g.writeSettings(template, dir, l.Addr().String(), w.zones, seeds); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// freeNetwork returns the second part of loopback addresses that no other play uses: the operator's port
// is the same on all machines.
func freeNetwork() int {
	for i := range 200 {
		network := 32 + (os.Getpid()+i)%200
		if free([]string{fmt.Sprintf("127.%d.1.10", network)}, []int{operatorPort}) {
			return network
		}
	}
	return 32
}

// addServers adds backend servers of a service, evenly over the zones.
func (w *world) addServers(service string, n int, work time.Duration) error {
	return w.addServersLike(backend{service: service, slots: 3, queue: 9, work: work}, n)
}

// addServersLike adds backend servers, evenly over the zones.
func (w *world) addServersLike(like backend, n int) error {
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		address := l.Addr().String()
		l.Close()
		b := like
		b.fleet, b.address, b.zone = w.fleet, address, zoneOrder[i%len(zoneOrder)].zone
		if err := b.start(false); err != nil {
			return err
		}
	}
	return nil
}

// startGateways starts all gateways and waits until they are ready.
func (w *world) startGateways() error {
	for _, g := range w.gateways {
		if err := g.start(); err != nil {
			return err
		}
	}
	for _, g := range w.gateways {
		for end := time.Now().Add(8 * time.Second); !g.isReady(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", g.name)
			}
		}
	}
	w.rec.printf("%d gateways are ready", len(w.gateways))
	return nil
}

// close ends all processes that were started, and removes the folder.
func (w *world) close() {
	for _, g := range w.gateways {
		g.kill()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept:", w.dir)
	}
}

// route is a route of the configuration, as PROTOCOL.md spells it.
type route struct {
	Name            string   `json:"name"`
	PathPrefix      string   `json:"pathPrefix"`
	Kind            string   `json:"kind"`
	TimeoutMs       int      `json:"timeoutMs"`
	TargetLatencyMs int      `json:"targetLatencyMs"`
	Priority        int      `json:"priority"`
	Service         string   `json:"service,omitempty"`
	TrafficSplit    []part   `json:"trafficSplit,omitempty"`
	MaxAttempts     int      `json:"maxAttempts"`
	Sticky          bool     `json:"sticky"`
	HomeRegions     []string `json:"homeRegions"`
}

type part struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// putConfig writes a configuration as the operator does.
func (w *world) putConfig(version uint64, services []string, routes []route) error {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "healthPath": healthPath, "maxConns": 780, "protocol": "h1", "tls": false, "coldStartS": coldFor.Seconds(), "coldPerS": coldRate})
	}
	value, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", version), "services": list,
		"limits":       map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"virtualHosts": []any{map[string]any{"host": host, "paths": routes}},
	})
	if err != nil {
		return err
	}
	revision := w.store.put("op/config", value, 0)
	w.rec.printf("the operator writes configuration %08x, revision %d", version, revision)
	return nil
}

// answer is how a client's request ended.
type answer struct {
	id, gateway string
	sent        time.Time
	status      int
	stamped     bool
	err         error
}

// send sends one request to a gateway on a new connection.
func (w *world) send(g *gateway, method, path string, deadline time.Duration) answer {
	id := fmt.Sprintf("%016x", rand.Uint64())
	a := answer{id: id, gateway: g.name, sent: time.Now()}
	ctx, cancel := context.WithTimeout(w.ctx, deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", g.ip, g.ports.front, path), nil)
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Header.Set("Cassiatray-Attempt-Id", id)
	req.Header.Set("Cassiatray-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := c.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status, a.stamped = resp.StatusCode, resp.Header.Get("Cassiatray-Response-Stamp") != ""
	_, a.err = io.Copy(io.Discard, resp.Body)
	return a
}

// traffic sends ordinary requests to running gateways until the context ends, and returns how many
// were sent and how many got a success.
func (w *world) traffic(ctx context.Context, method, prefix string, perSecond int) func() (sent, served int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	sent, served := 0, 0
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	wg.Go(func() {
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-tick.C:
			case <-ctx.Done():
				return
			}
			g := w.gateways[rand.IntN(len(w.gateways))]
			wg.Go(func() {
				a := w.send(g, method, fmt.Sprintf("%so%d", prefix, i%40), 3*time.Second)
				mu.Lock()
				defer mu.Unlock()
				sent++
				if a.status == http.StatusOK && a.stamped && a.err == nil {
					served++
				}
			})
		}
	})
	return func() (int, int) {
		wg.Wait()
		return sent, served
	}
}

// sleep waits, and reports whether the case goes on.
func (w *world) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-w.ctx.Done():
		return false
	}
}

var cases = map[string]func(ctx context.Context, rec *record) (int, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	rec := &record{file: file, began: time.Now()}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, mostLength)
	defer cancel()
	status, err := cases[os.Args[1]](ctx, rec)
	switch {
	case err != nil:
		rec.printf("the case could not run: %v", err)
		status = exitNotRun
	case ctx.Err() != nil && status != exitBroken:
		rec.printf("the case was cut: %v", ctx.Err())
		status = exitNotRun
	}
	rec.printf("exit %d (1: the rule was broken, 0: it held, 2: not run)", status)
	file.Close()
	text, err := os.ReadFile(os.Args[2])
	if err == nil {
		os.Stdout.Write(text)
	}
	os.Exit(status)
}
