package port

import (
	"fmt"
	"net/http"
)

// MaxStatus is the highest status that HTTP can carry: a status has three digits. Those above 599
// belong to no class, and callers treat them as server errors (RFC 9110, section 15).
const MaxStatus = 999

// IsFinalStatus reports whether a response with the status ends an exchange.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= MaxStatus }

// IsInterimStatus reports whether a response with the status precedes the final one. Status 101
// does not: it ends HTTP on the connection, which this system never asks for.
func IsInterimStatus(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// StatusError is a response whose status is neither interim nor final. What follows it on its
// connection cannot be told apart.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("status %03d is no response", e.Status) }
