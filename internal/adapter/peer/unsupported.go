package peer

// UnsupportedError is an exchange that a process does not answer.
type UnsupportedError struct{ Body string }

func (e *UnsupportedError) Error() string { return "unsupported exchange " + e.Body }

// ErrorCode implements CodedError.
func (e *UnsupportedError) ErrorCode() string { return "unsupported" }
