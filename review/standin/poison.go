package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

func init() {
	// A request with a long body crashes each server that begins to run it.
	cases["poison-long-body"] = func(w *world) {
		w.poison(poisonPlan{body: 300 << 10, every: 1500 * time.Millisecond, traffic: 30, gateways: 3, crashAfter: 200 * time.Millisecond, length: 45 * time.Second})
	}
	// Such a request comes in a quiet hour.
	cases["poison-quiet-hour"] = func(w *world) {
		w.poison(poisonPlan{body: 300, every: 1500 * time.Millisecond, traffic: 0.1, gateways: 12, crashAfter: 200 * time.Millisecond, length: 45 * time.Second})
	}
}

// poisonPlan is a request that crashes servers and comes again and again.
type poisonPlan struct {
	body                      int
	every, crashAfter, length time.Duration
	// traffic is how many ordinary requests a second there are.
	traffic float64
	// gateways is how many gateways there are.
	gateways int
}

const poisonPath = "/book/poison"

const deskConfig = `{"version":"00000007","services":[{"name":"desk","healthPath":"/health","maxConns":780,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":7.1}],` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},` +
	`"virtualHosts":[{"host":"depot.example","paths":[` +
	`{"name":"r-read","pathPrefix":"/read/","kind":"idempotent","timeoutMs":1200,"targetLatencyMs":250,"priority":2,"service":"desk","maxAttempts":2,"sticky":true,"homeRegions":[]},` +
	`{"name":"r-book","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":1500,"targetLatencyMs":300,"priority":1,"service":"desk","maxAttempts":2,"sticky":true,"homeRegions":[]}]}]}`

// desk starts the store's contents, servers and gateways of a small deployment.
func (w *world) desk(servers, gateways int, work time.Duration) {
	w.store.put("op/config", []byte(deskConfig))
	for i := range servers {
		w.newServer("desk", zones[i%len(zones)].name, fmt.Sprintf("%s:%d", w.ip(400+i), w.ports["caller"]+10), 3, work)
	}
	w.gateways(gateways)
	w.rec("all gateways are ready")
	time.Sleep(stableWindow + time.Second)
}

// poison checks BUDGET: a request that crashes the servers that run it reaches servers in more
// than three retries, sent later than stableWindowMs after it has crashed the third.
func (w *world) poison(p poisonPlan) {
	if text := os.Getenv("BODY"); text != "" {
		p.body, _ = strconv.Atoi(text)
	}
	w.desk(9, p.gateways, 300*time.Millisecond)
	for _, s := range w.servers {
		s.run = func(_ *server, r *http.Request, _ []byte) (bool, time.Duration) {
			return r.URL.Path != poisonPath, p.crashAfter
		}
	}
	end := time.Now().Add(p.length)
	var wg sync.WaitGroup
	var mu sync.Mutex
	sent := map[string]time.Time{}
	ends := map[string]int{}
	wg.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			wg.Go(func() {
				object := fmt.Sprint(rand.Intn(50))
				g := w.gates[rand.Intn(len(w.gates))]
				var a answer
				if rand.Intn(4) == 0 {
					a = w.send(g, w.newID(), http.MethodPost, "/book/load", object, make([]byte, 1200), 1500*time.Millisecond, 0)
				} else {
					a = w.send(g, w.newID(), http.MethodGet, "/read/stock", object, nil, 1200*time.Millisecond, 0)
				}
				mu.Lock()
				defer mu.Unlock()
				ends[fmt.Sprint(a.status)]++
			})
			time.Sleep(time.Duration(float64(time.Second) / p.traffic))
		}
	})
	body := make([]byte, p.body)
	for n := 0; w.trouble && time.Now().Add(2*time.Second).Before(end); n++ {
		id := w.newID()
		mu.Lock()
		sent[id] = time.Now()
		mu.Unlock()
		g := w.gates[n%len(w.gates)]
		wg.Go(func() { w.send(g, id, http.MethodPost, poisonPath, "7", body, 1500*time.Millisecond, 0) })
		time.Sleep(p.every)
	}
	wg.Wait()
	w.mu.Lock()
	var crashed []time.Time
	reached := map[string]bool{}
	var third time.Time
	for _, r := range w.runs {
		if r.path != poisonPath {
			continue
		}
		crashed = append(crashed, r.at.Add(p.crashAfter))
		if len(crashed) == 3 {
			third = crashed[2]
		}
		if len(crashed) > 3 && sent[r.id].After(third.Add(stableWindow)) {
			reached[r.id] = true
		}
	}
	w.mu.Unlock()
	w.rec("ordinary requests by status (0: no answer): %v", ends)
	w.verdict(len(reached) > 3, "the request was sent %d times and crashed %d servers; %d retries that were sent later than %v after the third crash reached servers, 3 are allowed",
		len(sent), len(crashed), len(reached), stableWindow)
}
