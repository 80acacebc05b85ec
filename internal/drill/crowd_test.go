package drill

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cassiatray/api"
	"cassiatray/internal/adapter/backendhttp"
	"cassiatray/internal/core/document"
	"cassiatray/internal/site"
)

// The crowds and the bounds for entry and steer processes. The bounds follow from the settings: a
// process that is given crowdMemory holds no more.
const (
	// crowdMemory is the setting memory of the entry processes, in bytes.
	crowdMemory = 96 << 20
	// crowdSize is how many connections a crowd has, crowdIdle how many one has that only
	// occupies descriptors.
	crowdSize = 400
	crowdIdle = 500
	// crowdDescriptors is the processes' descriptor limit where descriptors are what a crowd
	// takes, crowdOpen how many one may then have open.
	crowdDescriptors = 400
	crowdOpen        = 340
	// crowdFor is how long a crowd stands before the ordinary request is sent, crowdPatience how
	// long that is repeated until it is served.
	crowdFor      = 8 * time.Second
	crowdPatience = 60 * time.Second
	// crowdBody is the largest body and answer that the document allows, in bytes.
	crowdBody = 1 << 20
	// crowdLines is how many header lines of 4 bytes a head of legal size has.
	crowdLines = 7000
	// crowdSources is how many addresses a crowd comes from: one may have 1,024 connections.
	crowdSources = 5
)

// crowded is a small site at which a crowd is gathered.
type crowded struct {
	*site.Site
	// arrived holds the bodies' first bytes, by operation, of requests that reached the server.
	arrived sync.Map
}

