package memory

import (
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"cassiatray/internal/core/document"
	"cassiatray/internal/core/membudget"
	"cassiatray/internal/settings"
)

// minBudget is the least budget, in bytes: a body and an answer of the sizes that are buffered.
const minBudget = 1 << 20

// heapShare is the part of the memory limit below which the collector keeps the heap. The rest is
// for the program itself, the kernel's buffers, and garbage of callers that come back at once while
// the process gets little of a processor.
const heapShare = 0.65

// Settings are the keys by which every daemon is given its limits.
type Settings struct {
	Memory, Budget           document.Size
	Descriptors, Connections int
}

// Check returns the faults of the settings.
func (s Settings) Check(lines document.Lines) []document.Problem {
	var out []document.Problem
	if s.Budget != 0 && s.Budget < minBudget {
		out = append(out, settings.Fault(lines, "memoryBudget", "expected at least 1MiB, got %d bytes", s.Budget))
	}
	if s.Memory > 0 && s.Budget > s.Memory {
		out = append(out, settings.Fault(lines, "memoryBudget", "expected no more than memory"))
	}
	if s.Descriptors < 0 || s.Descriptors > 0 && s.Descriptors <= membudget.FileDescriptors {
		out = append(out, settings.Fault(lines, "descriptors", "expected more than the %d for files, got %d", membudget.FileDescriptors, s.Descriptors))
	}
	if s.Connections < 0 {
		out = append(out, settings.Fault(lines, "connections", "expected no negative number, got %d", s.Connections))
	}
	return out
}

// Limits returns the limits of a process that may open processLimit descriptors; 0 if that is not
// known.
func (s Settings) Limits(processLimit int64) membudget.Limits {
	out := membudget.Limits{Memory: int64(s.Memory), Budget: int64(s.Budget), Descriptors: processLimit, Connections: s.Connections}
	if s.Descriptors > 0 && (processLimit <= 0 || int64(s.Descriptors) < processLimit) {
		out.Descriptors = int64(s.Descriptors)
	}
	return out
}

// WithMachine returns the settings with the machine's memory where they name none.
func (s Settings) WithMachine(log *logrus.Entry) Settings {
	if s.Memory > 0 {
		return s
	}
	bytes, err := Machine()
	if err != nil {
		log.WithError(err).Warn("No memory limit.")
		return s
	}
	s.Memory = document.Size(bytes)
	return s
}

// LimitHeap has the collector keep the heap within a process's memory limit.
func LimitHeap(l membudget.Limits) {
	if l.Memory > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(l.Memory)))
	}
}
