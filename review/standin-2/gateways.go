package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// gatewayProgram and settingsTemplate are the command and the template of the deploy file.
const (
	gatewayProgram   = "target/cassiatray-gateway"
	settingsTemplate = "deploy/settings.yaml"
	settingsVariable = "CASSIATRAY_SETTINGS"
)

// place is a zone with its region.
type place struct{ zone, region string }

// gateway is one process of the system on a host of its own, which is a loopback address.
type gateway struct {
	name, ip     string
	place        place
	front, ready string
	directory    string
	settings     string
	log          string
	rec          *recorder

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	started time.Time
}

// ports are the ports of all hosts.
type ports struct{ front, ready, directory, control, peer int }

// freePorts returns ports that are free on all addresses.
func freePorts(ips []string) (ports, error) {
	var found []int
	for len(found) < 5 {
		l, err := net.Listen("tcp", net.JoinHostPort(ips[0], "0"))
		if err != nil {
			return ports{}, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		l.Close()
		free := port != operatorPort
		for _, ip := range ips {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			found = append(found, port)
		}
	}
	return ports{found[0], found[1], found[2], found[3], found[4]}, nil
}

// operatorPort is where the deploy file says that gateways serve their metrics.
const operatorPort = 9464

// freeHosts returns loopback addresses on which the operator port is free.
func freeHosts(n int) ([]string, error) {
	var out []string
	net2 := os.Getpid()%200 + 20
	for last := 2; last < 250 && len(out) < n; last++ {
		ip := fmt.Sprintf("127.%d.%d.%d", net2, os.Getpid()/200%250, last)
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, operatorPort))
		if err != nil {
			continue
		}
		l.Close()
		out = append(out, ip)
	}
	if len(out) < n {
		return nil, fmt.Errorf("no %d free loopback addresses", n)
	}
	return out, nil
}

// bounds are those of the small sites' pages.
func bounds() map[string]any {
	return map[string]any{
		"seedLagS": 3, "addrReuseS": 2, "stableWindowMs": 4000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2500, "graceS": 6,
		"lossSlackMs": 200, "configApplyMs": 2500, "rollbackSlackMs": 250, "maxStretchMs": 6000, "retryBudgetRatio": 0.2,
		"budgetWindowS": 10, "retryBudgetSlack": 124, "coldBurstFactor": 1.5, "coldSlack": 5, "evacuationMs": 5000,
		"recoveryS": 15, "ttl_max_s": 5, "maxRegionShift": 0.15,
	}
}

// newGateways returns gateways, one at each of some places, with rendered settings in a folder.
func newGateways(rec *recorder, dir, storeAddress string, places []place) ([]*gateway, error) {
	ips, err := freeHosts(len(places))
	if err != nil {
		return nil, err
	}
	p, err := freePorts(ips)
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile(settingsTemplate)
	if err != nil {
		return nil, err
	}
	zones := map[string]any{}
	var order, seeds []string
	for i, pl := range places {
		if _, ok := zones[pl.zone]; !ok {
			order = append(order, pl.zone)
		}
		zones[pl.zone] = pl.region
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", ips[i], p.control))
		}
	}
	var out []*gateway
	for i, pl := range places {
		g := &gateway{
			name: fmt.Sprintf("edge-%s-%d", pl.zone, i+1), ip: ips[i], place: pl, rec: rec,
			front: fmt.Sprintf("%s:%d", ips[i], p.front), ready: fmt.Sprintf("%s:%d", ips[i], p.ready), directory: fmt.Sprintf("%s:%d", ips[i], p.directory),
		}
		fields := map[string]any{
			"nodeName": g.name, "role": "gateway", "machineClass": "edge", "serves": []string{"edge", "control", "directory"}, "ip": g.ip,
			"zone": pl.zone, "region": pl.region, "zones": zones,
			"listen":         map[string]any{"front": g.front, "ready": g.ready, "directory": g.directory, "control": fmt.Sprintf("%s:%d", ips[i], p.control)},
			"innerPortRange": []string{fmt.Sprint(p.peer), fmt.Sprint(p.peer)}, "seeds": seeds, "firstStart": true,
			"limits":      map[string]any{"cpuShare": 0.224, "cores": 1, "memoryMb": 206, "maxFds": 2870},
			"bounds":      bounds(),
			"platformCfg": map[string]any{"address": storeAddress, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "ttlMinMs": 1000},
		}
		text := render(string(template), []any{fields}, order)
		g.settings, g.log = filepath.Join(dir, g.name+".yaml"), filepath.Join(dir, g.name+".log")
		if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		out = append(out, g)
	}
	return out, nil
}

