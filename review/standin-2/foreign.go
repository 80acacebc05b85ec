package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// entriesAtRestart and entriesAtChange are how many entries of valueBytes each another writer
	// leaves before all gateways are killed, and before a change of the configuration.
	entriesAtRestart = 18
	entriesAtChange  = 13
	// recoveryTime is how long after the machines are back requests are to be served again, and
	// recoveryShare the least share of them.
	recoveryTime  = 15 * time.Second
	recoveryShare = 0.25
	configApply   = 2500 * time.Millisecond
	// cutPatience is how long a watch waits before it is cut, and configChanges how often the
	// configuration changes meanwhile.
	cutPatience   = 100 * time.Millisecond
	configChanges = 12
)

// leaveForeignEntries writes entries that no server wrote, and that cannot be read, in one
// transaction. Their writer goes on writing the same, as often as servers do.
func (sc *scene) leaveForeignEntries(n int) {
	var keys []string
	for i := range n {
		keys = append(keys, fmt.Sprintf("servers/x-%02d", i))
	}
	value := bytes.Repeat([]byte{0xff}, valueBytes)
	sc.store.putAll(keys, value)
	go func() {
		for range time.Tick(beatInterval) {
			sc.store.putAll(keys, value)
		}
	}()
	sc.rec.logf("another writer: %d entries of %d unreadable bytes under servers/", n, valueBytes)
}

// serve sends ordinary requests, ten a second for some seconds, and returns how many of how many
// were served.
func (sc *scene) serve(seconds int) (served, sent int) {
	var mu sync.Mutex
	var done sync.WaitGroup
	for range 10 * seconds {
		sent++
		g, object := sc.gateways[rand.IntN(len(sc.gateways))], rand.IntN(20)
		done.Go(func() {
			o := attempt(sc.rec, g, request{method: http.MethodGet, path: fmt.Sprintf("/orders/%d", object), object: fmt.Sprint(object), deadline: 3 * time.Second})
			mu.Lock()
			defer mu.Unlock()
			if isServers(o) {
				served++
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	done.Wait()
	return served, sent
}

func init() {
	// Entries that cannot be read lie in the store when all gateways are killed and start again.
	cases["foreign-restart"] = func(sc *scene) (int, error) {
		if err := sc.addServers("depot-orders", 3); err != nil {
			return couldNot, err
		}
		sc.configure(7, oneService, []route{{name: "orders", prefix: "/orders/", kind: "idempotent", timeout: 3000, maxAttempts: 2, parts: map[string]int{"depot-orders": 1}}})
		if err := sc.begin(); err != nil {
			return couldNot, err
		}
		sc.fleet.traffic()
		if sc.trouble {
			sc.leaveForeignEntries(entriesAtRestart)
		}
		before, sentBefore := sc.serve(8)
		sc.rec.logf("before the end of all processes %d of %d requests are served", before, sentBefore)
		for _, g := range sc.gateways {
			g.signal(syscall.SIGKILL)
		}
		for _, g := range sc.gateways {
			g.kill()
			if err := g.start(); err != nil {
				return couldNot, err
			}
		}
		time.Sleep(recoveryTime)
		after, sentAfter := sc.serve(10)
		sc.rec.logf("later than %s after all processes are back %d of %d requests are served; a quarter is asked", recoveryTime, after, sentAfter)
		if float64(before) < recoveryShare*float64(sentBefore) {
			return couldNot, fmt.Errorf("only %d of %d requests were served before", before, sentBefore)
		}
		if float64(after) < recoveryShare*float64(sentAfter) {
			return broken, nil
		}
		return held, nil
	}
	// The configuration changes after another writer has left entries that cannot be read.
	cases["foreign-config"] = func(sc *scene) (int, error) {
		services := []string{"depot-orders", "depot-orders-next"}
		for _, s := range services {
			if err := sc.addServers(s, 3); err != nil {
				return couldNot, err
			}
		}
		to := func(version int, service string) {
			sc.configure(version, services, []route{{name: "orders", prefix: "/orders/", kind: "idempotent", timeout: 3000, maxAttempts: 2, parts: map[string]int{service: 1}}})
		}
		to(7, services[0])
		if err := sc.begin(); err != nil {
			return couldNot, err
		}
		sc.fleet.traffic()
		if sc.trouble {
			sc.leaveForeignEntries(entriesAtChange)
		}
		sc.serve(2)
		to(8, services[1])
		acknowledged := time.Now()
		sc.rec.logf("configuration 8 acknowledged: the route has moved to %s", services[1])
		time.Sleep(configApply + 500*time.Millisecond)
		sc.serve(10)
		old := 0
		for _, r := range sc.fleet.allRuns() {
			if r.service == services[0] && r.at.After(acknowledged.Add(configApply+500*time.Millisecond)) {
				old++
			}
		}
		sc.rec.logf("%d requests that were sent later than %s after the acknowledgement are run by the old service", old, configApply)
		if old > 0 {
			return broken, nil
		}
		return held, nil
	}
	// The store cuts watches that have waited for a moment, while the configuration changes.
	cases["watches-cut"] = func(sc *scene) (int, error) {
		services := []string{"depot-orders", "depot-orders-next"}
		for _, s := range services {
			if err := sc.addServers(s, 3); err != nil {
				return couldNot, err
			}
		}
		to := func(version int, service string) {
			sc.configure(version, services, []route{{name: "orders", prefix: "/orders/", kind: "idempotent", timeout: 3000, maxAttempts: 2, parts: map[string]int{service: 1}}})
		}
		to(7, services[0])
		if err := sc.begin(); err != nil {
			return couldNot, err
		}
		sc.fleet.traffic()
		if sc.trouble {
			sc.store.cutPatient(cutPatience)
		}
		sc.serve(6)
		old := 0
		for i := range configChanges {
			to(8+i, services[(i+1)%2])
			acknowledged := time.Now()
			sc.rec.logf("configuration %d acknowledged: the route has moved to %s", 8+i, services[(i+1)%2])
			time.Sleep(configApply + 100*time.Millisecond)
			from := time.Now()
			sc.serve(3)
			for _, r := range sc.fleet.allRuns() {
				if r.service == services[i%2] && r.at.After(from) {
					old++
					sc.rec.logf("id %s, run by the old service %.3f s after the acknowledgement", r.id, r.at.Sub(acknowledged).Seconds())
				}
			}
		}
		sc.rec.logf("%d requests that were sent later than %s after the acknowledgement are run by the old service", old, configApply)
		if old > 0 {
			return broken, nil
		}
		return held, nil
	}
}
