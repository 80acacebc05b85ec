package gateway

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"cassiatray/internal/port"
)

// crashShape is how a request crashes the servers that run it.
type crashShape struct {
	// answer is how much of the answer comes, and end how the end of the process shows.
	answer, end string
	// after is how long the server runs the request.
	after time.Duration
}

var (
	// The whole of an unframed answer seems to have come.
	cutAnswers = []string{"cut", "cut stream", "cut unframed"}
	// A process that is replaced does not respond before; one that restarts has the same ID.
	replacedEnds = []string{"replaced", "restarted"}
)

func (c crashShape) runTime() time.Duration { return max(c.after, crashAfter) }

// crashTime returns how long after a run began the server's process ends.
func (c crashShape) crashTime() time.Duration {
	if c.end == "replaced" {
		return c.runTime() + crashAway
	}
	return c.runTime()
}

// runToCrash runs a request that crashes the server.
func (s *crashServers) runToCrash(address string, ended chan struct{}) (*port.ForwardAnswer, error) {
	time.AfterFunc(s.shape.runTime(), func() {
		switch s.shape.end {
		case "replaced":
			s.hang(address, crashAway, fmt.Sprint(address, "-", time.Now().UnixNano()))
		case "restarted":
			s.hang(address, 0, "")
		default:
			s.crash(address)
		}
	})
	short := &port.BackendError{Code: port.BackendShort, Sent: true, Err: io.ErrUnexpectedEOF}
	a := okAnswer()
	if s.shape.answer == "cut stream" {
		time.Sleep(s.shape.runTime() / 2)
		a.Rest = &streamToCrash{ended, short}
		return a, nil
	}
	<-ended
	switch s.shape.answer {
	case "cut":
		return nil, short
	case "cut unframed":
		a.Unframed = true
		return a, nil
	}
	return nil, brokenError(true)
}

// streamToCrash is the part of an answer that its server's crash cuts off.
type streamToCrash struct {
	ended chan struct{}
	err   error
}

func (b *streamToCrash) Read([]byte) (int, error) { <-b.ended; return 0, b.err }
func (b *streamToCrash) Close() error             { return nil }

// hang has the process at an address not respond for a time and end then. Another one takes its
// place at once, with an ID of its own unless that is empty.
func (s *crashServers) hang(address string, span time.Duration, instance string) {
	if s.hangs(address) {
		return
	}
	s.mu.Lock()
	s.hung[address] = time.Now().Add(span)
	s.mu.Unlock()
	time.AfterFunc(span, func() {
		s.mu.Lock()
		s.ends[address], s.instances[address] = time.Now(), instance
		if c := s.ended[address]; c != nil {
			close(c)
			delete(s.ended, address)
		}
		s.mu.Unlock()
		s.replaced(address, instance)
	})
}

// replaceRecord writes the record of a process that took the place of another.
func (w *crashWorld) replaceRecord(address, instance string) {
	w.mu.Lock()
	old := w.records[address]
	next := old
	next.Born = time.Now().UnixMilli()
	if instance != "" {
		next.ID = instance
	}
	w.records[address] = next
	w.mu.Unlock()
	if next.ID != old.ID {
		w.store.set("server/"+old.ID, nil, "")
	}
	w.store.set("server/"+next.ID, encode(next), "")
}

// crashCase is a way in which a request crashes servers unnoticed.
type crashCase struct {
	shape crashShape
	// leave is when its callers leave; zero for at their deadline.
	leave time.Duration
	// quiet has nothing else sent, relayed most gateways without links to servers.
	quiet, relayed bool
}

// playAll plays the case for both kinds of routes, at a busy and at a quiet time.
func (c crashCase) playAll(t *testing.T) {
	for _, uri := range []string{"/get/bad", "/post/bad"} {
		for _, c.quiet = range []bool{false, true} {
			t.Run(fmt.Sprintf("%+v %s", c, uri), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { c.play(t, uri) })
			})
		}
	}
}