// start starts the process.
func (g *gateway) start() error {
	log, err := os.OpenFile(g.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(gatewayProgram)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), settingsVariable + "=" + g.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.done, g.started = cmd, done, time.Now()
	g.mu.Unlock()
	g.rec.logf("gateway %s at %s: process started", g.name, g.front)
	go func() {
		cmd.Wait()
		g.rec.logf("gateway %s: process ended", g.name)
		close(done)
	}()
	return nil
}

// signal sends a signal to the process.
func (g *gateway) signal(sig syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd != nil {
		g.rec.logf("gateway %s: %s", g.name, sig)
		g.cmd.Process.Signal(sig)
	}
}

// kill ends the process and waits for its end.
func (g *gateway) kill() {
	g.signal(syscall.SIGKILL)
	g.mu.Lock()
	done := g.done
	g.mu.Unlock()
	if done != nil {
		<-done
	}
}

var (
	section = regexp.MustCompile(`(?s)\{\{([#^])([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	value   = regexp.MustCompile(`\{\{([\w.@]+)(\|json)?\}\}`)
)

// render fills in a template of settings as the pages describe; sections are not nested.
// Scopes are the tables in which names are looked up, the innermost last.
func render(text string, scopes []any, zoneOrder []string) string {
	text = section.ReplaceAllStringFunc(text, func(m string) string {
		p := section.FindStringSubmatch(m)
		v := lookup(p[2], scopes)
		if p[1] == "^" {
			if v == nil || v == false {
				return fill(p[3], scopes, "")
			}
			return ""
		}
		switch x := v.(type) {
		case nil:
			return ""
		case []string:
			var out []string
			for i, e := range x {
				out = append(out, comma(fill(p[3], append(scopes, e), fmt.Sprint(i)), i == len(x)-1))
			}
			return strings.Join(out, "")
		case map[string]any:
			var out []string
			for i, k := range zoneOrder {
				out = append(out, comma(fill(p[3], append(scopes, x[k]), k), i == len(zoneOrder)-1))
			}
			return strings.Join(out, "")
		default:
			return fill(p[3], append(scopes, x), "")
		}
	})
	return fill(text, scopes, "")
}

func comma(text string, last bool) string {
	if last {
		return strings.ReplaceAll(text, "{{,}}", "")
	}
	return strings.ReplaceAll(text, "{{,}}", ",")
}

func fill(text string, scopes []any, key string) string {
	text = strings.ReplaceAll(text, "{{@}}", key)
	return value.ReplaceAllStringFunc(text, func(m string) string {
		p := value.FindStringSubmatch(m)
		v := lookup(p[1], scopes)
		if p[2] != "" {
			data, err := json.Marshal(v)
			if err != nil {
				return ""
			}
			return string(data)
		}
		switch x := v.(type) {
		case nil:
			return ""
		case []string:
			return strings.Join(x, ",")
		default:
			return fmt.Sprint(x)
		}
	})
}

// lookup returns the value of a dotted name, or nil.
func lookup(name string, scopes []any) any {
	if name == "." {
		return scopes[len(scopes)-1]
	}
	for i := len(scopes) - 1; i >= 0; i-- {
		v := scopes[i]
		for _, part := range strings.Split(name, ".") {
			switch x := v.(type) {
			case map[string]any:
				v = x[part]
			case []string:
				var n int
				if _, err := fmt.Sscan(part, &n); err != nil || n >= len(x) {
					v = nil
				} else {
					v = x[n]
				}
			default:
				v = nil
			}
		}
		if v != nil {
			return v
		}
	}
	return nil
}
