package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["gone-midway"] = (*world).goneMidway }

const (
	uploadSize = 2 << 20
	// goneSlack is how long after its client has left a request may still be worked on.
	goneSlack = 500 * time.Millisecond
)

// goneMidway checks GONE: after clients have closed their connections, servers are still at work
// half a second later on more than a quarter of the idempotent requests that would have lasted so
// long. Servers work on a body as it arrives; clients leave in the middle of an upload.
func (w *world) goneMidway() {
	w.store.put("op/config", []byte(deskConfig))
	type work struct{ began, ended time.Time }
	var mu sync.Mutex
	works := map[string]*work{}
	for i := range 6 {
		l, err := net.Listen("tcp", w.ip(400+i)+":0")
		if err != nil {
			w.fatal("server: %v", err)
		}
		id := fmt.Sprintf("i-desk-%d", i)
		w.store.put("servers/"+id, []byte(fmt.Sprintf(`{"service":"desk","address":"%s","zone":"%s","version":"v1","slots":3,"state":"ready","coldLeftMs":0,"seqNo":4,"born":%d}`, l.Addr(), zones[i%3].name, time.Now().UnixMilli())))
		server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set("Cassiatray-Instance-Id", id)
			if r.URL.Path == "/health" {
				return
			}
			attempt := r.Header.Get("Cassiatray-Attempt-Id")
			x := &work{began: time.Now()}
			mu.Lock()
			works[attempt] = x
			mu.Unlock()
			w.rec("server %s runs %s %s %s", id, attempt, r.Method, r.URL.Path)
			n, err := io.Copy(io.Discard, r.Body)
			if err == nil {
				select {
				case <-time.After(300 * time.Millisecond):
				case <-r.Context().Done():
				}
			}
			mu.Lock()
			x.ended = time.Now()
			mu.Unlock()
			w.rec("server %s ends its work on %s after %d bytes of body: %v", id, attempt, n, err)
			rw.Header().Set("Cassiatray-Attempt-Id", attempt)
			rw.Header().Set("Cassiatray-Response-Stamp", id+"."+attempt)
			io.WriteString(rw, "ran "+attempt)
		})}
		go server.Serve(l)
	}
	w.gateways(3)
	time.Sleep(stableWindow + time.Second)
	left := map[string]time.Time{}
	var wg sync.WaitGroup
	for n := range 100 {
		id, g := w.newID(), w.gates[n%3]
		// Clients that leave do so in the middle of their upload.
		leaves := w.trouble && rand.Float64() < 0.3
		wg.Go(func() {
			c, err := net.DialTimeout("tcp", g.at("caller"), time.Second)
			if err != nil {
				w.fatal("client: %v", err)
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(4 * time.Second))
			w.rec("client sends %s PUT /read/sheet, %d bytes of body, to %s", id, uploadSize, g.name)
			fmt.Fprintf(c, "PUT /read/sheet HTTP/1.1\r\nHost: depot.example\r\nCassiatray-Attempt-Id: %s\r\nCassiatray-Deadline-Ms: 4000\r\nContent-Length: %d\r\n\r\n", id, uploadSize)
			part := make([]byte, uploadSize/8)
			for i := range 8 {
				if leaves && i == 5 {
					mu.Lock()
					left[id] = time.Now()
					mu.Unlock()
					w.rec("client of %s leaves", id)
					return
				}
				if _, err := c.Write(part); err != nil {
					w.rec("client of %s: %v", id, err)
					return
				}
				time.Sleep(25 * time.Millisecond)
			}
			var b bytes.Buffer
			io.CopyN(&b, c, 12)
			w.rec("client of %s gets %q", id, b.String())
		})
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(2 * time.Second)
	mu.Lock()
	reached, late := 0, 0
	for id, at := range left {
		if x := works[id]; x != nil {
			reached++
			if x.ended.IsZero() || x.ended.Sub(at) > goneSlack {
				late++
			}
		}
	}
	mu.Unlock()
	w.verdict(reached > 0 && 4*late > reached, "%d clients left in the middle of an upload that a server was working on; on %d of these a server was still at work %v later, a quarter is allowed", reached, late, goneSlack)
}
