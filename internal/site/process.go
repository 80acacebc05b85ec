package site

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"sync/atomic"
	"syscall"
)

// Process is one started process.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
	// ended is set once this process was told to end.
	ended atomic.Bool
}

// DiedError is a process that ended by itself.
type DiedError struct {
	Name string
	// Log is the end of the process's log.
	Log string
}

func (e *DiedError) Error() string { return fmt.Sprintf("%s died: %s", e.Name, e.Log) }

// Signal sends a signal to the process.
func (p *Process) Signal(sig os.Signal) error {
	if sig == syscall.SIGTERM || sig == syscall.SIGINT || sig == syscall.SIGKILL {
		p.ended.Store(true)
	}
	return p.cmd.Process.Signal(sig)
}

// Wait waits for the process to end and returns its exit status, or -1 when a
// signal ended it or the context did first.
func (p *Process) Wait(ctx context.Context) int {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-ctx.Done():
		return -1
	}
}

// Kill ends the process at once and waits for it.
func (p *Process) Kill() {
	p.ended.Store(true)
	p.cmd.Process.Kill()
	<-p.done
}
