package membudget

// budgetShare is the default part of the memory limit for what is held for others. The rest is for
// the process's own state, the collector, and the kernel's buffers.
const budgetShare = 0.35

// Limits are what a process may use, in all and for others.
type Limits struct {
	// Memory is the process's memory limit, in bytes; zero for none.
	Memory int64
	// Budget is what may be held for others, in bytes; zero for a share of Memory.
	Budget int64
	// Descriptors is how many descriptors the process may open; zero if that is not known.
	Descriptors int64
	// Connections is how many connections callers may have; zero for a part of Descriptors that
	// fits the budget.
	Connections int
}

// BudgetBytes returns the bytes that may be held for others; 0 for any number.
func (l Limits) BudgetBytes() int64 {
	if l.Budget > 0 {
		return l.Budget
	}
	return int64(budgetShare * float64(l.Memory))
}

// MaxConnections returns how many connections callers may have; 0 for any number.
func (l Limits) MaxConnections() int {
	if l.Connections > 0 {
		return l.Connections
	}
	return Connections(l.Descriptors, l.BudgetBytes())
}

// messageShare is the part of the memory limit for messages of peers, which are held a second time
// while they are decoded.
const messageShare = 1.0 / 16

// MessageBytes returns how many bytes of peers' messages may be held at once; 0 for any number. The
// largest message fits in any case.
func (l Limits) MessageBytes(largest int64) int64 {
	if l.Memory <= 0 {
		return 0
	}
	return max(largest, int64(messageShare*float64(l.Memory)))
}