// startCrowded starts a site of two entry hosts with one server of the test's own. All processes
// may have as many descriptors as given, unless that is 0.
func startCrowded(t *testing.T, descriptors int) *crowded {
	t.Helper()
	release, err := site.Exclusive(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	bin, err := site.Programs()
	if err != nil {
		t.Fatal(err)
	}
	if descriptors > 0 {
		bin = limited(t, bin, descriptors)
	}
	shape := site.Franchise(2)
	shape.Regions, shape.DomainsPerRegion = shape.Regions[:1], 1
	desk := &shape.Services[0]
	shape.Services = shape.Services[:1]
	desk.Servers, desk.Slots = 1, 64
	for i := range desk.Classes {
		c := &desk.Classes[i]
		c.Deadline, c.MaxAnswer = document.Duration(crowdPatience), crowdBody
		if c.Execution == document.AtMostOnce {
			c.MaxBody = crowdBody
		}
	}
	s, err := site.New(shape, bin, environment)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	out := &crowded{Site: s}
	out.serve(t)
	for _, h := range s.Hosts {
		f, err := os.OpenFile(s.File(site.EntryName(h.Name)+".yaml"), os.O_APPEND|os.O_WRONLY, 0)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(f, "memory: %dMiB\n", crowdMemory>>20)
		if err := f.Close(); err != nil {
			t.Fatal(err)
		}
	}
	out.bring(t)
	return out
}

// limited returns a folder with the programs, of which the daemons may have few descriptors.
func limited(t *testing.T, bin string, descriptors int) string {
	t.Helper()
	dir := t.TempDir()
	for _, name := range []string{"cassiatray-entry", "cassiatray-steer"} {
		script := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec %s/%s \"$@\"\n", descriptors, bin, name)
		if err := os.WriteFile(filepath.Join(dir, name), []byte(script), 0o700); err != nil {
			t.Fatal(err)
		}
	}
	for _, name := range []string{"cassiatray-standin", "cassiatrayctl"} {
		if err := os.Symlink(filepath.Join(bin, name), filepath.Join(dir, name)); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// serve serves the site's one server: requests are read whole and answered at once, those below
// /stock/big with the largest answer.
func (s *crowded) serve(t *testing.T) {
	t.Helper()
	l, err := net.Listen("tcp", s.Servers[0].Address.String())
	if err != nil {
		t.Fatal(err)
	}
	big := make([]byte, crowdBody)
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(api.HeaderOperationID); id != "" {
			s.arrived.Store(id, true)
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(backendhttp.HeaderRequestID, r.Header.Get(backendhttp.HeaderRequestID))
		body := big[:2]
		if strings.Contains(r.URL.RawQuery, "big") {
			body = big
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.Write(body)
	}))
	srv.Listener.Close()
	srv.Listener = l
	srv.Start()
	t.Cleanup(func() {
		l.Close()
		srv.CloseClientConnections()
	})
}

// bring starts the processes and puts the document in force.
func (s *crowded) bring(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), crowdPatience)
	defer cancel()
	for _, name := range []string{site.StoreName, site.HostListName} {
		if _, err := s.Start(name, "cassiatray-standin"); err != nil {
			t.Fatal(err)
		}
	}
	for _, h := range s.Hosts {
		if err := s.StartHost(h); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.AwaitServers(ctx); err != nil {
		t.Fatal(err)
	}
	for _, args := range [][]string{{"apply", s.File("document.yaml"), "--reason", "first document"}, {"promote", "--reason", "trial was good"}} {
		if _, err := s.Ctl(ctx, args...); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.AwaitServing(ctx); err != nil {
		t.Fatal(err)
	}
	if err := awaitMembers(ctx, s.Site); err != nil {
		t.Fatal(err)
	}
	s.awaitOrdinary(t, s.Hosts[0])
}

// request sends one request on a connection of its own and returns its status and outcome. The
// error of one that is not served says why.
func (s *crowded) request(h site.HostPlan, method, path, operation string, body io.Reader) (int, api.Outcome, error) {
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+h.Caller.String()+"/v1/request/"+service+path, body)
	if err != nil {
		return 0, "", err
	}
	if operation != "" {
		req.Header.Set(api.HeaderOperationID, operation)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	outcome := api.Outcome(resp.Header.Get(api.HeaderOutcome))
	if resp.StatusCode != http.StatusOK {
		failure := new(api.Error)
		if err := json.NewDecoder(resp.Body).Decode(failure); err != nil {
			return resp.StatusCode, outcome, err
		}
		return resp.StatusCode, outcome, failure
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, outcome, err
}

// awaitOrdinary repeats an ordinary request until it is served.
func (s *crowded) awaitOrdinary(t *testing.T, h site.HostPlan) {
	t.Helper()
	await(t, "an ordinary request", func() error {
		_, _, err := s.request(h, http.MethodGet, "/stock/salt", "", nil)
		return errors.Join(err, s.Running())
	})
}

func await(t *testing.T, what string, attempt func() error) {
	t.Helper()
	var err error
	for end := time.Now().Add(crowdPatience); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if err = attempt(); err == nil {
			return
		}
	}
	t.Errorf("%s is not served: %v", what, err)
}

// operation returns the ID of an operation that a host may run.
func (s *crowded) operation(h site.HostPlan) (string, error) {
	resp, err := http.Get("http://" + h.Caller.String() + "/v1/lookup/" + service + "?client=10.0.0.1")
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	var lookup api.Lookup
	if err := json.NewDecoder(resp.Body).Decode(&lookup); err != nil {
		return "", err
	}
	for _, to := range lookup.Hosts {
		if to.Name == h.Name {
			id, err := api.NewOperationID(to)
			return id.String(), err
		}
	}
	return "", fmt.Errorf("%s is not named in a look-up", h.Name)
}

// post is the head of an at-most-once request, without its length.
func (s *crowded) post(h site.HostPlan, query string) string {
	id, err := s.operation(h)
	if err != nil {
		return ""
	}
	return "POST /v1/request/" + service + "/bookings" + query + " HTTP/1.1\r\nHost: x\r\n" + api.HeaderOperationID + ": " + id + "\r\n"
}

// gather has a crowd at an address of a host until the returned function is called.
func (s *crowded) gather(t *testing.T, to document.Address, size int, member func(c net.Conn, n int)) (disperse func()) {
	return site.Crowd(t.Context(), size, func(n int) (net.Conn, error) {
		source := net.IPv4(127, 0, 0, byte(2+n%crowdSources))
		d := net.Dialer{Timeout: 5 * time.Second, LocalAddr: &net.TCPAddr{IP: source}}
		return d.Dial("tcp", to.String())
	}, member)
}

// check checks for a while what the daemons hold, and that all of them live.
func (s *crowded) check(t *testing.T, while time.Duration, open int) {
	t.Helper()
	peak, most := map[string]int64{}, map[string]int{}
	for end := time.Now().Add(while); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, h := range s.Hosts {
			for _, name := range []string{site.EntryName(h.Name), site.SteerName(h.Name)} {
				u, err := s.Process(name).Usage()
				if err != nil {
					t.Fatalf("%v: %v", err, s.Running())
				}
				peak[name], most[name] = max(peak[name], u.Peak), max(most[name], u.Descriptors)
			}
		}
	}
	for name, bytes := range peak {
		t.Logf("%s: at most %d MiB resident, %d descriptors", name, bytes>>20, most[name])
		if bytes > crowdMemory {
			t.Errorf("%s: at most %d MiB resident, %d are allowed", name, bytes>>20, crowdMemory>>20)
		}
		if most[name] > open {
			t.Errorf("%s: at most %d descriptors open, %d are allowed", name, most[name], open)
		}
	}
	if err := s.Running(); err != nil {
		t.Error(err)
	}
}

