package main

import (
	"net/http"
	"time"
)

func init() {
	// The configuration names a host with capital letters, and clients send it as it is written.
	cases["host-name"] = func(sc *scene) (int, error) {
		if sc.trouble {
			hostName = "Depot.Example"
		}
		if err := sc.addServers("depot-orders", 3); err != nil {
			return couldNot, err
		}
		sc.configure(7, oneService, []route{{name: "orders", prefix: "/orders/", kind: "idempotent", timeout: 3000, maxAttempts: 2, parts: map[string]int{"depot-orders": 1}}})
		if err := sc.begin(); err != nil {
			return couldNot, err
		}
		const total = 100
		denied := 0
		for i := range total {
			o := attempt(sc.rec, sc.gateways[i%len(sc.gateways)], request{method: http.MethodGet, path: "/orders/1", object: "1", deadline: 3 * time.Second})
			if o.status >= 300 && o.status < 500 && o.status != 408 && o.status != 421 && o.status != 429 {
				denied++
			}
		}
		sc.rec.logf("%d of %d proper requests were ended with a 3xx or 4xx; %d are allowed", denied, total, 5+total/500)
		if denied > 5+total/500 {
			return broken, nil
		}
		return held, nil
	}
}
