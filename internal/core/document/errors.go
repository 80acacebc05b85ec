package document

// sectionFault is a fault of a section that needs no further detail.
type sectionFault string

func (f sectionFault) Error() string { return string(f) }

// Faults wrapped by SectionError.
const (
	ErrHash        sectionFault = "data does not match its hash"
	ErrSectionSize sectionFault = "more than a megabyte"
)

// Faults of a delta that does not lead to its head.
const (
	// ErrDeltaBase means that the delta starts from another sequence.
	ErrDeltaBase sectionFault = "delta starts from another sequence"
	// ErrDeltaResult means that the delta gives other sections than the head
	// names.
	ErrDeltaResult sectionFault = "delta does not give the sections of its head"
)
