// Command cassiatray-review plays the cases of the review: it starts gateways by the command of
// the deploy file, stands in for the store, the servers and the clients, and checks one rule.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// longest is how long a case may run.
const longest = 110 * time.Second

// Bounds of a small deployment, as the settings of the pages' example state them.
const (
	stableWindow = 4 * time.Second
	drain        = 2500 * time.Millisecond
	configApply  = 2500 * time.Millisecond
)

var zones = []struct{ name, region string }{{"sask-rgn", "sask"}, {"alta-cgy", "alta"}, {"mani-wpg", "mani"}}

type world struct {
	dir     string
	command []string
	trouble bool
	store   *store
	servers []*server
	gates   []*gateway
	began   time.Time
	net     string
	ports   map[string]int

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
	runs   []ranRequest
	lastID atomic.Int64
	// ending is never unlocked: who ends the case first decides its status.
	ending sync.Mutex
}

// ranRequest is a request that a server began to run.
type ranRequest struct {
	at     time.Time
	server string
	id     string
	path   string
}

func (w *world) rec(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) ran(s *server, id string, req *http.Request, _ []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, ranRequest{time.Now(), s.id, id, req.URL.Path})
}

func (w *world) fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	w.rec("cannot run: "+format, args...)
	w.finish(exitFailed)
}

// finish ends all processes that were started and exits.
func (w *world) finish(status int) {
	w.ending.Lock()
	for _, g := range w.gates {
		g.kill()
	}
	w.mu.Lock()
	w.record.Flush()
	w.file.Close()
	os.RemoveAll(w.dir)
	os.Exit(status)
}

// verdict records and prints the outcome and exits.
func (w *world) verdict(broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	status, word := exitHeld, "held"
	if broken {
		status, word = exitBroken, "BROKEN"
	}
	w.rec("%s: %s", word, text)
	fmt.Printf("%s: %s\n", word, text)
	w.finish(status)
}

func lastPart(address string) string {
	host, _, _ := net.SplitHostPort(address)
	parts := strings.Split(host, ".")
	return strings.Join(parts[2:], "-")
}

// ip returns the nth loopback address of this world.
func (w *world) ip(n int) string { return fmt.Sprintf("%s.%d.%d", w.net, n/200, n%200+1) }

func newWorld(record string, trouble bool, command []string) *world {
	dir, err := os.MkdirTemp("", "cassiatray-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	w := &world{dir: dir, command: command, trouble: trouble, began: time.Now(), file: file, record: bufio.NewWriter(file)}
	random := rand.New(rand.NewSource(time.Now().UnixNano() ^ int64(os.Getpid())))
	w.net = fmt.Sprintf("127.%d", 20+random.Intn(200))
	base := 20000 + random.Intn(20000)
	w.ports = map[string]int{"caller": base, "ready": base + 1, "directory": base + 2, "peer": base + 3, "operator": base + 4}
	if w.store, err = newStore(w.ip(900) + ":0"); err != nil {
		w.fatal("store: %v", err)
	}
	w.rec("trouble: %v", trouble)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case sig := <-stop:
			w.fatal("stopped by %v", sig)
		case <-time.After(longest):
			w.fatal("not ended after %v", longest)
		}
	}()
	return w
}

// gateway is one process of the project.
type gateway struct {
	w                  *world
	name, zone, region string
	ip, settings       string
	log                string
	cmd                *exec.Cmd
	exited             chan struct{}
	mu                 sync.Mutex
}

func (w *world) newGateway(n int, seeds []string) *gateway {
	z := zones[n%len(zones)]
	g := &gateway{w: w, name: fmt.Sprintf("edge-%s-%d", z.name, n/len(zones)+1), zone: z.name, region: z.region, ip: w.ip(n)}
	g.settings = filepath.Join(w.dir, g.name+".yaml")
	g.log = filepath.Join(w.dir, g.name+".log")
	var b bytes.Buffer
	fmt.Fprintf(&b, "host: %q\ndomain: %q\nregion: %q\ndomains:\n", g.name, g.zone, g.region)
	for _, z := range zones {
		fmt.Fprintf(&b, "  - {domain: %q, region: %q}\n", z.name, z.region)
	}
	for key, port := range w.ports {
		fmt.Fprintf(&b, "%s: \"%s:%d\"\n", key, g.ip, port)
	}
	fmt.Fprintf(&b, "seeds: [%s]\nstore: %q\ncapacity: 0.224\nmemory: \"206MiB\"\nbounds:\n", strings.Join(seeds, ","), w.store.address)
	fmt.Fprintf(&b, "  drain: 2500ms\n  grace: 6s\n  configApply: 2500ms\n  retryRatio: 0.2\n  retryWindow: 10s\n  retryExtra: 124\n  holdMax: 5s\nlog:\n  format: json\n  level: info\n")
	if err := os.WriteFile(g.settings, b.Bytes(), 0o600); err != nil {
		w.fatal("settings: %v", err)
	}
	w.gates = append(w.gates, g)
	return g
}

