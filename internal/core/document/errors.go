package document

// sectionFault is a fault of a section that needs no further detail.
type sectionFault string

func (f sectionFault) Error() string { return string(f) }

// Faults wrapped by SectionError.
const (
	ErrHash        sectionFault = "data does not match its hash"
	ErrSectionName sectionFault = "unknown section name"
)
