package site

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// crashRestart is how long a stand-in server stays away after a crash.
const crashRestart = time.Second

// Site is a running plan.
type Site struct {
	*Plan
	// Dir holds the settings, the document and the logs.
	Dir string
	// Environment is the environment that the daemons run.
	Environment string

	bin  string
	lock net.Listener

	mu    sync.Mutex
	procs map[string]*Process
}

// New lays out a site on a free network. Bin holds the built programs.
func New(shape Shape, bin, environment string) (*Site, error) {
	network, lock, err := claim()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "cassiatray-"+shape.Name+"-")
	if err != nil {
		lock.Close()
		return nil, err
	}
	s := &Site{Plan: NewPlan(shape, network), Dir: dir, Environment: environment, bin: bin, lock: lock, procs: map[string]*Process{}}
	if err := s.write(dir, environment); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// File returns the path of one of the site's files.
func (s *Site) File(name string) string { return filepath.Join(s.Dir, name) }

// Start starts one daemon with its settings file and its log file.
func (s *Site) Start(name, program string) (*Process, error) {
	log, err := os.OpenFile(s.File(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, filePerm)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(s.bin, program), "--settings", s.File(name+".yaml"))
	cmd.Stdout, cmd.Stderr = log, log
	// A site that dies takes its processes with it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{Name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	s.mu.Lock()
	s.procs[name] = p
	s.mu.Unlock()
	return p, nil
}

// StartAll starts the stand-ins and every daemon.
func (s *Site) StartAll() error {
	if err := s.StartStandins(); err != nil {
		return err
	}
	for _, h := range s.Hosts {
		if err := s.StartHost(h); err != nil {
			return err
		}
	}
	return nil
}

// StartStandins starts the store, the list of hosts and the backend servers.
func (s *Site) StartStandins() error {
	for _, name := range []string{StoreName, HostListName} {
		if _, err := s.Start(name, standinProgram); err != nil {
			return err
		}
	}
	for _, domain := range s.Document.DomainNames() {
		if err := s.StartServers(domain); err != nil {
			return err
		}
	}
	return nil
}

// StartServers starts the backend servers of a failure domain.
func (s *Site) StartServers(domain string) error {
	_, err := s.Start(ServersName(domain), standinProgram)
	return err
}

// Programs of a site.
const (
	standinProgram = "cassiatray-standin"
	steerProgram   = "cassiatray-steer"
	entryProgram   = "cassiatray-entry"
)

// StartHost starts both daemons of an entry host.
func (s *Site) StartHost(h HostPlan) error {
	if _, err := s.Start(SteerName(h.Name), steerProgram); err != nil {
		return err
	}
	_, err := s.StartEntry(h)
	return err
}

// StartEntry starts the entry process of a host.
func (s *Site) StartEntry(h HostPlan) (*Process, error) {
	return s.Start(EntryName(h.Name), entryProgram)
}

// Process returns the newest process with a name, or nil.
func (s *Site) Process(name string) *Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.procs[name]
}

// logTail is how much of a dead process's log is shown, in bytes.
const logTail = 4000

// Running returns a DiedError when a process of the site has ended by itself.
func (s *Site) Running() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, p := range s.procs {
		if p.ended.Load() {
			continue
		}
		select {
		case <-p.done:
			log, _ := os.ReadFile(s.File(name + ".log"))
			return &DiedError{Name: name, Log: string(log[max(0, len(log)-logTail):])}
		default:
		}
	}
	return nil
}

// stopGrace is how long processes may take to stop in order.
const stopGrace = 15 * time.Second

// Stop asks every process to stop, waits, and kills the rest. It returns the
// names of processes that did not exit with status 0.
func (s *Site) Stop() []string {
	s.mu.Lock()
	procs := make([]*Process, 0, len(s.procs))
	for _, p := range s.procs {
		procs = append(procs, p)
	}
	s.mu.Unlock()
	for _, p := range procs {
		p.Signal(syscall.SIGCONT)
		p.Signal(syscall.SIGTERM)
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopGrace)
	defer cancel()
	var bad []string
	for _, p := range procs {
		if p.Wait(ctx) != 0 {
			bad = append(bad, p.Name)
			p.Kill()
		}
	}
	return bad
}

// Close kills what still runs and removes the site's files.
func (s *Site) Close() {
	s.mu.Lock()
	for _, p := range s.procs {
		select {
		case <-p.done:
		default:
			p.Kill()
		}
	}
	s.mu.Unlock()
	s.lock.Close()
	os.RemoveAll(s.Dir)
}

// CommandError is a failed run of a program.
type CommandError struct {
	Program string
	Output  string
	Err     error
}

func (e *CommandError) Error() string { return fmt.Sprintf("%s: %v: %s", e.Program, e.Err, e.Output) }

func (e *CommandError) Unwrap() error { return e.Err }

// Ctl runs cassiatrayctl on the site's platform and returns its output.
func (s *Site) Ctl(ctx context.Context, args ...string) (string, error) {
	args = append([]string{"--platform", s.Store.String()}, args...)
	out, err := exec.CommandContext(ctx, filepath.Join(s.bin, "cassiatrayctl"), args...).CombinedOutput()
	if err != nil {
		return string(out), &CommandError{Program: "cassiatrayctl", Output: string(out), Err: err}
	}
	return string(out), nil
}
