package client

import (
	"context"
	"time"

	"cassiatray/api"
)

// Limits of one at-most-once request.
const (
	// maxIDs bounds how many IDs a request is given, each after the one before
	// provably did not run.
	maxIDs = 3
	// maxCopies bounds how often one ID is sent.
	maxCopies = 5
	// resendPause is the pause before a copy, times the number of copies sent.
	resendPause = 100 * time.Millisecond
)

// once sends an at-most-once request.
func (c *Client) once(ctx context.Context, r *Request) (*Answer, error) {
	if r.OperationID != "" {
		return c.again(ctx, r)
	}
	var out *Answer
	var fail *Error
	for range maxIDs {
		lookup, err := c.Lookup(ctx, r.Service)
		if err != nil {
			return nil, err
		}
		var anew bool
		out, fail, anew = c.first(ctx, r, lookup)
		if !anew || ctx.Err() != nil {
			break
		}
		c.expire(r.Service)
	}
	if fail != nil {
		return nil, fail
	}
	return out, nil
}

// first sends a request under a new ID to the first host that can be reached,
// and resends it there and elsewhere until the outcome is known. It reports
// whether the request may be sent under yet another ID.
func (c *Client) first(ctx context.Context, r *Request, lookup *api.Lookup) (*Answer, *Error, bool) {
	last := &Error{Err: noHost().Error}
	for _, h := range lookup.Hosts {
		id, err := api.NewOperationID(h)
		if err != nil {
			return nil, &Error{Err: &api.Error{Code: api.CodeBadOperation, Message: err.Error(), Outcome: api.OutcomeNotRun}}, false
		}
		out, fail := c.send(ctx, h.Address, r, id.String())
		if fail == nil {
			return out, nil, false
		}
		last = &Error{OperationID: id.String(), Err: fail.Error}
		switch {
		case fail.kind == unsent:
			// No copy of this ID exists: the next host gets its own.
			continue
		case fail.kind == answered && fail.Code == api.CodeOwnerGone:
			// The only copy was not passed on.
			last.Err.Outcome = api.OutcomeNotRun
			return nil, last, true
		case fail.Outcome == api.OutcomeNotRun:
			return nil, last, elsewhere(fail)
		case settled(fail):
			return nil, last, false
		}
		out, last = c.resend(ctx, r, id.String(), addresses(lookup))
		return out, last, last != nil && last.Err.Outcome == api.OutcomeNotRun && last.Err.Code == api.CodeStopping
	}
	return nil, last, true
}

// again asks for the outcome of an operation that was sent before.
func (c *Client) again(ctx context.Context, r *Request) (*Answer, error) {
	lookup, err := c.Lookup(ctx, r.Service)
	if err != nil {
		return nil, err
	}
	out, fail := c.resend(ctx, r, r.OperationID, addresses(lookup))
	if fail != nil {
		return nil, fail
	}
	return out, nil
}

func addresses(lookup *api.Lookup) []string {
	out := make([]string, 0, len(lookup.Hosts))
	for _, h := range lookup.Hosts {
		out = append(out, h.Address)
	}
	return out
}

// resend sends further copies of one ID to hosts in turn. Any host passes them
// to the one that may run them.
func (c *Client) resend(ctx context.Context, r *Request, id string, hosts []string) (*Answer, *Error) {
	last := &Error{OperationID: id, Err: &api.Error{Code: api.CodePeer, Message: "no answer", Outcome: api.OutcomeUnknown}}
	for i := range maxCopies {
		if len(hosts) == 0 || !sleep(ctx, time.Duration(i)*resendPause) {
			break
		}
		out, fail := c.send(ctx, hosts[i%len(hosts)], r, id)
		if fail == nil {
			return out, nil
		}
		if fail.kind == unsent {
			// Earlier copies may have run.
			fail.Outcome = api.OutcomeUnknown
		}
		last.Err = fail.Error
		if fail.Outcome == api.OutcomeNotRun || settled(fail) {
			break
		}
	}
	return nil, last
}

// settled reports whether an unknown outcome is final: another copy would be
// told the same.
func settled(fail *failure) bool {
	if fail.kind != answered {
		return false
	}
	switch fail.Code {
	case api.CodeOwnerGone, api.CodeOwnerUnreachable, api.CodeOverloaded, api.CodeNotReady:
		return false
	}
	return true
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
