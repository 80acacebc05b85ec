package port

import (
	"net/http"
	"strconv"
	"time"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/routing"
)

// CallerMeta is what the headers of a caller's request say.
type CallerMeta struct {
	// ID names this attempt of the caller; empty when it gave none.
	ID string
	// Object names what the request is about; empty when it is about nothing
	// that others share.
	Object string
	// Left is how long the caller will wait; zero when it does not say.
	Left time.Duration
	// Key is the customer's key that the caller gave; empty for none. It is not to be logged
	// or passed on.
	Key string
}

// ServerMeta is what the headers of a backend server's answer say.
type ServerMeta struct {
	// ID is the echoed attempt; empty when there is none.
	ID string
	// Signed is set when the server itself made the answer.
	Signed bool
	// NotRun is set when the server proves that it did not run the request.
	NotRun bool
	// OtherInstance is set when the process at the address is not the one the
	// request was meant for.
	OtherInstance bool
	// Instance is the server's own name for its process; empty when not said.
	Instance string
	// Cold is how much longer the server stays cold; zero when warm.
	Cold time.Duration
	// Load is nil when the server does not tell it.
	Load *ServerLoad
	// Limit is how many requests per second the server takes from all gateways
	// together; nil if the response names no limit. LimitError is set instead if it
	// names one that cannot be read.
	Limit      *float64
	LimitError error
	// Leaving is set when the server says that it leaves.
	Leaving bool
	// Pause is for how long the server wants no requests from this gateway; zero for no
	// pause.
	Pause time.Duration
	// SignalErrors are what of Leaving and Pause cannot be read.
	SignalErrors []error
	// Unknown are the names of headers that servers have for gateways, and that this one
	// does not know.
	Unknown []string
}

// HeaderError is a header of a response that cannot be read.
type HeaderError struct{ Name, Value string }

func (e *HeaderError) Error() string { return "header " + e.Name + ": " + strconv.Quote(e.Value) }

// ServerLoad is a server's own count of its requests.
type ServerLoad struct {
	Running, Waiting, Slots int
	// Slowdown is how many times as long as usual work takes at the server just now; zero if it
	// does not say.
	Slowdown float64
}

// HasRoom reports whether the server has a free slot. A server that does not tell
// its load is not known to have one.
func (l *ServerLoad) HasRoom() bool { return l != nil && l.Running+l.Waiting < l.Slots }

// Dialect is how callers and backend servers write down what the gateway needs
// to know. An adapter implements it for the headers of one platform.
type Dialect interface {
	// Caller reads a caller's headers.
	Caller(h http.Header) CallerMeta
	// Forward sets the headers of a request to a backend server: the time left
	// and the process that it is meant for.
	Forward(h http.Header, left time.Duration, instance string)
	// Identify removes the caller's key from the headers of a request to a backend server and
	// names the customer instead, whatever the caller said; empty for none.
	Identify(h http.Header, customer string)
	// Server reads the headers of a backend server's answer.
	Server(status int, h http.Header) ServerMeta
}

// RecordKind says what a key of the platform's store holds.
type RecordKind int

// Values of RecordKind.
const (
	RecordOther RecordKind = iota
	// RecordConfig is the routing configuration.
	RecordConfig
	// RecordEvacuation asks that a failure domain's servers get no work.
	RecordEvacuation
	// RecordServer is what a backend server says of itself.
	RecordServer
	// RecordMember is a gateway of this system.
	RecordMember
)

// Schema decodes the records of the platform's store.
type Schema interface {
	// Kind returns what a key holds and the name at its end: the failure
	// domain, the server or the host.
	Kind(key string) (RecordKind, string)
	// MemberKey is the key of a gateway's own record.
	MemberKey(host string) string
	// Config decodes a routing configuration. Errors: *RecordError.
	Config(value []byte) (*routing.Config, error)
	// Server decodes a backend server's record. Errors: *RecordError.
	Server(id string, value []byte) (fleet.Record, error)
}

// RecordError is a record that cannot be used.
type RecordError struct {
	Key    string
	Field  string
	Reason string
}

func (e *RecordError) Error() string {
	if e.Field == "" {
		return "record " + e.Key + ": " + e.Reason
	}
	return "record " + e.Key + ": field " + e.Field + ": " + e.Reason
}
