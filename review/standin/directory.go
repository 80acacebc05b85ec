package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"
)

func init() { cases["directory-names-the-dead"] = (*world).directoryNamesTheDead }

// directoryNamesTheDead checks DRAIN: more than three answers of the directory, by machines in
// touch, name beside a running machine one that was killed over stableWindowMs + 3 s before and
// has not started since. A zone is emptied and taken back while a machine is lost for good.
func (w *world) directoryNamesTheDead() {
	w.desk(6, 6, 100*time.Millisecond)
	lost, zone := w.gates[4], zones[2].name
	w.store.put("op/evacuate/"+zone, []byte("{}"))
	w.rec("zone %s is evacuated", zone)
	time.Sleep(6 * time.Second)
	for {
		// The machine is lost soon after it has renewed its lease.
		if ends, ok := w.store.leaseOf(lost.name); ok && time.Until(ends) > 3900*time.Millisecond {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	killed := time.Now()
	if w.trouble {
		lost.signal(syscall.SIGKILL)
	}
	time.AfterFunc(3300*time.Millisecond, func() {
		w.store.put("op/evacuate/"+zone, nil)
		w.rec("zone %s is taken back", zone)
	})
	late := 0
	client := http.Client{Timeout: time.Second}
	for time.Since(killed) < 13*time.Second {
		for _, g := range w.gates {
			if g == lost {
				continue
			}
			resp, err := client.Get(fmt.Sprintf("http://%s/resolve?name=depot.example&region=%s&zone=%s", g.at("directory"), lost.region, lost.zone))
			if err != nil {
				w.rec("directory at %s does not answer: %v", g.name, err)
				continue
			}
			var out struct {
				Addresses []string `json:"addresses"`
			}
			err = json.NewDecoder(resp.Body).Decode(&out)
			resp.Body.Close()
			named := err == nil && slices.Contains(out.Addresses, lost.at("caller"))
			past := time.Since(killed) > stableWindow+3*time.Second
			if named && past && len(out.Addresses) > 1 && w.trouble {
				late++
			}
			w.rec("directory at %s: %v, the lost machine is named: %v", g.name, out.Addresses, named)
		}
		time.Sleep(200 * time.Millisecond)
	}
	w.verdict(late > 3, "%d answers of the directory name a machine that was killed over %v before, 3 are allowed", late, stableWindow+3*time.Second)
}
