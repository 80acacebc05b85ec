package serverconn

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"cassiatray/internal/adapter/tcp"
	"cassiatray/internal/port"
)

const (
	// probeIdle is how long a connection is kept for the next check of its server: a few
	// intervals of the checks that are made while the store cannot say which servers are cold. A
	// check after a longer time finds out whether the server still accepts connections.
	probeIdle = time.Second
	// probeBody bounds the body of a response to a check that is read so that its connection
	// can be kept, in bytes.
	probeBody = 4 << 10
)

// Probe asks a server for its health, and returns what it says and its status. No request shares
// the connection, which is kept for the next check.
//
// Errors: *port.BackendError.
func (p *Pool) Probe(ctx context.Context, address, path string) (port.ServerMeta, int, error) {
	if c := p.takeProbe(address); c != nil {
		meta, status, err := p.probeOn(ctx, c, address, path)
		if err == nil || ctx.Err() != nil || !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return meta, status, err
		}
		// The server had closed the connection.
	}
	c, err := p.connect(ctx, address)
	if err != nil {
		return port.ServerMeta{}, 0, connectError(ctx, address, err)
	}
	return p.probeOn(ctx, c, address, path)
}

// takeProbe returns the connection that is kept for checks of a server, or nil.
func (p *Pool) takeProbe(address string) *conn {
	p.mu.Lock()
	c := p.probes[address]
	delete(p.probes, address)
	p.mu.Unlock()
	if c == nil {
		return nil
	}
	if p.now().After(c.until) || tcp.Peek(c.Conn) != tcp.Quiet {
		c.Close()
		return nil
	}
	return c
}

// probeOn makes a check on a connection.
func (p *Pool) probeOn(ctx context.Context, c *conn, address, path string) (port.ServerMeta, int, error) {
	keep := false
	defer func() {
		if !keep || !p.keepProbe(address, c) {
			c.Close()
		}
	}()
	if deadline, ok := ctx.Deadline(); ok {
		c.SetDeadline(deadline)
	}
	r := &port.ForwardRequest{Method: http.MethodGet, URI: path, Host: address, Header: http.Header{}}
	if sent, err := write(c, r); err != nil {
		return port.ServerMeta{}, 0, brokenError(ctx, address, sent > 0, err)
	}
	c.limit.Begin(maxHead)
	resp, err := c.readHead(&http.Request{Method: http.MethodGet})
	c.limit.End()
	if err != nil {
		return port.ServerMeta{}, 0, brokenError(ctx, address, true, err)
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, probeBody))
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	keep = err == nil && n < probeBody && framed && !resp.Close && c.r.Buffered() == 0
	return p.dialect.Server(resp.StatusCode, resp.Header), resp.StatusCode, nil
}

// keepProbe keeps a connection for the next check. It reports false if there is one.
func (p *Pool) keepProbe(address string, c *conn) bool {
	c.shrinkBuffer()
	c.SetDeadline(time.Time{})
	c.until = p.now().Add(probeIdle)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.probes[address] != nil {
		return false
	}
	p.probes[address] = c
	return true
}

// Connect opens a connection to a server and keeps it for a request.
//
// Errors: *port.BackendError.
func (p *Pool) Connect(ctx context.Context, address string) error {
	c, err := p.connect(ctx, address)
	if err != nil {
		return connectError(ctx, address, err)
	}
	p.put(address, c, idleDefault, false)
	return nil
}
