package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/port"
)

// linkFault is what is wrong with a gateway's link to a server.
type linkFault int

// Values of linkFault.
const (
	linkWell linkFault = iota
	// linkHangs drops what is sent.
	linkHangs
	// linkResets resets connections and refuses new ones.
	linkResets
	// linkRefuses refuses new connections; kept ones live on.
	linkRefuses
)

func (f linkFault) String() string {
	return [...]string{"well", "hangs", "resets", "refuses new"}[f]
}

const (
	// linkTimeout is when a link that hangs is noticed, at connecting and by bytes that are not
	// acknowledged.
	linkTimeout = 500 * time.Millisecond
	// keptFor is how long an idle connection to a server is kept.
	keptFor = 4 * time.Second
)

// serverLinks are the links of gateways to servers.
type serverLinks struct {
	servers forwardProber

	mu sync.Mutex
	// faults returns what is wrong with the link of a gateway to an address.
	faults func(host, address string) linkFault
	// changed is closed and replaced when faults change.
	changed chan struct{}
	// kept are the times at which idle connections were last used.
	kept map[[2]string][]time.Time
	// arrivals counts the requests that each gateway sent to servers.
	arrivals map[string]int
	// canceled counts the requests that gateways gave up at servers.
	canceled int
}

func newServerLinks(servers forwardProber) *serverLinks {
	return &serverLinks{
		servers: servers, faults: func(string, string) linkFault { return linkWell }, changed: make(chan struct{}),
		kept: map[[2]string][]time.Time{}, arrivals: map[string]int{},
	}
}

// set replaces the faults of all links.
func (l *serverLinks) set(faults func(host, address string) linkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
	close(l.changed)
	l.changed = make(chan struct{})
}

// heal ends all faults.
func (l *serverLinks) heal() { l.set(func(string, string) linkFault { return linkWell }) }

// serverLink is the links of one gateway.
type serverLink struct {
	*serverLinks
	host string
}

func (l serverLink) fault(address string) (linkFault, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults(l.host, address), l.changed
}

// takeKept takes an idle connection.
func (l serverLink) takeKept(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := [2]string{l.host, address}
	list := l.kept[key]
	if len(list) == 0 {
		return false
	}
	last := list[len(list)-1]
	l.kept[key] = list[:len(list)-1]
	return time.Since(last) < keptFor && l.faults(l.host, address) != linkResets
}

// Connect opens a connection and keeps it.
func (l serverLink) Connect(ctx context.Context, address string) error {
	if err := l.open(ctx, address); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	key := [2]string{l.host, address}
	l.kept[key] = append(l.kept[key], time.Now())
	return nil
}

// open opens a connection.
func (l serverLink) open(ctx context.Context, address string) error {
	fault, _ := l.fault(address)
	switch fault {
	case linkHangs:
		ctx, cancel := context.WithTimeout(ctx, linkTimeout)
		defer cancel()
		<-ctx.Done()
		return &port.BackendError{Code: port.BackendConnect, Address: address, Err: syscall.ETIMEDOUT}
	case linkResets, linkRefuses:
		return &port.BackendError{Code: port.BackendRefused, Address: address, Err: syscall.ECONNREFUSED}
	}
	return l.servers.Connect(ctx, address)
}

// Kept implements port.Prober.
func (l serverLink) Kept(address string) port.KeptState {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := port.KeptNone
	for _, last := range l.kept[[2]string{l.host, address}] {
		switch {
		case time.Since(last) >= keptFor:
		case l.faults(l.host, address) != linkResets && l.servers.Kept(address) == port.KeptOpen && !l.endedAfter(address, last):
			return port.KeptOpen
		default:
			state = port.KeptClosed
		}
	}
	return state
}

// endedAfter reports whether the server's process has ended since a time.
func (l *serverLinks) endedAfter(address string, t time.Time) bool {
	s, ok := l.servers.(interface {
		lastEnd(address string) time.Time
	})
	return ok && s.lastEnd(address).After(t)
}

