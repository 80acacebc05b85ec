package site

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Usage is what a process has used so far.
type Usage struct {
	CPU time.Duration
	// Resident is the memory it holds now, and Peak the most it has held, in bytes.
	Resident, Peak int64
	// Descriptors is how many it has open.
	Descriptors int
}

// Units of /proc.
const (
	clockTick = 10 * time.Millisecond // 100 ticks a second
	pageSize  = 4096
	// Fields of /proc/<pid>/stat after the program's name.
	fieldUserTime   = 11
	fieldSystemTime = 12
	fieldResident   = 21
)

// UsageError is a process whose usage cannot be read.
type UsageError struct {
	Name string
	Err  error
}

func (e *UsageError) Error() string { return fmt.Sprintf("usage of %s: %v", e.Name, e.Err) }

func (e *UsageError) Unwrap() error { return e.Err }

// Usage reads what the process has used from /proc.
func (p *Process) Usage() (Usage, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return Usage{}, &UsageError{Name: p.Name, Err: err}
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= fieldResident {
		return Usage{}, &UsageError{Name: p.Name, Err: os.ErrInvalid}
	}
	var values [3]int64
	for i, f := range []int{fieldUserTime, fieldSystemTime, fieldResident} {
		if values[i], err = strconv.ParseInt(fields[f], 10, 64); err != nil {
			return Usage{}, &UsageError{Name: p.Name, Err: err}
		}
	}
	out := Usage{CPU: time.Duration(values[0]+values[1]) * clockTick, Resident: values[2] * pageSize}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return Usage{}, &UsageError{Name: p.Name, Err: err}
	}
	out.Descriptors = len(open)
	if out.Peak, err = p.peak(); err != nil {
		return Usage{}, &UsageError{Name: p.Name, Err: err}
	}
	return out, nil
}

// peak returns the most memory that the process has held, in bytes.
func (p *Process) peak() (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, rest, ok := strings.Cut(string(status), "VmHWM:")
	fields := strings.Fields(rest)
	if !ok || len(fields) == 0 {
		return 0, os.ErrInvalid
	}
	kb, err := strconv.ParseInt(fields[0], 10, 64)
	return kb << 10, err
}
