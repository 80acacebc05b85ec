package callerconn

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"
)

// RequestError is a request that cannot be read, with the status that says so.
type RequestError struct {
	Status int
	Reason string
	Err    error
}

func (e *RequestError) Error() string {
	if e.Err == nil {
		return e.Reason
	}
	return e.Reason + ": " + e.Err.Error()
}

func (e *RequestError) Unwrap() error { return e.Err }

// read reads one request's head. It returns a status for what is no proper
// request, and zero when the caller is gone.
//
// Errors: *RequestError.
func (c *conn) read(limits Limits) (*http.Request, int, error) {
	if limits.HeadTimeout > 0 {
		c.headUntil = time.Now().Add(limits.HeadTimeout)
	}
	most := int64(limits.HeadBytes)
	if most <= 0 {
		most = http.DefaultMaxHeaderBytes
	}
	// What is buffered of later requests counts, too.
	c.limit.Begin(most + bufferSize)
	r, err := c.parse(limits.HeadLines)
	c.limit.End()
	c.headUntil = time.Time{}
	if c.timed {
		c.timed = false
		c.nc.SetReadDeadline(time.Time{})
	}
	// The texts of the parser's errors quote the line that is malformed, or cut short, which may hold
	// a caller's key: only errors of the connection are kept.
	status, reason := 0, ""
	switch {
	case err == nil:
		status, reason = check(r)
	case errors.Is(err, errNoRoom) || errors.Is(c.limit.Err(), errNoRoom):
		status, reason = http.StatusServiceUnavailable, "no memory for the head"
	case c.limit.Exceeded() || errors.Is(err, errLines) || errors.Is(c.limit.Err(), errLines):
		status, reason, err = http.StatusRequestHeaderFieldsTooLarge, "head over the limit", nil
	case isTimeout(c.limit.Err()):
		status, reason, err = http.StatusRequestTimeout, "head not whole in time", c.limit.Err()
	case c.limit.Err() != nil || errors.Is(err, io.ErrUnexpectedEOF):
		reason, err = "head broken off", c.limit.Err()
	case strings.Contains(err.Error(), "unsupported transfer encoding"):
		status, reason = http.StatusNotImplemented, "transfer encoding not known"
	default:
		status, reason, err = http.StatusBadRequest, "no request", nil
	}
	if reason != "" {
		return nil, status, &RequestError{Status: status, Reason: reason, Err: err}
	}
	r.RemoteAddr = c.remote
	return r, 0, nil
}

// parse reads a head and counts what it holds.
func (c *conn) parse(lines int) (*http.Request, error) {
	buffered, err := c.r.Peek(c.r.Buffered())
	if err != nil {
		return nil, err
	}
	if err := c.head.begin(c, buffered, lines); err != nil {
		return nil, err
	}
	r, err := http.ReadRequest(c.r)
	if err == nil && !c.head.keep() {
		return nil, errNoRoom
	}
	return r, err
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// check holds a request against what net/http's parser lets pass.
func check(r *http.Request) (int, string) {
	if r.ProtoMajor != 1 {
		return http.StatusHTTPVersionNotSupported, fmt.Sprintf("protocol %s", r.Proto)
	}
	if r.Host == "" && r.ProtoAtLeast(1, 1) {
		return http.StatusBadRequest, "no host"
	}
	if !httpguts.ValidHostHeader(r.Host) {
		return http.StatusBadRequest, "bad host"
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return http.StatusBadRequest, "bad header name"
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return http.StatusBadRequest, "bad header value"
			}
		}
	}
	if e := r.Header.Get("Expect"); e != "" && !expectsContinue(r) {
		return http.StatusExpectationFailed, "expectation not known"
	}
	return 0, ""
}

func expectsContinue(r *http.Request) bool {
	return strings.EqualFold(r.Header.Get("Expect"), "100-continue")
}

// reject answers what was no request, behind the answers that are due before it,
// and ends the connection.
func (c *conn) reject(status int, err error) {
	if c.s.Refused != nil {
		c.s.Refused(c.remote, status, err)
	}
	if status == 0 {
		c.cancel()
		return
	}
	c.mu.Lock()
	before := c.last
	x := &exchange{c: c, r: &http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1, Close: true}, before: before, sent: make(chan struct{})}
	c.last = x.sent
	c.inHand++
	c.mu.Unlock()
	var body []byte
	x.header, body = c.s.refusal(status, err)
	x.WriteHeader(status)
	if _, err := x.Write(body); err != nil {
		x.err = err
	}
	broken := x.finish() != nil
	c.ended(x, broken)
}

// requestBody is a request's body. Once it is read to its end, the reader goes
// on to the next request.
type requestBody struct {
	x    *exchange
	from io.ReadCloser
	// request is the one that the parser gives the body's trailers.
	request *http.Request
	// done is set once the body is read to its end or given up, failed in the
	// second case: nothing can follow it. Both are set by end alone, once.
	done, failed bool
}

// end notes that no more of the body is read. Only the first call counts.
func (b *requestBody) end(failed bool) {
	if b.done {
		return
	}
	b.done, b.failed = true, failed
	b.x.c.bodyBegan.Store(0)
	// Nobody is told of trailers, which may hold many times their text.
	b.request.Trailer = nil
	if !failed {
		b.x.c.noteBehind()
		close(b.x.bodyRead)
	}
}

// release lets the reader go on after a body that was given up, once the
// connection's state says so.
func (b *requestBody) release() {
	if b.failed {
		close(b.x.bodyRead)
	}
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	if err := b.x.sendContinue(); err != nil {
		return 0, err
	}
	c := b.x.c
	wait := max(1, int64(time.Since(c.opened)))
	c.bodyWait.Store(wait)
	c.bodyBegan.CompareAndSwap(0, wait)
	n, err := b.from.Read(p)
	c.bodyWait.Store(0)
	b.x.hold.Moved(n, time.Now())
	c.narrow()
	if err != nil {
		b.end(!errors.Is(err, io.EOF))
	}
	return n, err
}

// Close implements io.Closer. What is unread is read by the exchange's end.
func (b *requestBody) Close() error { return nil }

// drain reads a small rest of the body, and reports whether the connection can
// be kept: the body is read to its end, of which the last byte may tell already.
func (b *requestBody) drain() bool {
	if b.done {
		return !b.failed
	}
	if b.x.expecting() {
		// The caller was not told to send its body.
		return false
	}
	if _, err := io.CopyN(io.Discard, b, maxUnread+1); err != nil && !errors.Is(err, io.EOF) {
		return false
	}
	return b.done && !b.failed
}