// Forward implements port.Forwarder.
func (l serverLink) Forward(ctx context.Context, address string, req *port.ForwardRequest) (*port.ForwardAnswer, error) {
	opened := !l.takeKept(address)
	if opened {
		if err := l.open(ctx, address); err != nil {
			return nil, err
		}
	}
	l.mu.Lock()
	l.arrivals[l.host]++
	l.mu.Unlock()
	type result struct {
		answer *port.ForwardAnswer
		err    error
	}
	// The server is at work whatever becomes of the link.
	done := make(chan result, 1)
	fault, changed := l.fault(address)
	if fault == linkWell || fault == linkRefuses {
		go func() {
			a, err := l.servers.Forward(context.WithoutCancel(ctx), address, req)
			done <- result{a, err}
		}()
	}
	for {
		switch fault {
		case linkHangs:
			select {
			case <-time.After(linkTimeout):
				return nil, &port.BackendError{Code: port.BackendBroken, Sent: true, Address: address, Err: syscall.ETIMEDOUT}
			case <-ctx.Done():
			}
		case linkResets:
			return nil, &port.BackendError{Code: port.BackendBroken, Sent: true, Address: address, Err: syscall.ECONNRESET}
		}
		select {
		case r := <-done:
			if r.err == nil {
				r.answer.Opened = opened
			}
			if r.err == nil && r.answer.Rest == nil && !r.answer.Unframed {
				l.mu.Lock()
				key := [2]string{l.host, address}
				l.kept[key] = append(l.kept[key], time.Now())
				l.mu.Unlock()
			}
			return r.answer, r.err
		case <-changed:
			fault, changed = l.fault(address)
		case <-ctx.Done():
			code := port.BackendTimeout
			if ctx.Err() == context.Canceled {
				code = port.BackendCanceled
				l.mu.Lock()
				l.canceled++
				l.mu.Unlock()
			}
			return nil, &port.BackendError{Code: code, Sent: true, Address: address, Err: ctx.Err()}
		}
	}
}

// Probe implements port.Prober.
func (l serverLink) Probe(ctx context.Context, address, path string) (port.ServerMeta, int, error) {
	if err := l.open(ctx, address); err != nil {
		return port.ServerMeta{}, 0, err
	}
	return l.servers.Probe(ctx, address, path)
}

// linkWorld is a testCluster whose gateways reach simulated servers over links.
type linkWorld struct {
	*testCluster
	links   *serverLinks
	servers *simulatedServers
}

// newLinkWorld starts three gateways and two servers in each failure domain.
func newLinkWorld(t *testing.T) *linkWorld {
	w := &linkWorld{testCluster: newTestCluster(t), servers: newSimulatedServers(4, 30, 240*time.Millisecond)}
	w.links = newServerLinks(w.servers)
	w.forwarder = func(host string) forwardProber { return serverLink{w.links, host} }
	w.setConfig(1)
	for _, d := range testDomains {
		for i := range 2 {
			w.setServer(fleet.Record{ID: fmt.Sprintf("i-%s-%d", d.Domain, i), Domain: d.Domain})
		}
	}
	w.addPerDomain(3)
	time.Sleep(2 * introductionTime)
	return w
}

// stopAll ends the gateways and their checks of servers.
func (w *linkWorld) stopAll() {
	w.testCluster.stopAll()
	for _, h := range w.hosts {
		h.node.cancel()
	}
	// What starts checks has ended before they are waited for.
	synctest.Wait()
	for _, h := range w.hosts {
		h.node.background.Wait()
	}
}

// get sends a request to a gateway, and reports whether it was served.
func (h *testHost) get(object string, left time.Duration) bool {
	r := httptest.NewRequest(http.MethodGet, "/", strings.NewReader(""))
	r.Host = "h"
	r.Header.Set("Id", object)
	r.Header.Set("Left", left.String())
	r.Header.Set("Object", object)
	w := httptest.NewRecorder()
	h.node.ServeHTTP(w, r)
	return w.Code == http.StatusOK
}

// linkLoad sends requests to every gateway and counts those that are served.
type linkLoad struct {
	mu           sync.Mutex
	sent, served map[string]int
}

const (
	linkLoadEvery   = 120 * time.Millisecond
	linkLoadObjects = 100
	linkLoadLeft    = 1200 * time.Millisecond
)

// run sends to each gateway during a span.
func (w *linkWorld) run(span time.Duration, random *rand.Rand) *linkLoad {
	out := &linkLoad{sent: map[string]int{}, served: map[string]int{}}
	var wg sync.WaitGroup
	for range int(span / linkLoadEvery) {
		for name, h := range w.hosts {
			object := fmt.Sprint(random.IntN(linkLoadObjects))
			wg.Go(func() {
				served := h.get(object, linkLoadLeft)
				out.mu.Lock()
				defer out.mu.Unlock()
				out.sent[name]++
				if served {
					out.served[name]++
				}
			})
		}
		time.Sleep(linkLoadEvery)
	}
	wg.Wait()
	return out
}

// load is run with random numbers of its own.
func (w *linkWorld) load(span time.Duration) *linkLoad {
	return w.run(span, rand.New(rand.NewPCG(3, 4)))
}

// shares returns the shares of requests that were served by gateways that are cut and by the
// others.
func (o *linkLoad) shares(cut func(host string) bool) (atCut, atOthers float64) {
	var sent, served [2]float64
	for name, n := range o.sent {
		i := 0
		if cut(name) {
			i = 1
		}
		sent[i], served[i] = sent[i]+float64(n), served[i]+float64(o.served[name])
	}
	return served[1] / max(1, sent[1]), served[0] / max(1, sent[0])
}
