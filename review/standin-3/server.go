package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times of backend servers, as in the small deployments.
const (
	beatInterval = 1500 * time.Millisecond
	silentBeats  = 3
	coldFor      = 3 * time.Second
	coldRate     = 7.1
	backAfter    = 3 * time.Second
	idleTimeout  = 10 * time.Second
)

// run is one run of a client's request at a server.
type run struct {
	at              time.Time
	request, path   string
	service, server string
}

// stay is what became of a client's request at a server; times that did not come are zero.
type stay struct {
	server                string
	arrived, began, ended time.Time
}

// fleet is the backend servers with their entries in the store.
type fleet struct {
	store *store
	rec   *record
	// poison is the path of the request that crashes each server that begins to run it.
	poison string

	mu    sync.Mutex
	runs  []run
	stays map[string]*stay
}

// backend is a server's address; each start is a process of its own.
type backend struct {
	fleet                  *fleet
	service, address, zone string
	slots, queue           int
	work                   time.Duration
	// Of the runs, a share of tail takes tailTimes as long.
	tail, tailTimes float64
}

// process is one start of a server.
type process struct {
	*backend
	id        string
	born      time.Time
	coldUntil time.Time
	http      *http.Server
	crashed   chan struct{}
	crashOnce sync.Once

	mu               sync.Mutex
	running, waiting int
	slots            chan struct{}
}

// start starts a process; one that starts during traffic is cold.
func (b *backend) start(cold bool) error {
	l, err := net.Listen("tcp", b.address)
	if err != nil {
		return err
	}
	p := &process{backend: b, id: fmt.Sprintf("i-%08x", rand.Uint32()), born: time.Now(), crashed: make(chan struct{}), slots: make(chan struct{}, b.slots)}
	if cold {
		p.coldUntil = p.born.Add(coldFor)
	}
	p.http = &http.Server{Handler: p, IdleTimeout: idleTimeout, ErrorLog: log.New(io.Discard, "", 0)}
	go p.http.Serve(l)
	go p.beat()
	return nil
}

// beat keeps the process's entry in the store. After three intervals of silence it is removed.
func (p *process) beat() {
	key := "servers/" + p.id
	for seq := 0; ; seq++ {
		value, err := json.Marshal(map[string]any{
			"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": p.backend.slots, "state": "ready",
			"coldLeftMs": p.coldLeft().Milliseconds(), "seqNo": seq, "born": p.born.UnixMilli(),
		})
		if err != nil {
			panic(err)
		}
		p.fleet.store.put(key, value, 0)
		select {
		case <-time.After(beatInterval):
			continue
		case <-p.crashed:
		}
		time.Sleep(silentBeats * beatInterval)
		p.fleet.store.remove(key)
		return
	}
}

func (p *process) coldLeft() time.Duration { return max(0, time.Until(p.coldUntil)) }

// crash ends the process at once; another one starts at its address after some seconds.
func (p *process) crash() {
	p.crashOnce.Do(func() {
		close(p.crashed)
		p.http.Close()
		p.fleet.rec.printf("server %s of %s at %s crashes", p.id, p.service, p.address)
		time.AfterFunc(backAfter, func() {
			if err := p.backend.start(true); err != nil {
				p.fleet.rec.printf("server at %s does not start again: %v", p.address, err)
			}
		})
	})
}

func (p *process) load() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", p.running, p.waiting, p.backend.slots)
}

// ServeHTTP implements http.Handler.
func (p *process) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(idleTimeout.Seconds())))
	if id := r.Header.Get("Cassiatray-Attempt-Id"); id != "" {
		h.Set("Cassiatray-Attempt-Id", id)
	}
	if want := r.Header.Get("Cassiatray-Expect-Instance"); want != "" && want != p.id {
		h.Set("Cassiatray-Instance-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("Cassiatray-Attempt-Id")
	here := p.fleet.arrive(id, p.id)
	defer p.fleet.note(func() { here.ended = time.Now() })
	if !p.enter(r) {
		h.Set("Cassiatray-Not-Executed", "1")
		h.Set("Cassiatray-Server-Load", p.load())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer p.leave()
	if r.URL.Path == healthPath {
		h.Set("Cassiatray-Instance-Id", p.id)
		h.Set("Cassiatray-Server-Load", p.load())
		if left := p.coldLeft(); left > 0 {
			h.Set("Cassiatray-Cold-Ms", fmt.Sprint(left.Milliseconds()))
		}
		return
	}
	p.fleet.note(func() { here.began = time.Now() })
	p.fleet.noteRun(run{at: time.Now(), request: id, path: r.URL.Path, service: p.service, server: p.id})
	if r.URL.Path == p.fleet.poison {
		p.crash()
		return
	}
	work := time.Duration(float64(p.work) * (0.85 + 0.3*rand.Float64()))
	if rand.Float64() < p.tail {
		work = time.Duration(float64(work) * p.tailTimes)
	}
	if p.coldLeft() > 0 {
		work *= 2
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	case <-p.crashed:
		return
	}
	h.Set("Cassiatray-Response-Stamp", "stamp."+id)
	h.Set("Cassiatray-Server-Load", p.load())
	fmt.Fprintf(w, "%s %s", id, strings.Repeat("x", 200))
}

// enter waits for a slot, unless the queue is full or the caller leaves.
func (p *process) enter(r *http.Request) bool {
	p.mu.Lock()
	if p.running+p.waiting >= p.backend.slots+p.queue {
		p.mu.Unlock()
		return false
	}
	p.waiting++
	p.mu.Unlock()
	got := false
	select {
	case p.slots <- struct{}{}:
		got = true
	case <-r.Context().Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting--
	if got {
		p.running++
	}
	return got
}

func (p *process) leave() {
	<-p.slots
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
}

// arrive notes a client's request at a server; checks have no id.
func (f *fleet) arrive(id, server string) *stay {
	s := &stay{server: server, arrived: time.Now()}
	if id == "" {
		return s
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stays == nil {
		f.stays = map[string]*stay{}
	}
	f.stays[id] = s
	return s
}

func (f *fleet) note(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// stayOf returns what became of a request at the last server that got it.
func (f *fleet) stayOf(id string) (stay, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.stays[id]
	if s == nil {
		return stay{}, false
	}
	return *s, true
}

func (f *fleet) noteRun(r run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs = append(f.runs, r)
}

// runsOf returns the runs of requests with a path, in order.
func (f *fleet) runsOf(path string) []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []run
	for _, r := range f.runs {
		if r.path == path {
			out = append(out, r)
		}
	}
	return out
}
