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
	// Resident is the memory it holds now, in bytes.
	Resident int64
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
	return Usage{CPU: time.Duration(values[0]+values[1]) * clockTick, Resident: values[2] * pageSize}, nil
}
