package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"cassiatray/internal/core/membudget"
	"cassiatray/internal/daemon/memory"
	"cassiatray/internal/logging"
	peerv1 "cassiatray/proto/peer/v1"
)

const (
	// passBuffer is what a body that is passed on holds beside what is buffered of it, in bytes:
	// the buffer between the connections, and a chunk of it.
	passBuffer = 64 << 10
	// memoryRetryAfter is when a caller may come back for whose request there was no memory.
	memoryRetryAfter = time.Second
	// relayWindow is what the connection between two gateways keeps of a body that is passed on,
	// in bytes: the window of a yamux stream.
	relayWindow = 256 << 10
)

const (
	// reasonNoMemory is why a request is refused for which there is no memory.
	reasonNoMemory rejectReason = "memory budget used up"
	// reasonNoPlace is why a request is refused while too many others wait for servers.
	reasonNoPlace rejectReason = "too many requests wait for servers"
)

// memorySettings returns the settings of the gateway's limits.
func (s *Settings) memorySettings() memory.Settings {
	return memory.Settings{Memory: s.Memory, Budget: s.MemoryBudget, Descriptors: s.Descriptors, Connections: s.Connections}
}

// limits returns the limits of a process that may open processLimit descriptors; 0 if that is not
// known.
func (s *Settings) limits(processLimit int64) membudget.Limits {
	return s.memorySettings().Limits(processLimit)
}

// withMachineMemory returns the settings with the machine's memory where they name none.
func withMachineMemory(cfg *Settings, log *logrus.Logger) *Settings {
	out := *cfg
	out.Memory = cfg.memorySettings().WithMachine(logging.Part(log, "main")).Memory
	return &out
}

// holderOf returns what counts the bytes of the request that w answers; nil if nothing does.
func holderOf(w http.ResponseWriter) *membudget.Holder {
	if h, ok := w.(interface{ Hold() *membudget.Holder }); ok {
		return h.Hold()
	}
	return nil
}

// HoldBytes implements port.AnswerHolder: it asks for room for bytes of the request or its answer, or frees them if negative.
func (req *inflightRequest) HoldBytes(bytes int) bool {
	if bytes < 0 {
		req.hold.Shrink(-int64(bytes))
		return true
	}
	return req.hold.Grow(int64(bytes), time.Now())
}

// enterWorking notes that the request's body was read. It reports false if the request was ended
// in favour of others.
func (req *inflightRequest) enterWorking() bool {
	return req.hold.Enter(membudget.Working, time.Now())
}

// dropBody frees the request's body, which is sent to no more servers.
func (req *inflightRequest) dropBody() {
	req.hold.Shrink(int64(cap(req.body)))
	req.body = nil
}

// enterPassing notes that bytes are passed on between a server and the caller, who holds them up.
// One that another gateway relays cannot be ended there.
func (req *inflightRequest) enterPassing() {
	if req.origin == "" {
		req.hold.Enter(membudget.Passing, time.Now())
	}
}

// refuseBody gives up a request's body, of which no byte has reached a server, and tells the
// caller when to come back if there was no memory for it.
func refuseBody(w http.ResponseWriter, req *inflightRequest, status int) {
	switch status {
	case http.StatusServiceUnavailable:
		req.comeBackAfter = memoryRetryAfter
	case http.StatusRequestTimeout:
	default:
		return
	}
	w.Header().Set("Connection", "close")
	if g, ok := w.(interface{ GiveUpBody() }); ok {
		g.GiveUpBody()
	}
}

// relayHolder ends a relayed request whose body is read, in favour of others.
type relayHolder struct{ cancel context.CancelFunc }

// EndForOthers implements membudget.Owner.
func (h relayHolder) EndForOthers(membudget.Phase) { h.cancel() }

// holdsWindow reports whether an offered body is longer than what is buffered of it.
func holdsWindow(offer *peerv1.RelayOffer) bool {
	return offer.Size < 0 || offer.Size > maxBufferedBody
}

// group is what shares the places of waiting requests with others: a customer, or a route of
// callers without one.
func (req *inflightRequest) group() string {
	if req.customer != nil {
		return "customer " + req.customer.Name
	}
	return "route " + req.route.Name
}

// HoldHead implements port.AnswerHolder: it counts the head of an answer, which is held in any case.
func (req *inflightRequest) HoldHead(bytes int) { req.hold.Force(int64(bytes)) }
