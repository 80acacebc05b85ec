package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["route-refused-after-crash"] = (*world).routeRefusedAfterCrash }

const boardRoute = `{"name":"r-board","pathPrefix":"/board/","kind":"idempotent","timeoutMs":1200,"targetLatencyMs":250,"priority":2,"service":"board","maxAttempts":2,"sticky":true,"homeRegions":[]}`

// boardConfig is deskConfig with a second service, and in its later version with a route to it.
func boardConfig(version string, route bool) []byte {
	text := strings.Replace(deskConfig, "00000007", version, 1)
	text = strings.Replace(text, `],"limits"`, `,{"name":"board","healthPath":"/health","maxConns":780,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":7.1}],"limits"`, 1)
	if route {
		text = strings.Replace(text, `"paths":[`, `"paths":[`+boardRoute+",", 1)
	}
	return []byte(text)
}

// routeRefusedAfterCrash checks CONFIG: in steady state, machines in touch get 20 or more requests
// on a route that was added later and serve them less than a quarter as often as those on the
// first routes. The servers of one zone crash and come back together, cold, 4.5 s later; those of
// the route's service stand in that zone.
func (w *world) routeRefusedAfterCrash() {
	const away = 4500 * time.Millisecond
	w.store.put("op/config", boardConfig("00000007", false))
	for i := range 9 {
		w.newServer("desk", zones[i%3].name, fmt.Sprintf("%s:%d", w.ip(400+i), w.ports["caller"]+10), 3, 100*time.Millisecond)
	}
	for i := range 4 {
		w.newServer("board", zones[1].name, fmt.Sprintf("%s:%d", w.ip(420+i), w.ports["caller"]+10), 4, 300*time.Millisecond)
	}
	w.gateways(3)
	time.Sleep(stableWindow + time.Second)
	began := time.Now()
	w.store.put("op/config", boardConfig("00000008", true))
	w.rec("configuration 00000008 adds the route /board/")
	time.Sleep(configApply + time.Second)
	type count struct{ sent, served int }
	var mu sync.Mutex
	steady := map[string]*count{"/board/": {}, "/read/": {}}
	statuses := map[string]int{}
	crashAt := began.Add(8 * time.Second)
	// Servers are back, no longer cold, and all has been calm for stableWindowMs.
	steadyFrom, end := crashAt.Add(away+coldFor+stableWindow+time.Second), crashAt.Add(40*time.Second)
	if w.trouble {
		time.AfterFunc(time.Until(crashAt), func() {
			for _, s := range w.servers {
				if s.zone == zones[1].name {
					go s.crash("all servers of its zone crash", away)
				}
			}
		})
	}
	var wg sync.WaitGroup
	ask := func(prefix, path, object string) {
		at, g := time.Now(), w.gates[rand.Intn(len(w.gates))]
		a := w.send(g, w.newID(), http.MethodGet, path, object, nil, 1200*time.Millisecond, 0)
		mu.Lock()
		defer mu.Unlock()
		if at.After(steadyFrom) {
			steady[prefix].sent++
			statuses[fmt.Sprintf("%s %d", prefix, a.status)]++
			if a.status == 200 {
				steady[prefix].served++
			}
		}
	}
	for n := 0; time.Now().Before(end); n++ {
		wg.Go(func() { ask("/board/", "/board/today", "") })
		if n%3 == 0 {
			wg.Go(func() { ask("/read/", fmt.Sprintf("/read/%d", n), fmt.Sprint(rand.Intn(50))) })
		}
		time.Sleep(33 * time.Millisecond)
	}
	wg.Wait()
	b, r := steady["/board/"], steady["/read/"]
	w.rec("answers in steady state: %v", statuses)
	share := func(c *count) float64 { return float64(c.served) / float64(max(1, c.sent)) }
	w.verdict(b.sent >= 20 && share(b) < share(r)/4, "in steady state %d of %d requests on the later route were served, and %d of %d on the first routes", b.served, b.sent, r.served, r.sent)
}
