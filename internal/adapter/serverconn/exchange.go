package serverconn

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"cassiatray/internal/adapter/bounded"
	"cassiatray/internal/port"
)

const (
	// wholeLimit is up to which size an answer is read whole before any of it
	// is passed on, in bytes. Larger ones are streamed.
	wholeLimit = 256 << 10
	// maxForeign is how many answers to other requests are passed over before
	// the connection is given up.
	maxForeign = 3
	// maxCopied is up to which size a request's body is copied, to be written with its head, in
	// bytes.
	maxCopied = 16 << 10
	// drainLimit bounds the body of an answer that is passed over, in bytes.
	drainLimit = 1 << 20
)

// ForeignError is an answer that belongs to another request.
type ForeignError struct{ Want, Got string }

func (e *ForeignError) Error() string {
	return fmt.Sprintf("answer to request %q while waiting for %q", e.Got, e.Want)
}

// UnsignedError is a success that no server vouches for.
type UnsignedError struct{ ID string }

func (e *UnsignedError) Error() string { return fmt.Sprintf("unsigned success for request %q", e.ID) }

// Forward implements port.Forwarder.
func (p *Pool) Forward(ctx context.Context, address string, r *port.ForwardRequest) (*port.ForwardAnswer, error) {
	c, opened, err := p.take(ctx, address, r)
	if err != nil {
		return nil, connectError(ctx, address, err)
	}
	if r.Admit != nil {
		if err := r.Admit(); err != nil {
			p.putBack(address, c, opened)
			return nil, &port.BackendError{Code: port.BackendWithdrawn, Address: address, Err: err}
		}
	}
	if deadline, ok := ctx.Deadline(); ok {
		c.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Now()) })
	a, err := p.exchange(ctx, address, c, r, stop)
	if err != nil {
		stop()
		c.Close()
		return nil, err
	}
	a.Opened = opened
	return a, nil
}

func (p *Pool) exchange(ctx context.Context, address string, c *conn, r *port.ForwardRequest, stop func() bool) (*port.ForwardAnswer, error) {
	began := p.now()
	sent, err := write(c, r)
	if body := (*port.BodyError)(nil); errors.As(err, &body) {
		// The server waits for the rest of the body, and is told by the end of the connection.
		return nil, &port.BackendError{Code: port.BackendCanceled, Address: address, Sent: sent > 0, Err: err}
	}
	if err != nil && (sent == 0 || !answered(c)) {
		return nil, brokenError(ctx, address, sent > 0, err)
	}
	early := err != nil
	resp, skipped, err := p.answer(c, r)
	atOnce := false
	if err == nil || !early {
		// A server that has sent a part of an answer has not forgotten the connection.
		atOnce = p.recordReset(address, c, began, err)
	}
	if err != nil {
		be := brokenError(ctx, address, true, err)
		be.ResetAtOnce = atOnce
		return nil, be
	}
	a := &port.ForwardAnswer{Status: resp.StatusCode, Header: resp.Header, Meta: p.dialect.Server(resp.StatusCode, resp.Header), Closing: resp.Close}
	a.Unframed = resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
	if !a.Meta.Signed && resp.StatusCode < http.StatusMultipleChoices {
		return nil, brokenError(ctx, address, true, &UnsignedError{ID: r.ID})
	}
	r.HoldHead(headBytes(resp.Header) + c.r.Size() - bufferSize)
	hold := r.HoldBytes
	if a.Meta.NotRun {
		// It is a proof only once it is read whole.
		hold = func(int) bool { return true }
	}
	body, whole, _, err := bounded.Read(resp.Body, resp.ContentLength, wholeLimit, hold)
	if err != nil {
		be := shortError(ctx, address, err)
		be.Meta = a.Meta
		return nil, be
	}
	a.Body = body
	if a.Meta.NotRun {
		c.refused = append(c.refused, hashID(r.ID))
		a.Conn = port.ConnUse{Local: c.LocalAddr().String(), Answers: c.answers, Skipped: skipped}
	}
	c.answers++
	// Behind an answer without an ID, a later one could be its copy.
	reuse := a.Meta.ID != "" && !resp.Close && skipped == 0 && !early && len(c.refused) < maxRefused
	if !whole {
		a.Rest = &rest{ctx: ctx, address: address, body: resp.Body, end: func() { stop(); c.Close() }}
		return a, nil
	}
	if !stop() || !reuse || c.r.Buffered() > 0 {
		c.Close()
		return a, nil
	}
	keep, promised := keepFor(resp.Header)
	p.put(address, c, keep, promised)
	return a, nil
}

// rest is the part of an answer that is streamed.
type rest struct {
	ctx     context.Context
	address string
	body    io.Reader
	end     func()
}

