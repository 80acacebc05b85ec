package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The rule on requests that crash the servers that run them: later than stableWindow after such
// a request has crashed the third server, machines in touch may let it reach servers in
// maxRetries more attempts.
const (
	crashesBefore = 3
	maxRetries    = 3
	poisonPath    = "/orders/report"
)

// traffic sends ordinary requests at a rate to random gateways until the returned function is
// called. Each is about one of some objects.
func (sc *scene) traffic(perS float64, objects int) (end func()) {
	sc.fleet.traffic()
	stop := make(chan struct{})
	var done sync.WaitGroup
	done.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(float64(time.Second) / perS)):
			}
			g, object := sc.gateways[rand.IntN(len(sc.gateways))], rand.IntN(objects)
			done.Go(func() {
				o := attempt(sc.rec, g, request{method: http.MethodGet, path: fmt.Sprintf("/orders/%d", object), object: fmt.Sprint(object), deadline: 3 * time.Second})
				if o.status == http.StatusOK && !isServers(o) {
					sc.rec.logf("client: id %s: not the server's whole answer", o.id)
				}
			})
		}
	})
	return func() { close(stop); done.Wait() }
}

// sendPoison sends the request that crashes servers, as a client that comes again with the same
// path and caller, to random gateways: copies of it at a time, each to another gateway. Object is
// what it is about; empty for a request that names none. Leaves is when the client gives up; zero
// for at its deadline.
func (sc *scene) sendPoison(object string, copies, times int, every, leaves time.Duration) {
	for range times {
		var done sync.WaitGroup
		for _, i := range rand.Perm(len(sc.gateways))[:copies] {
			done.Go(func() {
				attempt(sc.rec, sc.gateways[i], request{method: http.MethodGet, path: poisonPath, object: object, deadline: 3 * time.Second, leaves: leaves})
			})
		}
		done.Wait()
		time.Sleep(every)
	}
}

// judgePoison holds the runs of the request against the rule. Gateways were in touch since a
// time: runs before then count as crashes, but not as retries.
func (sc *scene) judgePoison(inTouch time.Time) int {
	runs := sc.fleet.runsOf(poisonPath)
	sc.rec.logf("%d servers began to run the request", len(runs))
	ended := sc.fleet.crashesOf(poisonPath)
	if len(ended) < crashesBefore {
		sc.rec.logf("held: it crashed %d servers", len(ended))
		return held
	}
	third := ended[crashesBefore-1]
	retries := 0
	for _, r := range runs {
		if r.at.After(third.Add(stableWindow)) && r.at.After(inTouch) {
			retries++
		}
	}
	sc.rec.logf("third crash at %s; %d more runs later than %s after it, sent by machines in touch; %d are allowed", sc.rec.at(third), retries, stableWindow, maxRetries)
	if retries > maxRetries {
		return broken
	}
	return held
}

// poisonScene starts servers of services, a route that is split between them, and gateways.
func (sc *scene) poisonScene(services []string, perZone, maxAttempts int, react reaction) error {
	parts := map[string]int{}
	for _, s := range services {
		if err := sc.addServers(s, perZone); err != nil {
			return err
		}
		parts[s] = 100 / len(services)
	}
	sc.fleet.react = func(_, path string) reaction {
		if path == poisonPath {
			return react
		}
		return answers
	}
	sc.configure(7, services, []route{{name: "orders", prefix: "/orders/", kind: "idempotent", timeout: 3000, maxAttempts: maxAttempts, parts: parts}})
	return sc.begin()
}

// orAnswers returns a reaction, or without the disruption that of a sound server.
func (sc *scene) orAnswers(r reaction) reaction {
	if sc.trouble {
		return r
	}
	return answers
}

var oneService = []string{"depot-orders"}

// warmUp is how long ordinary traffic runs before the request comes: retries are allowed by then.
const warmUp = 12 * time.Second

// playPoison plays a deployment with ordinary traffic in which the request comes every two
// seconds.
func (sc *scene) playPoison(services []string, perZone, maxAttempts int, object string, react reaction, leaves time.Duration) (int, error) {
	if err := sc.poisonScene(services, perZone, maxAttempts, react); err != nil {
		return couldNot, err
	}
	end := sc.traffic(10, 20)
	time.Sleep(warmUp)
	sc.sendPoison(object, 1, 15, 2*time.Second, leaves)
	end()
	return sc.judgePoison(time.Time{}), nil
}

func init() {
	// The servers crash in the middle of their answers.
	cases["crash-in-answer"] = func(sc *scene) (int, error) {
		return sc.playPoison(oneService, 6, 2, "7", sc.orAnswers(crashesMidway), 0)
	}
	// A control: the servers crash before they answer.
	cases["crash-before-answer"] = func(sc *scene) (int, error) {
		return sc.playPoison(oneService, 6, 2, "7", sc.orAnswers(crashes), 0)
	}
	// Another control: the servers fall silent.
	cases["crash-silent"] = func(sc *scene) (int, error) {
		return sc.playPoison(oneService, 6, 2, "7", sc.orAnswers(hangs), 0)
	}
	// The callers of the request leave before it crashes its server.
	cases["crash-caller-left"] = func(sc *scene) (int, error) {
		return sc.playPoison(oneService, 6, 2, "7", sc.orAnswers(crashes), serverWork/2)
	}
	// The route is split between three services.
	cases["crash-split"] = func(sc *scene) (int, error) {
		return sc.playPoison([]string{"orders-a", "orders-b", "orders-c"}, 4, 2, "", sc.orAnswers(crashes), 0)
	}
	// The service has two servers, one in each zone.
	cases["crash-two"] = func(sc *scene) (int, error) {
		return sc.playPoison(oneService, 1, 2, "7", sc.orAnswers(crashes), 0)
	}
	// All gateways are killed and start again in between.
	cases["crash-restart"] = func(sc *scene) (int, error) {
		if err := sc.poisonScene(oneService, 6, 3, crashes); err != nil {
			return couldNot, err
		}
		end := sc.traffic(10, 20)
		time.Sleep(warmUp)
		sc.sendPoison("7", 2, 4, 2*time.Second, 0)
		time.Sleep(stableWindow)
		if sc.trouble {
			for _, g := range sc.gateways {
				g.signal(syscall.SIGKILL)
			}
			for _, g := range sc.gateways {
				g.kill()
				if err := g.start(); err != nil {
					return couldNot, err
				}
			}
		}
		if err := sc.awaitTouch(); err != nil {
			return couldNot, err
		}
		inTouch := time.Now()
		time.Sleep(warmUp)
		sc.sendPoison("7", 2, 6, 2*time.Second, 0)
		end()
		return sc.judgePoison(inTouch), nil
	}
}