// gateways starts n gateways and waits until all are ready.
func (w *world) gateways(n int) {
	var seeds []string
	for i := 0; i < min(3, n); i++ {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:8166", w.ip(i))))
	}
	for i := range n {
		w.newGateway(i, seeds)
	}
	for _, g := range w.gates {
		g.start()
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, g := range w.gates {
			if g.ready() {
				ready++
			}
		}
		if ready == n {
			return
		}
		if time.Now().After(end) {
			w.fatal("%d of %d gateways are ready", ready, n)
		}
	}
}

func (g *gateway) start() {
	if err := g.launch(); err != nil {
		g.w.fatal("gateway %s: %v", g.name, err)
	}
	g.w.rec("gateway %s starts at %s", g.name, g.ip)
}

func (g *gateway) launch() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	out, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(g.w.command[0], g.w.command[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CASSIATRAY_SETTINGS=" + g.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() { cmd.Wait(); close(exited) }()
	g.cmd, g.exited = cmd, exited
	return nil
}

func (g *gateway) signal(sig syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.w.rec("gateway %s gets signal %v", g.name, sig)
	g.cmd.Process.Signal(sig)
}

// kill kills the process and waits for its end.
func (g *gateway) kill() {
	g.mu.Lock()
	cmd, exited := g.cmd, g.exited
	g.mu.Unlock()
	if cmd == nil {
		return
	}
	select {
	case <-exited:
		return
	default:
	}
	cmd.Process.Kill()
	<-exited
}

func (g *gateway) at(role string) string { return fmt.Sprintf("%s:%d", g.ip, g.w.ports[role]) }

func (g *gateway) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + g.at("ready") + "/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}

// answer is what a client got.
type answer struct {
	status  int
	stamp   string
	body    string
	err     error
	retryIn time.Duration
	took    time.Duration
}

// newID returns the id of a new client attempt.
func (w *world) newID() string { return fmt.Sprintf("%016x", w.lastID.Add(1)|1<<60) }

// send makes one client attempt on a connection of its own. With leave above zero the client
// closes the connection after that time.
func (w *world) send(g *gateway, id, method, path, object string, body []byte, deadline, leave time.Duration) answer {
	w.rec("client sends %s %s %s (object %s, %d bytes of body) to %s", id, method, path, object, len(body), g.name)
	began := time.Now()
	a := w.exchange(g, id, method, path, object, body, deadline, leave)
	a.took = time.Since(began)
	switch {
	case leave > 0 && a.err != nil && a.took >= leave:
		w.rec("client of %s leaves after %d ms", id, a.took.Milliseconds())
	case a.err != nil:
		w.rec("client of %s gets no answer: %v", id, a.err)
	default:
		w.rec("client of %s gets %d, stamp %q, after %d ms", id, a.status, a.stamp, a.took.Milliseconds())
	}
	return a
}

func (w *world) exchange(g *gateway, id, method, path, object string, body []byte, deadline, leave time.Duration) answer {
	c, err := net.DialTimeout("tcp", g.at("caller"), time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	limit := deadline
	if leave > 0 {
		limit = leave
	}
	c.SetDeadline(time.Now().Add(limit))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: depot.example\r\nCassiatray-Attempt-Id: %s\r\nCassiatray-Deadline-Ms: %d\r\n", method, path, id, deadline.Milliseconds())
	if object != "" {
		fmt.Fprintf(&b, "Cookie: Cassiatray-Affinity-Key=%s\r\n", object)
	}
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	if _, err := c.Write(b.Bytes()); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	text, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, stamp: resp.Header.Get("Cassiatray-Response-Stamp"), body: string(text), err: err}
}
