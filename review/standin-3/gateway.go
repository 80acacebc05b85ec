package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"time"
)

// gateway is one process of the system on a machine with an address of its own.
type gateway struct {
	name, zone, region, ip string
	ports                  ports
	settings, log          string
	command                []string
	cmd                    *exec.Cmd
	ended                  chan struct{}
	started                time.Time
}

// ports are the same on all machines.
type ports struct{ front, ready, control, directory, peer int }

const operatorPort = 9464

func (p ports) all() []int {
	return []int{p.front, p.ready, p.control, p.directory, p.peer, operatorPort}
}

// freePorts returns ports that are free at all addresses.
func freePorts(ips []string) (ports, error) {
	for base := 21000 + os.Getpid()%400*40; base < 60000; base += 10 {
		p := ports{front: base, ready: base + 1, control: base + 2, directory: base + 3, peer: base + 4}
		if free(ips, p.all()) {
			return p, nil
		}
	}
	return ports{}, fmt.Errorf("no free ports")
}

func free(ips []string, list []int) bool {
	for _, ip := range ips {
		for _, port := range list {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// deployRun returns the command of the one role of the deploy file.
func deployRun() ([]string, string, error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, "", err
	}
	value := func(name string) string {
		m := regexp.MustCompile(`(?m)^` + name + `\s*=\s*"([^"]*)"`).FindSubmatch(text)
		if m == nil {
			return ""
		}
		return string(m[1])
	}
	run, template := strings.Fields(value("run")), value("template")
	if len(run) == 0 || template == "" {
		return nil, "", fmt.Errorf("no run or template in the deploy file")
	}
	run[0], err = filepath.Abs(run[0])
	return run, template, err
}

// fill fills in a template of settings as DEPLOY.md describes it, as far as this one needs it.
func fill(text string, fields map[string]any, current any, key string) string {
	section := regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}`)
	for {
		m := section.FindStringSubmatchIndex(text)
		if m == nil {
			break
		}
		name := text[m[2]:m[3]]
		closing := "{{/" + name + "}}"
		end := strings.Index(text, closing)
		body := text[m[1]:end]
		var out strings.Builder
		each := func(v any, k string, last bool) {
			b := strings.ReplaceAll(body, "{{,}}", map[bool]string{false: ",", true: ""}[last])
			out.WriteString(fill(b, fields, v, k))
		}
		switch v := fieldOf(fields, name).(type) {
		case nil:
		case map[string]string:
			for _, k := range sortedKeys(v) {
				each(v[k], k, false)
			}
		case []string:
			for i, x := range v {
				each(x, fmt.Sprint(i), i == len(v)-1)
			}
		default:
			each(v, "", true)
		}
		text = text[:m[0]] + out.String() + text[end+len(closing):]
	}
	return regexp.MustCompile(`\{\{([@.\w]+)\}\}`).ReplaceAllStringFunc(text, func(p string) string {
		switch name := p[2 : len(p)-2]; name {
		case "@":
			return key
		case ".":
			return fmt.Sprint(current)
		default:
			if v := fieldOf(fields, name); v != nil {
				return fmt.Sprint(v)
			}
			return ""
		}
	})
}

func fieldOf(fields map[string]any, name string) any {
	return fields[name]
}

func sortedKeys(m map[string]string) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, cmp.Compare[string])
	return keys
}

// writeSettings writes the settings file of the gateway.
func (g *gateway) writeSettings(template, dir, store string, zones map[string]string, seeds []string) error {
	text, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	at := func(port int) string { return fmt.Sprintf("%s:%d", g.ip, port) }
	fields := map[string]any{
		"nodeName": g.name, "zone": g.zone, "region": g.region, "zones": zones, "ip": g.ip,
		"listen.front": at(g.ports.front), "listen.ready": at(g.ports.ready), "listen.directory": at(g.ports.directory),
		"innerPortRange.0": g.ports.peer, "seeds": seeds, "platformCfg.address": store,
		"limits.cpuShare": 0.224, "limits.memoryMb": 206, "limits.maxFds": 2870,
		"bounds.drainMs": 2500, "bounds.graceS": 6, "bounds.configApplyMs": 2500, "bounds.retryBudgetRatio": 0.2,
		"bounds.budgetWindowS": 10, "bounds.retryBudgetSlack": 124, "bounds.ttl_max_s": 5,
	}
	g.settings, g.log = filepath.Join(dir, g.name+".yaml"), filepath.Join(dir, g.name+".log")
	return os.WriteFile(g.settings, []byte(fill(string(text), fields, nil, "")), 0o644)
}

// start starts the process.
func (g *gateway) start() error {
	out, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	g.cmd = exec.Command(g.command[0], g.command[1:]...)
	g.cmd.Env = []string{"CASSIATRAY_SETTINGS=" + g.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	g.cmd.Stdout, g.cmd.Stderr = out, out
	// The process ends with this one, whatever happens.
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	g.started = time.Now()
	ended, cmd := make(chan struct{}), g.cmd
	g.ended = ended
	go func() {
		cmd.Wait()
		close(ended)
	}()
	return nil
}

func (g *gateway) signal(s syscall.Signal) { g.cmd.Process.Signal(s) }

// kill ends the process at once.
func (g *gateway) kill() {
	if g.cmd == nil || g.cmd.Process == nil {
		return
	}
	g.signal(syscall.SIGKILL)
	<-g.ended
}

// isReady asks as the platform does.
func (g *gateway) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/readiness", g.ip, g.ports.ready))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// resolve asks the directory as a client of a zone does.
func (g *gateway) resolve(region, zone string) ([]string, error) {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/resolve?name=%s&region=%s&zone=%s", g.ip, g.ports.directory, host, region, zone))
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var answer struct{ Addresses []string }
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	err = json.NewDecoder(resp.Body).Decode(&answer)
	return answer.Addresses, err
}