// play sends the request every 1.5 s to the next of twelve gateways.
func (c crashCase) play(t *testing.T, uri string) {
	w := newCrashWorld(t, 12)
	defer w.stop()
	w.servers.replaced, w.servers.shape = w.replaceRecord, c.shape
	w.servers.crashing = func(u string) bool { return u == uri }
	names := slices.Sorted(maps.Keys(w.hosts))
	w.links.set(func(host, _ string) linkFault {
		if c.relayed && !slices.Contains(names[:3], host) {
			return linkResets
		}
		return linkWell
	})
	if !c.quiet {
		w.others.Go(func() { w.ask("/get/page", 33*time.Millisecond, 45*time.Second) })
	}
	for n := range 30 {
		w.others.Go(func() { w.hosts[names[n%len(names)]].leaveAfter(c.leave, "7", uri) })
		time.Sleep(1500 * time.Millisecond)
	}
	time.Sleep(2 * crashAway)
	if runs, late := w.servers.countRuns(uri); late > retriesAllowed || runs < 3 {
		t.Errorf("%d runs, %d of them retries that reached servers late", runs, late)
	}
}

// leaveAfter sends a request whose caller leaves after some time, if that is set.
func (h *testHost) leaveAfter(leave time.Duration, object, uri string) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if leave > 0 {
		time.AfterFunc(leave, cancel)
	}
	defer func() {
		// An answer that breaks off aborts the handler.
		if fault := recover(); fault != nil && fault != http.ErrAbortHandler {
			panic(fault)
		}
	}()
	h.sendFor(ctx, object, "GET", uri, nil)
}

// Guards against a request that crashes servers after its caller has left, and that is never
// refused because a canceled exchange counts for no crash.
func TestCrashesAfterCallersLeftAreNoticed(t *testing.T) {
	for _, after := range []time.Duration{0, time.Second} {
		crashCase{shape: crashShape{after: after}, leave: crashAfter / 2}.playAll(t)
	}
	crashCase{leave: crashAfter / 2, relayed: true}.playAll(t)
}

// Guards against a request that crashes servers in the middle of their answers, and that is never
// refused because an answer that breaks off, or whose head came, counts for no crash.
func TestCrashesInAnswersAreNoticed(t *testing.T) {
	for _, answer := range cutAnswers {
		for _, relayed := range []bool{false, true} {
			crashCase{shape: crashShape{answer: answer}, relayed: relayed}.playAll(t)
		}
	}
	crashCase{shape: crashShape{answer: "cut stream"}, leave: crashAfter * 3 / 4}.playAll(t)
}

// Guards against a request that crashes servers whose connections are never refused: another
// process is in their place before anyone connects.
func TestReplacedProcessesCountAsCrashed(t *testing.T) {
	for _, end := range replacedEnds {
		for _, answer := range append([]string{""}, cutAnswers...) {
			crashCase{shape: crashShape{answer: answer, end: end}}.playAll(t)
		}
		crashCase{shape: crashShape{end: end}, leave: crashAfter / 2}.playAll(t)
	}
}

// Guards against pages that are refused because servers crashed after their callers had left:
// most callers of a popular page do not wait for its answer.
func TestAbandonedRequestsStayServed(t *testing.T) {
	const page, bad = "/get/page", "/get/bad"
	for name, lose := range map[string]func(w *crashWorld){
		"domain lost": func(w *crashWorld) { w.servers.crash(w.lost...) },
		"domain lost three times": func(w *crashWorld) {
			for range 3 {
				w.servers.crash(w.lost...)
				time.Sleep(10 * time.Second)
			}
		},
		"servers lost one after the other": func(w *crashWorld) {
			for _, s := range w.lost {
				w.servers.crash(s)
				time.Sleep(700 * time.Millisecond)
			}
		},
		"beside a request that crashes servers": func(w *crashWorld) { w.ask(bad, 500*time.Millisecond, 20*time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newCrashWorld(t, 3)
				defer w.stop()
				w.servers.crashing = func(uri string) bool { return uri == bad }
				random := rand.New(rand.NewPCG(3, 4))
				for n := range 2000 {
					h := w.anyHost(random)
					time.AfterFunc(time.Duration(n)*20*time.Millisecond, func() { h.leaveAfter(crashRunTime/2, "", page) })
				}
				time.AfterFunc(2*time.Second, func() { lose(w) })
				w.ask(page, 200*time.Millisecond, 40*time.Second)
				if served, refused := w.ask(page, 33*time.Millisecond, 10*time.Second); refused > 0 || served == 0 {
					t.Errorf("%d requests served and %d refused afterwards", served, refused)
				}
				if _, late := w.servers.countRuns(bad); late > retriesAllowed {
					t.Errorf("%d retries of the other request reached servers", late)
				}
			})
		})
	}
}
