// Command standin-2 plays the cases of the second review that are scripts. It starts gateways
// with the command of the deploy file, and plays the platform's store, the backend servers and
// the clients itself, all on loopback addresses.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2

	startWait = 15 * time.Second
)

// scene is a running deployment.
type scene struct {
	rec      *recorder
	store    *store
	fleet    *fleet
	gateways []*gateway
	// trouble is unset when the case is to run without its disruption.
	trouble bool
}

// hostName is the host of all routes.
var hostName = "depot.example"

var cases = map[string]func(*scene) (int, error){}

func main() {
	// The processes that are started get a signal when the thread ends that started them.
	runtime.LockOSThread()
	name := flag.String("case", "", "the case to play")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	keep := flag.String("logs", "", "folder for the logs of the gateways; a temporary one if empty")
	flag.Parse()
	play := cases[*name]
	rec, err := newRecorder(*out)
	if err != nil || play == nil {
		fmt.Fprintln(os.Stderr, "standin-2: no such case, or no record:", err)
		os.Exit(couldNot)
	}
	sc := &scene{rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	rec.logf("case %s, trouble %v", *name, sc.trouble)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		sc.end()
		os.Exit(couldNot)
	}()
	status, err := sc.run(*keep, play)
	if err != nil {
		rec.logf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "standin-2:", err)
	}
	rec.logf("result %d", status)
	rec.close()
	os.Exit(status)
}

func (sc *scene) run(logs string, play func(*scene) (int, error)) (int, error) {
	dir := logs
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "standin-2-"); err != nil {
			return couldNot, err
		}
		defer os.RemoveAll(dir)
	}
	sc.store = newStore(sc.rec)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return couldNot, err
	}
	defer l.Close()
	go http.Serve(l, sc.store.handler())
	sc.fleet = &fleet{rec: sc.rec, store: sc.store, react: func(_, _ string) reaction { return answers }}
	if sc.gateways, err = newGateways(sc.rec, dir, l.Addr().String(), places); err != nil {
		return couldNot, err
	}
	defer sc.end()
	return play(sc)
}

// end ends all processes.
func (sc *scene) end() {
	for _, g := range sc.gateways {
		g.kill()
	}
}

// places are where the gateways run: two in each of two zones, in two regions.
var places = []place{{"sask-rgn", "sask"}, {"sask-rgn", "sask"}, {"alta-cgy", "alta"}, {"alta-cgy", "alta"}}

// addServers adds servers of a service to each zone.
func (sc *scene) addServers(service string, perZone int) error {
	for _, zone := range []string{"sask-rgn", "alta-cgy"} {
		for range perZone {
			if _, err := sc.fleet.add(service, zone, "127.0.0.1"); err != nil {
				return err
			}
		}
	}
	return nil
}

// route is one route of the configuration.
type route struct {
	name, prefix, kind   string
	timeout, maxAttempts int
	parts                map[string]int
	// host is the route's virtual host; empty for hostName.
	host string
}

// configure writes a configuration.
func (sc *scene) configure(version int, services []string, routes []route) {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{
			"name": s, "healthPath": healthPath, "maxConns": 780, "protocol": "h1", "tls": false, "coldStartS": coldStart.Seconds(), "coldPerS": coldPerS,
		})
	}
	var hosts []string
	paths := map[string][]map[string]any{}
	for _, r := range routes {
		host := hostName
		if r.host != "" {
			host = r.host
		}
		if paths[host] == nil {
			hosts = append(hosts, host)
		}
		p := map[string]any{
			"name": r.name, "pathPrefix": r.prefix, "kind": r.kind, "timeoutMs": r.timeout, "targetLatencyMs": 300, "priority": 1,
			"maxAttempts": r.maxAttempts, "sticky": true, "homeRegions": []string{},
		}
		if len(r.parts) == 1 {
			for s := range r.parts {
				p["service"] = s
			}
		} else {
			var split []map[string]any
			for _, s := range services {
				if w := r.parts[s]; w > 0 {
					split = append(split, map[string]any{"service": s, "weight": w})
				}
			}
			p["trafficSplit"] = split
		}
		paths[host] = append(paths[host], p)
	}
	var virtual []map[string]any
	for _, h := range hosts {
		virtual = append(virtual, map[string]any{"host": h, "paths": paths[h]})
	}
	sc.store.put("op/config", map[string]any{
		"version": fmt.Sprintf("%08x", version), "services": list,
		"limits":       map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"virtualHosts": virtual,
	})
}

// begin starts all gateways and waits until they are ready and have been in touch for a while.
func (sc *scene) begin() error {
	for _, g := range sc.gateways {
		if err := g.start(); err != nil {
			return err
		}
	}
	return sc.awaitTouch()
}

// stableWindow is for how long a machine must run undisturbed to be in touch.
const stableWindow = 4 * time.Second

// awaitTouch waits until all gateways are ready, and then for stableWindow.
func (sc *scene) awaitTouch() error {
	end := time.Now().Add(startWait)
	for _, g := range sc.gateways {
		for !isReady(g) {
			if time.Now().After(end) {
				return fmt.Errorf("gateway %s is not ready after %s", g.name, startWait)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	sc.rec.logf("all gateways are ready")
	time.Sleep(stableWindow + 500*time.Millisecond)
	return nil
}
