package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"cassiatray/internal/adapter/callerconn"
	"cassiatray/internal/sleep"
)

// Parts of the time that a process may take to stop.
const (
	// lingerShare is the part in which a stopping gateway still takes requests
	// of callers that hold an older answer of the directory. Requests that come later might
	// not end in time, and are refused.
	lingerShare = 0.45
	// exitReserve is kept free at the end for the process to exit.
	exitReserve = 800 * time.Millisecond
)

// Ready reports whether callers may be sent here.
func (n *Node) Ready() bool { return n.syncer.Ready() && !n.stopping.Load() }

// stop takes the gateway out of the directory, serves callers that do not know
// yet, and ends once every request in flight has been answered.
func (n *Node) stop(ctx context.Context, callers *callerconn.Server) error {
	grace := time.Duration(n.bounds.Load().Grace)
	end := time.Now().Add(grace - exitReserve)
	n.stopping.Store(true)
	n.log.WithField("grace_ms", grace.Milliseconds()).Info("Stopping: out of the directory.")
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	go n.syncer.Leave(ctx)
	sleep.For(ctx, time.Duration(lingerShare*float64(grace)))
	n.refusing.Store(true)
	n.log.WithField("in_flight", n.inFlight.Load()).Info("Stopping: no new requests.")
	err := n.endCallers(ctx, callers)
	n.awaitRelayed(ctx)
	n.log.WithFields(logrus.Fields{"in_flight": n.inFlight.Load()}).Info("Stopping: requests ended.")
	return err
}

// CutError means that requests were cut off at the end of the grace period while servers were at
// work on them.
type CutError struct{ Requests int }

func (e *CutError) Error() string { return fmt.Sprintf("%d requests cut off at servers", e.Requests) }

// endCallers waits until all requests are answered. Callers that have not sent their request whole
// by the end, or have not taken its answer, do not make the stop a failure.
//
// Errors: *CutError.
func (n *Node) endCallers(ctx context.Context, callers *callerconn.Server) error {
	if err := callers.Shutdown(ctx); err == nil {
		return nil
	}
	open, waiting := callers.Connections(), callers.Waiting()
	callers.Abort()
	n.log.WithFields(logrus.Fields{"connections": open, "at_servers": waiting}).Warn("Stopping: connections cut off at the end of the grace period.")
	if waiting > 0 {
		return &CutError{Requests: waiting}
	}
	return nil
}
