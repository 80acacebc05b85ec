package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["process-ends-on-body"] = (*world).processEndsOnBody }

// unreadRest is how many bytes of a body are left unread in the request that is sent.
const unreadRest = 262145

// processEndsOnBody checks LOST: a machine in touch passes a request from a kept connection on to
// a sound server and closes that connection without an answer, more than three times. Clients
// upload to a path that no route matches; the answer is 404.
func (w *world) processEndsOnBody() {
	w.desk(9, 3, 300*time.Millisecond)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	lost := map[string]bool{}
	answered := 0
	for i := range 24 {
		k := &keeper{w: w, g: w.gates[i%len(w.gates)]}
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				id := w.newID()
				kept, a := k.ask(id, http.MethodPost, "/book/load", fmt.Sprint(i), make([]byte, 1200), 1500*time.Millisecond)
				mu.Lock()
				if a.err == nil {
					answered++
				} else if kept && !strings.Contains(a.err.Error(), "timeout") {
					lost[id] = true
				}
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	size := unreadRest
	if !w.trouble {
		size--
	}
	ended := 0
	for _, g := range w.gates {
		w.send(g, w.newID(), http.MethodPost, "/nowhere/upload", "", make([]byte, size), 1500*time.Millisecond, 0)
		select {
		case <-g.exited:
			ended++
			w.rec("gateway %s has ended by itself: %s", g.name, g.cmd.ProcessState)
			time.Sleep(500 * time.Millisecond)
			g.start()
		case <-time.After(time.Second):
			w.rec("gateway %s runs on", g.name)
		}
		time.Sleep(5 * time.Second)
	}
	close(stop)
	wg.Wait()
	passed := 0
	w.mu.Lock()
	for _, r := range w.runs {
		if lost[r.id] {
			passed++
		}
	}
	w.mu.Unlock()
	w.verdict(passed > 3, "%d of %d processes ended by themselves; %d requests from kept connections were run by sound servers and their connections closed without an answer, 3 are allowed; %d requests were answered",
		ended, len(w.gates), passed, answered)
}
