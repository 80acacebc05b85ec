package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	beatEvery = 1500 * time.Millisecond
	coldFor   = 3 * time.Second
)

// server stands in for one backend server. A crash resets its connections and closes its port;
// the server is back some seconds later as a new incarnation, which is cold.
type server struct {
	w                      *world
	service, zone, address string
	slots                  int
	work                   time.Duration
	// run is called when the server begins to run a request; a result of false means that the
	// request crashes the server after the returned time.
	run func(s *server, r *http.Request, body []byte) (ok bool, after time.Duration)

	mu       sync.Mutex
	id       string
	starts   int
	born     time.Time
	cold     bool
	running  int
	waiting  int
	up       bool
	state    string
	listener net.Listener
	conns    map[net.Conn]bool
	slot     *sync.Cond
	life     int
}

func (w *world) newServer(service, zone, address string, slots int, work time.Duration) *server {
	s := &server{w: w, service: service, zone: zone, address: address, slots: slots, work: work, state: "ready"}
	s.slot = sync.NewCond(&s.mu)
	s.start(false)
	w.servers = append(w.servers, s)
	go s.beat()
	return s
}

func (s *server) start(cold bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, err := net.Listen("tcp", s.address)
	for i := 0; err != nil && i < 50; i++ {
		time.Sleep(20 * time.Millisecond)
		l, err = net.Listen("tcp", s.address)
	}
	if err != nil {
		s.w.fatal("server cannot listen: %v", err)
	}
	s.starts++
	s.life++
	s.id = fmt.Sprintf("i-%s-%s-%d", s.service, lastPart(s.address), s.starts)
	s.born, s.cold, s.up, s.listener, s.conns = time.Now(), cold, true, l, map[net.Conn]bool{}
	s.running, s.waiting, s.state = 0, 0, "ready"
	s.w.rec("server %s starts at %s, zone %s, cold %v", s.id, s.address, s.zone, cold)
	s.register()
	life := s.life
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			if s.life != life || !s.up {
				s.mu.Unlock()
				reset(c)
				continue
			}
			s.conns[c] = true
			s.mu.Unlock()
			go s.serve(c, life)
		}
	}()
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// crash ends the process: nothing more is said to the store.
func (s *server) crash(why string, back time.Duration) {
	s.mu.Lock()
	if !s.up {
		s.mu.Unlock()
		return
	}
	s.w.rec("server %s crashes: %s", s.id, why)
	id := s.id
	s.up = false
	s.life++
	s.listener.Close()
	for c := range s.conns {
		reset(c)
	}
	s.slot.Broadcast()
	s.mu.Unlock()
	// The entry is removed after three heartbeats of silence, or when the server is back.
	go func() {
		time.Sleep(3 * beatEvery)
		s.w.store.put("servers/"+id, nil)
	}()
	if back > 0 {
		time.AfterFunc(back, func() { s.start(true) })
	}
}

func (s *server) coldLeft() time.Duration {
	if !s.cold {
		return 0
	}
	return max(0, coldFor-time.Since(s.born))
}

// register writes the server's entry. The caller holds s.mu.
func (s *server) register() {
	value, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": s.state,
		"coldLeftMs": s.coldLeft().Milliseconds(), "seqNo": int64(time.Since(s.born) / beatEvery), "born": s.born.UnixMilli(),
	})
	s.w.store.put("servers/"+s.id, value)
}

func (s *server) beat() {
	wasCold := false
	for range time.Tick(beatEvery) {
		s.mu.Lock()
		// An entry changes when more than its sequence number does.
		if s.up && (s.coldLeft() > 0 || wasCold) {
			s.register()
		}
		wasCold = s.up && s.coldLeft() > 0
		s.mu.Unlock()
	}
}

func (s *server) serve(c net.Conn, life int) {
	defer c.Close()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		answer := s.handle(req, body, life)
		if answer == "" {
			return
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}

func (s *server) head(req *http.Request, status int, extra string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nCassiatray-Attempt-Id: %s\r\nCassiatray-Instance-Id: %s\r\nCassiatray-Server-Load: %d,%d,%d\r\nKeep-Alive: timeout=10\r\n%s",
		status, req.Header.Get("Cassiatray-Attempt-Id"), s.id, s.running, s.waiting, s.slots, extra)
}

// handle runs a request and returns the bytes of its answer; none if the server has ended.
func (s *server) handle(req *http.Request, body []byte, life int) string {
	id := req.Header.Get("Cassiatray-Attempt-Id")
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life != life {
		return ""
	}
	if req.URL.Path == "/health" {
		return s.head(req, 200, fmt.Sprintf("Cassiatray-Cold-Ms: %d\r\nContent-Length: 0\r\n\r\n", s.coldLeft().Milliseconds()))
	}
	if want := req.Header.Get("Cassiatray-Expect-Instance"); want != "" && want != s.id {
		return s.head(req, 421, "Content-Length: 0\r\n\r\n")
	}
	if s.running >= s.slots && s.waiting >= 3*s.slots {
		return s.head(req, 503, "Cassiatray-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	limit, _ := strconv.Atoi(req.Header.Get("Cassiatray-Deadline-Ms"))
	until := time.Now().Add(time.Duration(limit) * time.Millisecond)
	s.waiting++
	for s.running >= s.slots && s.life == life {
		s.slot.Wait()
	}
	if s.life != life {
		return ""
	}
	s.waiting--
	if limit > 0 && time.Now().After(until) {
		return s.head(req, 503, "Cassiatray-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	s.running++
	s.w.rec("server %s runs %s %s %s, %d bytes of body", s.id, id, req.Method, req.URL.Path, len(body))
	s.w.ran(s, id, req, body)
	work, ok := s.work, true
	if s.run != nil {
		if o, after := s.run(s, req, body); !o {
			work, ok = after, false
		}
	}
	if s.coldLeft() > 0 {
		work *= 2
	}
	s.mu.Unlock()
	time.Sleep(work)
	if !ok {
		s.crash("it ran "+id, crashedFor)
	}
	s.mu.Lock()
	if s.life != life {
		return ""
	}
	s.running--
	s.slot.Broadcast()
	text := "ran " + id
	return s.head(req, 200, fmt.Sprintf("Cassiatray-Response-Stamp: %s.%s\r\nContent-Length: %d\r\n\r\n%s", s.id, id, len(text), text))
}

// crashedFor is how long a server that crashed is away.
const crashedFor = 3 * time.Second