// Read implements io.Reader.
//
// Errors: *port.BackendError.
func (r *rest) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = shortError(r.ctx, r.address, err)
	}
	return n, err
}

// Close implements io.Closer.
func (r *rest) Close() error {
	r.end()
	return nil
}

// answered reports whether a server has answered before it read the whole
// request: its answer is then still to be read.
func answered(c *conn) bool {
	_, err := c.r.Peek(1)
	return err == nil
}

// answer reads the answer that names this request. A server may send answers
// to earlier requests once more; those are passed over, and counted. A refusal that names none counts
// only as the first answer of its connection: later it may belong to no request, and ends the wait
// as an answer to another.
func (p *Pool) answer(c *conn, r *port.ForwardRequest) (*http.Response, int, error) {
	req := &http.Request{Method: r.Method}
	for skipped := 0; ; {
		c.limit.Begin(maxHead)
		resp, err := c.readHead(req)
		c.limit.End()
		if err != nil {
			return nil, skipped, err
		}
		meta := p.dialect.Server(resp.StatusCode, resp.Header)
		unnamed := meta.ID == "" && (meta.NotRun || meta.OtherInstance)
		if meta.ID == r.ID || unnamed && c.answers == 0 && skipped == 0 {
			return resp, skipped, nil
		}
		if unnamed {
			return nil, skipped, &ForeignError{Want: r.ID}
		}
		skipped++
		if _, err := io.CopyN(io.Discard, resp.Body, drainLimit); !errors.Is(err, io.EOF) || skipped > maxForeign || resp.Close {
			return nil, skipped, &ForeignError{Want: r.ID, Got: meta.ID}
		}
	}
}

// write sends a request and returns how many bytes were given to the network.
func write(c *conn, r *port.ForwardRequest) (int64, error) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	if err := r.Header.Write(&b); err != nil {
		return 0, err
	}
	chunked := r.Rest != nil && r.Size < 0
	switch {
	case chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	case r.Size > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead:
		b.WriteString("Content-Length: " + strconv.FormatInt(max(0, r.Size), 10) + "\r\n\r\n")
	default:
		b.WriteString("\r\n")
	}
	apart := len(r.Body) > maxCopied
	if !chunked && !apart {
		b.Write(r.Body)
	}
	n, err := c.Write(b.Bytes())
	if err == nil && !chunked && apart {
		var m int
		m, err = c.Write(r.Body)
		n += m
	}
	if err != nil || r.Rest == nil {
		return int64(n), err
	}
	if !chunked {
		m, err := io.Copy(c, r.Rest)
		return int64(n) + m, err
	}
	return writeChunks(c, int64(n), io.MultiReader(bytes.NewReader(r.Body), r.Rest))
}

func writeChunks(w io.Writer, sent int64, body io.Reader) (int64, error) {
	buf := make([]byte, 32<<10)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, werr := fmt.Fprintf(w, "%x\r\n%s\r\n", n, buf[:n]); werr != nil {
				return sent, werr
			}
			sent += int64(n)
		}
		if errors.Is(err, io.EOF) {
			_, err = io.WriteString(w, "0\r\n\r\n")
			return sent, err
		}
		if err != nil {
			return sent, err
		}
	}
}

// keepFor returns how long a connection may be used after an answer, and whether the
// server states an idle timeout.
func keepFor(h http.Header) (time.Duration, bool) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Duration(float64(seconds) * idleShare * float64(time.Second)), true
		}
	}
	return idleDefault, false
}

func connectError(ctx context.Context, address string, err error) error {
	code := port.BackendConnect
	var closed *ClosedError
	switch {
	case errors.As(err, &closed):
		code = port.BackendRestarted
	case errors.Is(err, syscall.ECONNREFUSED):
		code = port.BackendRefused
	case errors.Is(ctx.Err(), context.Canceled):
		code = port.BackendCanceled
	}
	return &port.BackendError{Code: code, Address: address, Err: err}
}

func brokenError(ctx context.Context, address string, sent bool, err error) *port.BackendError {
	code := port.BackendBroken
	var timeout net.Error
	var foreign *ForeignError
	var unsigned *UnsignedError
	switch {
	case errors.As(err, &foreign), errors.As(err, &unsigned):
		code = port.BackendMismatch
	case errors.Is(ctx.Err(), context.Canceled):
		code = port.BackendCanceled
	case ctx.Err() != nil || errors.As(err, &timeout) && timeout.Timeout() && !errors.Is(err, syscall.ETIMEDOUT):
		code = port.BackendTimeout
	}
	return &port.BackendError{Code: code, Address: address, Sent: sent, Err: err}
}

func shortError(ctx context.Context, address string, err error) *port.BackendError {
	be := brokenError(ctx, address, true, err)
	if be.Code == port.BackendBroken {
		be.Code = port.BackendShort
	}
	return be
}
