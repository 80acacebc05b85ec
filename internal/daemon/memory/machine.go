// Package memory holds what the daemons share in bounding what they hold for others: limits of the
// machine, settings, metrics and log lines. See docs/design/memory.md.
package memory

import (
	"errors"
	"fmt"
	"sync"

	"github.com/KimMachineGun/automemlimit/memlimit"
	"golang.org/x/sys/unix"
)

// MachineError means that neither the control group nor the machine tells its memory.
type MachineError struct{ Err error }

func (e *MachineError) Error() string { return fmt.Sprintf("memory of the machine: %v", e.Err) }

func (e *MachineError) Unwrap() error { return e.Err }

// Machine returns the memory that the process may use where its settings name none, in bytes: the
// limit of its control group, or what the machine has. It is read once.
//
// Errors: *MachineError.
var Machine = sync.OnceValues(func() (int64, error) {
	group, groupErr := memlimit.FromCgroup()
	all, err := memlimit.FromSystem()
	switch {
	case groupErr == nil && (err != nil || group < all):
		return int64(group), nil
	case err == nil:
		return int64(all), nil
	}
	return 0, &MachineError{Err: errors.Join(groupErr, err)}
})

// maxDescriptorLimit is the largest descriptor limit that counts as one.
const maxDescriptorLimit = 1 << 30

// DescriptorLimit returns how many descriptors the process may open; 0 if that is not known.
func DescriptorLimit() int64 {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil || l.Cur > maxDescriptorLimit {
		return 0
	}
	return int64(l.Cur)
}
