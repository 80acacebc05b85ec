package main

import (
	"slices"
	"time"
)

// The rule on the directory: answers of machines in touch do not name one that was killed
// longer than staleAfter ago, but for maxStale of them.
const (
	staleAfter = stableWindow + 3*time.Second
	maxStale   = 3
)

func init() {
	// A gateway is killed for good, and the store cuts the watches that wait once.
	cases["directory"] = func(sc *scene) (int, error) {
		if err := sc.addServers("depot-orders", 3); err != nil {
			return couldNot, err
		}
		sc.configure(7, []string{"depot-orders"}, []route{{name: "orders", prefix: "/orders/", kind: "idempotent", timeout: 3000, maxAttempts: 2, parts: map[string]int{"depot-orders": 1}}})
		if err := sc.begin(); err != nil {
			return couldNot, err
		}
		end := sc.traffic(10, 20)
		time.Sleep(2 * time.Second)
		victim := sc.gateways[3]
		sc.gateways = sc.gateways[:3]
		victim.kill()
		killed := time.Now()
		stale, late := 0, time.Time{}
		cut := !sc.trouble
		for time.Since(killed) < 14*time.Second {
			if !cut && time.Since(killed) >= cutAfter {
				cut = true
				go func() {
					for time.Since(killed) < cutAfter+cutFor {
						sc.store.cutWatches()
						time.Sleep(10 * time.Millisecond)
					}
				}()
			}
			for _, g := range sc.gateways {
				found, err := resolve(g, victim.place)
				named := slices.Contains(found, victim.front)
				sc.rec.logf("directory of %s, %d ms after the kill: %v %v, names the killed machine: %v", g.name, time.Since(killed).Milliseconds(), found, err, named)
				if named && len(found) > 1 && time.Since(killed) > staleAfter {
					stale++
					late = time.Now()
				}
			}
			time.Sleep(250 * time.Millisecond)
		}
		end()
		sc.rec.logf("%d answers name the machine later than %s after it was killed, the last one %.1f s after; %d are allowed", stale, staleAfter, max(0, late.Sub(killed).Seconds()), maxStale)
		if stale > maxStale {
			return broken, nil
		}
		return held, nil
	}
}

// cutAfter is how long after the kill the store cuts the watches: before the lease of the
// killed gateway ends.
const cutAfter = 2400 * time.Millisecond

// cutFor is for how long watches that wait are cut.
const cutFor = 800 * time.Millisecond