// stand has a crowd at the first host, checks what the daemons hold and that the host serves an
// ordinary request beside it.
func (s *crowded) stand(t *testing.T, size, open int, member func(c net.Conn, n int)) {
	t.Helper()
	h := s.Hosts[0]
	defer s.gather(t, h.Caller, size, member)()
	s.check(t, crowdFor, open)
	s.awaitOrdinary(t, h)
	s.check(t, 0, open)
}

// openMany is a bound on descriptors where they are not what a crowd takes.
const openMany = 2*crowdSize + 200

func sendBody(c net.Conn, size int) error {
	_, err := io.CopyN(c, zeros{}, int64(size))
	return err
}

type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// held waits for the other side to close the connection or answer.
func held(c net.Conn) { io.Copy(io.Discard, c) }

// Guards against an entry process that exceeds its memory when callers stop just short of the end
// of large bodies and stay.
func TestEntryCrowdOfUnfinishedBodies(t *testing.T) {
	s := startCrowded(t, 0)
	s.stand(t, crowdSize, openMany, func(c net.Conn, n int) {
		head := s.post(s.Hosts[0], "")
		if n%2 == 0 {
			fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", head, crowdBody)
			if sendBody(c, crowdBody-1) != nil {
				return
			}
		} else {
			fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n", head, crowdBody)
			if sendBody(c, crowdBody) != nil {
				return
			}
		}
		held(c)
	})
}

// Guards against an entry process that exceeds its memory for whole bodies, here and at the host
// that it passes them to, and for the results that are kept.
func TestEntryCrowdOfForwardedBodies(t *testing.T) {
	s := startCrowded(t, 0)
	s.stand(t, crowdSize, openMany, func(c net.Conn, n int) {
		fmt.Fprintf(c, "%sConnection: close\r\nContent-Length: %d\r\n\r\n", s.post(s.Hosts[n%2], "?big"), crowdBody)
		if sendBody(c, crowdBody) == nil {
			held(c)
		}
	})
}

// Guards against an entry process that exceeds its memory when callers do not read large answers.
func TestEntryCrowdThatReadsNoAnswers(t *testing.T) {
	s := startCrowded(t, 0)
	s.stand(t, crowdSize, openMany, func(c net.Conn, n int) {
		c.(*net.TCPConn).SetReadBuffer(8 << 10)
		fmt.Fprintf(c, "GET /v1/request/%s/stock/salt?big HTTP/1.1\r\nHost: x\r\n\r\n", service)
		for b := make([]byte, 1); ; time.Sleep(2 * time.Second) {
			// A byte now and then notices that the connection has ended.
			if _, err := c.Read(b); err != nil {
				return
			}
		}
	})
}

// Guards against heads that hold many times their text.
func TestEntryCrowdOfManyHeaderLines(t *testing.T) {
	s := startCrowded(t, 0)
	s.stand(t, 2*crowdSize, 2*openMany, func(c net.Conn, n int) {
		fmt.Fprintf(c, "%s%sContent-Length: 16384\r\n\r\n", s.post(s.Hosts[0], ""), strings.Repeat("a:\r\n", crowdLines))
		if sendBody(c, 16<<10-1) == nil {
			held(c)
		}
	})
}

// Guards against bodies far over the limit, announced or just sent.
func TestEntryCrowdOfBodiesOverTheLimit(t *testing.T) {
	s := startCrowded(t, 0)
	s.stand(t, crowdSize, openMany, func(c net.Conn, n int) {
		head := s.post(s.Hosts[0], "")
		if n%2 == 0 {
			fmt.Fprintf(c, "%sContent-Length: %s\r\n\r\n", head, []string{strconv.Itoa(crowdBody + 1), "1099511627776", "9223372036854775807", "18446744073709551616"}[n/2%4])
			if sendBody(c, 8*crowdBody) == nil {
				held(c)
			}
			return
		}
		fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n", head)
		for {
			if _, err := fmt.Fprintf(c, "10000\r\n%s\r\n", strings.Repeat("x", 1<<16)); err != nil {
				return
			}
		}
	})
}

// Guards against an entry process without descriptors for ordinary callers when a crowd opens more
// connections than there are, idle or with heads that do not end.
func TestEntryCrowdOfConnections(t *testing.T) {
	s := startCrowded(t, crowdDescriptors)
	s.stand(t, crowdIdle, crowdOpen, func(c net.Conn, n int) {
		if n%2 == 0 {
			fmt.Fprintf(c, "GET /v1/request/%s/stock/salt HTTP/1.1\r\nHost: x\r\nX-Long: %s", service, strings.Repeat("v", 24<<10))
		}
		held(c)
	})
}

