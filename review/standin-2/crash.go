package main

import (
	"net"
	"time"
)

// crash ends the instance as the end of its process does: all its sockets are closed. Another
// one starts at the same address some time after.
func (s *server) crash(id, path, why string, down time.Duration) {
	s.mu.Lock()
	if s.instance != id || s.conns == nil {
		s.mu.Unlock()
		return
	}
	s.fleet.mu.Lock()
	s.fleet.ends = append(s.fleet.ends, run{at: time.Now(), path: path, instance: id})
	s.fleet.mu.Unlock()
	conns := s.conns
	s.conns = nil
	close(s.ended)
	s.listener.Close()
	s.mu.Unlock()
	for c := range conns {
		c.Close()
	}
	s.fleet.rec.logf("server %s: crashed, %s", id, why)
	time.AfterFunc(down, func() {
		for {
			l, err := net.Listen("tcp", s.address)
			if err == nil {
				s.begin(l)
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// hang ends the instance without a word: nothing more comes on its connections, and new ones are
// not answered, until another instance starts at the same address after serverDown.
func (s *server) hang(id, path, attempt string) {
	s.mu.Lock()
	first := s.instance == id && !s.silent
	s.silent = s.silent || first
	s.mu.Unlock()
	if first {
		s.fleet.rec.logf("server %s: silent, running id %s", id, attempt)
	}
	time.Sleep(serverDown)
	if first {
		s.crash(id, path, "after its silence", 0)
	}
}

// awaitVoice returns at once, or at the end of an instance that is silent.
func (s *server) awaitVoice(ended chan struct{}) {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent {
		<-ended
	}
}
