package document

// sentinelError is a constant error about a section.
type sentinelError string

func (e sentinelError) Error() string { return string(e) }

// Errors wrapped by SectionError.
const (
	ErrHash        sentinelError = "data does not match its hash"
	ErrSectionSize sentinelError = "data is larger than one megabyte"
)

// Errors of a delta that does not lead to its head.
const (
	// ErrDeltaBase means that the delta starts from a different sequence than
	// that of the replica.
	ErrDeltaBase sentinelError = "delta starts from a different sequence"
	// ErrDeltaResult means that the delta produces different sections than its
	// head refers to.
	ErrDeltaResult sentinelError = "delta does not produce the sections of its head"
)