// Guards against ports for operators that a crowd occupies.
func TestCrowdAtOperatorPorts(t *testing.T) {
	s := startCrowded(t, crowdDescriptors)
	h := s.Hosts[0]
	ports := []document.Address{h.EntryOperator, h.SteerOperator}
	for _, port := range ports {
		defer s.gather(t, port, crowdIdle, func(c net.Conn, n int) {
			switch n % 3 {
			case 0:
				fmt.Fprintf(c, "GET /dump HTTP/1.1\r\nHost: x\r\nX-Long: %s", strings.Repeat("v", 24<<10))
			case 1:
				fmt.Fprint(c, "POST /dump HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n")
				if sendBody(c, 500<<10) != nil {
					return
				}
			}
			held(c)
		})()
	}
	s.check(t, crowdFor, crowdOpen)
	s.awaitOrdinary(t, h)
	for _, port := range ports {
		await(t, "readiness at "+port.String(), func() error {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			if status, _ := site.Get(ctx, "http://"+port.String()+"/readyz"); status != http.StatusOK {
				return fmt.Errorf("status %d", status)
			}
			return nil
		})
	}
}

// Guards against a body of the largest size that is refused although nothing else is held.
func TestEntryServesTheLargestBodyAlone(t *testing.T) {
	s := startCrowded(t, 0)
	for _, to := range s.Hosts {
		id, err := s.operation(to)
		if err != nil {
			t.Fatal(err)
		}
		status, outcome, err := s.request(s.Hosts[0], http.MethodPost, "/bookings?big", id, io.LimitReader(zeros{}, crowdBody))
		if err != nil || status != http.StatusOK || outcome != api.OutcomeDone {
			t.Errorf("status %d, outcome %q, error %v", status, outcome, err)
		}
	}
}

// Guards against an outcome "not-run" of a request that has reached a server, also by a copy of its
// operation at another host.
func TestEntryRefusedForMemoryHasNotRun(t *testing.T) {
	s := startCrowded(t, 0)
	ctx, cancel := context.WithTimeout(t.Context(), crowdFor)
	defer cancel()
	var wg sync.WaitGroup
	var refused sync.Map
	for n := range crowdSize {
		wg.Go(func() {
			for ctx.Err() == nil {
				id, err := s.operation(s.Hosts[n%2])
				if err != nil {
					continue
				}
				for _, h := range s.Hosts {
					status, outcome, _ := s.request(h, http.MethodPost, "/bookings", id, io.LimitReader(zeros{}, crowdBody))
					if status == http.StatusServiceUnavailable && outcome == api.OutcomeNotRun {
						refused.Store(id, true)
					}
				}
			}
		})
	}
	wg.Wait()
	s.awaitOrdinary(t, s.Hosts[0])
	count := 0
	refused.Range(func(id, _ any) bool {
		count++
		if _, ran := s.arrived.Load(id); ran {
			t.Errorf("%s was told not run and has reached the server", id)
		}
		return true
	})
	if count == 0 {
		t.Error("nothing was refused: the crowd is too small")
	}
	t.Logf("%d operations refused", count)
}

// Guards against a stop beside a crowd that does not end in time, or reports a failure.
func TestEntryStopsBesideACrowd(t *testing.T) {
	s := startCrowded(t, 0)
	h := s.Hosts[0]
	defer s.gather(t, h.Caller, crowdSize, func(c net.Conn, n int) {
		switch n % 3 {
		case 0:
			fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", s.post(h, ""), crowdBody)
			sendBody(c, crowdBody-1)
		case 1:
			c.(*net.TCPConn).SetReadBuffer(8 << 10)
			fmt.Fprintf(c, "GET /v1/request/%s/stock/salt?big HTTP/1.1\r\nHost: x\r\n\r\n", service)
			for b := make([]byte, 1); ; time.Sleep(time.Second) {
				if _, err := c.Read(b); err != nil {
					return
				}
			}
		case 2:
			fmt.Fprintf(c, "GET /v1/request/%s/stock/salt HTTP/1.1\r\nHost: x\r\nX-Long: %s", service, strings.Repeat("v", 24<<10))
		}
		held(c)
	})()
	s.check(t, crowdFor/4, openMany)
	if err := s.Process(site.EntryName(h.Name)).Signal(os.Interrupt); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), crowdPatience)
	defer cancel()
	if status := s.Process(site.EntryName(h.Name)).Wait(ctx); status != 0 {
		t.Errorf("exit status %d", status)
	}
	if _, err := s.StartEntry(h); err != nil {
		t.Fatal(err)
	}
	s.awaitOrdinary(t, h)
}
