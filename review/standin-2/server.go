package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Properties of the backend servers, as those of a small deployment.
const (
	serverSlots  = 3
	serverQueue  = 9
	serverWork   = 100 * time.Millisecond
	serverIdle   = 10 * time.Second
	serverDown   = 3 * time.Second
	coldStart    = 3 * time.Second
	coldPerS     = 7.1
	beatInterval = 1500 * time.Millisecond
	answerBytes  = 4000
	healthPath   = "/health"
)

// reaction is what a server does with a request that it has begun to run.
type reaction int

const (
	answers reaction = iota
	// crashes ends the server's process before a byte of the answer is sent, and crashesMidway
	// after the first half of it.
	crashes
	crashesMidway
	// hangs leaves all connections of the server silent until it starts again.
	hangs
)

// run is one request that a server began to run.
type run struct {
	at                 time.Time
	id, path, instance string
	service            string
}

// server is one backend server at an address. Each start is a new instance.
type server struct {
	fleet                  *fleet
	service, zone, address string

	mu       sync.Mutex
	instance string
	born     time.Time
	cold     time.Time
	listener net.Listener
	conns    map[net.Conn]bool
	running  int
	waiting  int
	silent   bool
	seq      int
	slots    chan struct{}
	ended    chan struct{}
}

func (f *fleet) add(service, zone, ip string) (*server, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &server{fleet: f, service: service, zone: zone, address: l.Addr().String()}
	s.begin(l)
	return s, nil
}

// begin starts an instance of the server.
func (s *server) begin(l net.Listener) {
	f := s.fleet
	f.mu.Lock()
	f.nextID++
	id, cold := fmt.Sprintf("i-%04d", f.nextID), f.warm
	f.mu.Unlock()
	s.mu.Lock()
	s.instance, s.born, s.listener, s.conns, s.running, s.waiting, s.seq, s.silent = id, time.Now(), l, map[net.Conn]bool{}, 0, 0, 0, false
	s.cold = time.Time{}
	if cold {
		s.cold = s.born.Add(coldStart)
	}
	s.slots, s.ended = make(chan struct{}, serverSlots), make(chan struct{})
	ended := s.ended
	s.mu.Unlock()
	f.rec.logf("server %s of %s at %s: started", id, s.service, s.address)
	go s.beat(id, ended)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			if s.instance == id && s.conns != nil {
				s.conns[c] = true
			}
			s.mu.Unlock()
			go s.serve(c, id, ended)
		}
	}()
}

// beat writes the instance's entry to the store.
func (s *server) beat(id string, ended chan struct{}) {
	key := "servers/" + id
	written := time.Duration(-1)
	for {
		s.mu.Lock()
		s.seq++
		cold := s.coldLeft()
		entry := map[string]any{
			"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": serverSlots, "state": "ready",
			"coldLeftMs": cold.Milliseconds(), "seqNo": s.seq, "born": s.born.UnixMilli(),
		}
		s.mu.Unlock()
		// The entry changes when more than seqNo changes.
		if cold != written {
			s.fleet.store.put(key, entry)
			written = cold
		} else {
			s.fleet.store.beat(key)
		}
		select {
		case <-time.After(beatInterval):
		case <-ended:
			return
		}
	}
}

// coldLeft returns how much longer the instance is cold. The caller holds s.mu.
func (s *server) coldLeft() time.Duration { return max(0, time.Until(s.cold)) }

func (s *server) serve(c net.Conn, id string, ended chan struct{}) {
	defer c.Close()
	defer func() {
		s.mu.Lock()
		if s.instance == id {
			delete(s.conns, c)
		}
		s.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		c.SetReadDeadline(time.Now().Add(serverIdle))
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		c.SetReadDeadline(time.Time{})
		s.awaitVoice(ended)
		if !s.answer(c, req, id, ended) || req.Close {
			return
		}
	}
}

// write sends a response, or the first part of it.
func (s *server) write(c net.Conn, req *http.Request, status int, headers []string, body []byte, part int) bool {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id := req.Header.Get("Cassiatray-Attempt-Id"); id != "" {
		fmt.Fprintf(&b, "Cassiatray-Attempt-Id: %s\r\n", id)
	}
	s.mu.Lock()
	fmt.Fprintf(&b, "Cassiatray-Server-Load: %d,%d,%d\r\n", s.running, s.waiting, serverSlots)
	s.mu.Unlock()
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	fmt.Fprintf(&b, "Keep-Alive: timeout=%d\r\nContent-Length: %d\r\n\r\n", int(serverIdle.Seconds()), len(body))
	b.Write(body[:part])
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent {
		return false
	}
	_, err := c.Write(b.Bytes())
	return err == nil
}

// answer handles one request, and reports whether the connection goes on.
func (s *server) answer(c net.Conn, req *http.Request, id string, ended chan struct{}) bool {
	refuse := func(status int, headers ...string) bool { return s.write(c, req, status, headers, nil, 0) }
	if req.URL.Path == healthPath {
		s.mu.Lock()
		cold := s.coldLeft()
		s.mu.Unlock()
		headers := []string{"Cassiatray-Instance-Id: " + id}
		if cold > 0 {
			headers = append(headers, "Cassiatray-Cold-Ms: "+strconv.FormatInt(cold.Milliseconds(), 10))
		}
		return refuse(http.StatusOK, headers...)
	}
	if want := req.Header.Get("Cassiatray-Expect-Instance"); want != "" && want != id {
		return refuse(http.StatusMisdirectedRequest, "Cassiatray-Instance-Id: "+id)
	}
	attempt := req.Header.Get("Cassiatray-Attempt-Id")
	if attempt == "" {
		return refuse(http.StatusBadRequest, "Cassiatray-Not-Executed: 1")
	}
	s.mu.Lock()
	full := s.running+s.waiting >= serverSlots+serverQueue
	if !full {
		s.waiting++
	}
	s.mu.Unlock()
	if full {
		return refuse(http.StatusServiceUnavailable, "Cassiatray-Not-Executed: 1")
	}
	s.slots <- struct{}{}
	s.mu.Lock()
	s.waiting--
	s.running++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
		<-s.slots
	}()
	return s.run(c, req, id, attempt, ended)
}

// run runs a request.
func (s *server) run(c net.Conn, req *http.Request, id, attempt string, ended chan struct{}) bool {
	f := s.fleet
	f.mu.Lock()
	f.runs = append(f.runs, run{at: time.Now(), id: attempt, path: req.URL.Path, instance: id, service: s.service})
	f.mu.Unlock()
	f.rec.logf("server %s: runs %s %s, id %s, deadline %s ms", id, req.Method, req.URL.Path, attempt, req.Header.Get("Cassiatray-Deadline-Ms"))
	select {
	case <-time.After(serverWork):
	case <-ended:
		return false
	}
	body := []byte(strings.Repeat("x", answerBytes))
	headers := []string{"Cassiatray-Response-Stamp: " + id + "." + attempt}
	switch f.react(req.Host, req.URL.Path) {
	case crashes:
		s.crash(id, req.URL.Path, "running id "+attempt, serverDown)
		return false
	case hangs:
		s.hang(id, req.URL.Path, attempt)
		return false
	case crashesMidway:
		s.write(c, req, http.StatusOK, headers, body, answerBytes/2)
		s.crash(id, req.URL.Path, "in the middle of its answer to id "+attempt, serverDown)
		return false
	}
	return s.write(c, req, http.StatusOK, headers, body, len(body))
}
