package operatorhttp

// NotReadyError says why a process cannot serve yet.
type NotReadyError struct{ Reason string }

func (e *NotReadyError) Error() string { return "not ready: " + e.Reason }
