package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// otherHost is a virtual host whose route is added later.
	otherHost = "other.example"
	// settled is how long after the last crash nothing is disturbed any more: the servers are back
	// after serverDown, cold for coldStart, and all machines are in touch.
	settled = serverDown + coldStart + stableWindow
	// laterShare is the least share at which requests of a route that was added later are served,
	// beside those of the first route.
	laterShare = 0.25
)

// ask sends requests to a path of a host for some seconds, ten a second, and returns how many of
// how many were served.
func (sc *scene) ask(host, path string, seconds int) (served, sent int) {
	var mu sync.Mutex
	var done sync.WaitGroup
	for range 10 * seconds {
		sent++
		g := sc.gateways[rand.IntN(len(sc.gateways))]
		done.Go(func() {
			o := attempt(sc.rec, g, request{method: http.MethodGet, path: path, host: host, deadline: 3 * time.Second})
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
	// A page of the first host crashes servers, and later a host is added that has a page of the
	// same name.
	cases["other-host"] = func(sc *scene) (int, error) {
		if err := sc.addServers("depot-orders", 6); err != nil {
			return couldNot, err
		}
		sc.fleet.react = func(host, path string) reaction {
			if host == hostName && path == poisonPath {
				return sc.orAnswers(crashes)
			}
			return answers
		}
		first := route{name: "orders", prefix: "/orders/", kind: "idempotent", timeout: 3000, maxAttempts: 2, parts: map[string]int{"depot-orders": 1}}
		later := first
		later.name, later.host = "other-orders", otherHost
		sc.configure(7, oneService, []route{first})
		if err := sc.begin(); err != nil {
			return couldNot, err
		}
		end := sc.traffic(10, 20)
		time.Sleep(warmUp)
		sc.sendPoison("", 1, 4, 2*time.Second, 0)
		end()
		sc.configure(8, oneService, []route{first, later})
		sc.rec.logf("configuration 8 acknowledged: %s is added", otherHost)
		time.Sleep(settled)
		var done sync.WaitGroup
		var old, oldSent, fresh, freshSent int
		done.Go(func() { old, oldSent = sc.ask(hostName, "/orders/today", 20) })
		done.Go(func() { fresh, freshSent = sc.ask(otherHost, poisonPath, 20) })
		done.Wait()
		sc.rec.logf("%d of %d requests are served on the first route, %d of %d on the one that was added later", old, oldSent, fresh, freshSent)
		if old == 0 {
			return couldNot, fmt.Errorf("nothing is served on the first route")
		}
		if float64(fresh)/float64(freshSent) < laterShare*float64(old)/float64(oldSent) {
			return broken, nil
		}
		return held, nil
	}
}
