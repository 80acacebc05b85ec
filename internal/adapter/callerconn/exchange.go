package callerconn

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"cassiatray/internal/core/membudget"
)

// exchange is one request and its answer. It implements http.ResponseWriter.
type exchange struct {
	c *conn
	r *http.Request
	// before is closed once the answers before this one are sent, and sent once
	// this one is.
	before, sent chan struct{}
	// headSize is the size of the request's head as it was sent, in bytes.
	headSize int
	// ahead is set when the request took room of those handled ahead.
	ahead bool
	// taken is set while the request counts as one in hand for the budget.
	taken bool
	// hold counts what the request and its answer hold.
	hold membudget.Holder
	body *requestBody
	// bodyRead is closed once the body is read or given up; nil without one.
	bodyRead chan struct{}

	header  http.Header
	status  int
	held    *bytes.Buffer
	started bool
	// chunked is set for an answer whose size is not known at its start, last
	// for the connection's last answer.
	chunked, last bool
	// size is the length that the answer declared, or -1; written what was
	// written of its body.
	size, written int64
	continued     bool
	err           error
}

// LengthError is an answer whose handler wrote less or more than it declared.
type LengthError struct{ Declared, Written int64 }

func (e *LengthError) Error() string {
	return fmt.Sprintf("answer of %d bytes declared with %d", e.Written, e.Declared)
}

// heldPool keeps the buffers in which answers are put together.
var heldPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// run handles a request in a goroutine that is free, or a new one.
func (s *Server) run(x *exchange) {
	select {
	case s.work <- x:
	default:
		go s.worker(x)
	}
}

// worker handles one request after another. A goroutine that has handled one has
// the stack for the next.
func (s *Server) worker(x *exchange) {
	for {
		x.run()
		x = nil
		if s.idleWorkers.Add(1) > maxIdleWorkers {
			s.idleWorkers.Add(-1)
			return
		}
		select {
		case x = <-s.work:
			s.idleWorkers.Add(-1)
		case <-s.stopped:
			return
		}
	}
}

// run handles the request and sends the rest of its answer.
func (x *exchange) run() {
	broken := true
	defer func() {
		if x.body != nil {
			x.body.end(true)
		}
		if x.held != nil {
			x.held.Reset()
			heldPool.Put(x.held)
			x.held = nil
		}
		<-x.before
		x.hold.Release()
		x.c.ended(x, broken)
		if x.body != nil {
			x.body.release()
		}
	}()
	if !x.handle() || x.abandoned() {
		return
	}
	if x.body != nil && !x.body.drain() {
		x.Header().Set("Connection", "close")
		x.body.end(true)
	}
	broken = x.finish() != nil
	if x.body != nil && x.body.failed && !x.last {
		x.c.claimLast(x, true)
	}
}

// abandoned reports whether the handler gave no answer because the caller has left. The caller
// may still read, and would take an empty answer for a success.
func (x *exchange) abandoned() bool {
	return x.status == 0 && (x.c.ctx.Err() != nil || x.body != nil && x.body.failed)
}

// handle runs the handler, and reports whether its answer is to be finished. For one that failed
// before any of its answer was sent, that is an answer of its own.
func (x *exchange) handle() (whole bool) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		whole = false
		if err, ok := p.(error); ok && errors.Is(err, http.ErrAbortHandler) {
			return
		}
		if x.c.s.Refused != nil {
			x.c.s.Refused(x.r.RemoteAddr, http.StatusInternalServerError, fmt.Errorf("handler failed: %v\n%s", p, debug.Stack()))
		}
		if !x.started {
			x.replace(http.StatusBadGateway)
			whole = true
		}
	}()
	if x.r.Method == http.MethodOptions && x.r.RequestURI == "*" && !x.c.s.PassOptions {
		// It asks about the server as a whole.
		return true
	}
	x.c.s.Handler.ServeHTTP(x, x.r)
	return true
}

// replace puts an empty last answer in the place of what the handler wrote. None of that is
// sent yet.
func (x *exchange) replace(status int) {
	if x.held != nil {
		x.held.Reset()
	}
	x.header = http.Header{"Content-Length": {"0"}, "Connection": {"close"}}
	x.status, x.written, x.err = 0, 0, nil
	x.WriteHeader(status)
}

// Header implements http.ResponseWriter.
func (x *exchange) Header() http.Header {
	if x.header == nil {
		x.header = http.Header{}
	}
	return x.header
}

// WriteHeader implements http.ResponseWriter.
func (x *exchange) WriteHeader(status int) {
	if x.status != 0 {
		return
	}
	x.status, x.size = status, -1
	if text := x.Header().Get("Content-Length"); text != "" {
		if size, err := strconv.ParseInt(text, 10, 64); err == nil && size >= 0 {
			x.size = size
		} else {
			x.header.Del("Content-Length")
		}
	}
}

// Write implements http.ResponseWriter. It holds the answer's begin; once that
// is more than maxHeld bytes it waits for the answers before and sends it.
func (x *exchange) Write(p []byte) (int, error) {
	if x.status == 0 {
		x.WriteHeader(http.StatusOK)
	}
	if x.err != nil {
		return 0, x.err
	}
	x.written += int64(len(p))
	if x.bodyless() {
		return len(p), nil
	}
	if x.size >= 0 && x.written > x.size {
		x.err = &LengthError{Declared: x.size, Written: x.written}
		return 0, x.err
	}
	if !x.started {
		if x.held == nil {
			x.held = heldPool.Get().(*bytes.Buffer)
		}
		if x.held.Len()+len(p) <= maxHeld {
			if more := int64(x.held.Len()+len(p)) - x.hold.Bytes(); more > smallAnswer {
				// Until earlier answers are sent, or the caller takes it. What the handler
				// holds of it is counted already.
				x.hold.Force(more)
			}
			return x.held.Write(p)
		}
		if x.err = x.start(false); x.err != nil {
			return 0, x.err
		}
	}
	if x.err = x.send(p); x.err != nil {
		return 0, x.err
	}
	return len(p), nil
}

// bodyless reports whether the answer has no body by its kind.
func (x *exchange) bodyless() bool {
	return x.r.Method == http.MethodHead || x.status == http.StatusNoContent || x.status == http.StatusNotModified || x.status < http.StatusOK
}

// finish sends what is left of the answer.
func (x *exchange) finish() error {
	if x.err != nil {
		return x.err
	}
	if x.status == 0 {
		x.WriteHeader(http.StatusOK)
	}
	if x.started {
		if x.chunked {
			return x.raw([]byte("0\r\n\r\n"))
		}
		if x.unframed() {
			x.c.resetAtClose(false)
		}
		return x.lengthError()
	}
	if err := x.lengthError(); err != nil {
		return err
	}
	return x.start(true)
}

// lengthError reports an answer that ends before its declared length.
func (x *exchange) lengthError() error {
	if !x.bodyless() && x.size >= 0 && x.written != x.size {
		return &LengthError{Declared: x.size, Written: x.written}
	}
	return nil
}

// start waits for the answers before, and sends the head and what is held. Whole
// is set when that is all of the answer.
func (x *exchange) start(whole bool) error {
	<-x.before
	x.started = true
	if x.held == nil {
		x.held = heldPool.Get().(*bytes.Buffer)
	}
	body := x.held.Bytes()
	if x.size < 0 && !x.bodyless() {
		if whole {
			x.size = int64(len(body))
		} else {
			x.chunked = x.r.ProtoAtLeast(1, 1)
		}
	}
	if x.unframed() {
		// Until the answer is whole, its end must not look like that of a whole one, even if the
		// process is killed.
		x.c.resetAtClose(true)
	}
	must := x.mustClose()
	x.last = (must || x.wantsClose()) && x.c.claimLast(x, must)
	head := heldPool.Get().(*bytes.Buffer)
	defer func() { head.Reset(); heldPool.Put(head) }()
	x.writeHead(head)
	switch {
	case x.bodyless():
	case !x.chunked && len(body) > smallAnswer:
		if err := x.raw(head.Bytes()); err != nil {
			return err
		}
		return x.raw(body)
	case x.chunked && len(body) == 0:
		// An empty chunk would end the body.
	case x.chunked:
		fmt.Fprintf(head, "%x\r\n", len(body))
		head.Write(body)
		head.WriteString("\r\n")
	default:
		head.Write(body)
	}
	return x.raw(head.Bytes())
}

// unframed reports whether only the end of the connection ends an answer that has started.
func (x *exchange) unframed() bool { return x.size < 0 && !x.chunked && !x.bodyless() }

// mustClose reports whether the connection cannot be used after this answer.
func (x *exchange) mustClose() bool {
	return x.unframed() || x.r.Close || !x.r.ProtoAtLeast(1, 1) || x.body != nil && x.body.failed
}

// wantsClose reports whether the connection is better not used after this answer.
func (x *exchange) wantsClose() bool {
	return x.c.s.draining.Load() || strings.EqualFold(x.header.Get("Connection"), "close")
}

// newlines are replaced in header values, as net/http does.
var newlines = strings.NewReplacer("\n", " ", "\r", " ")

func (x *exchange) writeHead(b *bytes.Buffer) {
	b.WriteString("HTTP/1.1 ")
	b.Write(strconv.AppendInt(b.AvailableBuffer(), int64(x.status), 10))
	b.WriteByte(' ')
	b.WriteString(http.StatusText(x.status))
	b.WriteString("\r\n")
	if _, ok := x.Header()["Date"]; !ok {
		b.WriteString("Date: ")
		b.Write(time.Now().UTC().AppendFormat(b.AvailableBuffer(), http.TimeFormat))
		b.WriteString("\r\n")
	}
	if x.size >= 0 && x.status != http.StatusNoContent && x.status >= http.StatusOK {
		b.WriteString("Content-Length: ")
		b.Write(strconv.AppendInt(b.AvailableBuffer(), x.size, 10))
		b.WriteString("\r\n")
	}
	for name, values := range x.header {
		if name == "Connection" || name == "Transfer-Encoding" || name == "Content-Length" {
			continue
		}
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			newlines.WriteString(b, v)
			b.WriteString("\r\n")
		}
	}
	if x.chunked {
		b.WriteString("Transfer-Encoding: chunked\r\n")
	}
	if x.last {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
}

// send sends a part of the body.
func (x *exchange) send(p []byte) error {
	if !x.chunked || len(p) == 0 {
		return x.raw(p)
	}
	b := heldPool.Get().(*bytes.Buffer)
	defer func() { b.Reset(); heldPool.Put(b) }()
	for chunk := range slices.Chunk(p, writePiece) {
		b.Reset()
		fmt.Fprintf(b, "%x\r\n", len(chunk))
		b.Write(chunk)
		b.WriteString("\r\n")
		if err := x.raw(b.Bytes()); err != nil {
			return err
		}
	}
	return nil
}

func (x *exchange) raw(p []byte) error {
	for {
		now := time.Now()
		x.c.writing.Store(max(1, int64(now.Sub(x.c.opened))))
		n, err := x.c.nc.Write(p[:min(len(p), writePiece)])
		x.c.writing.Store(0)
		if p = p[n:]; err != nil || len(p) == 0 {
			return err
		}
		x.hold.Moved(n, time.Now())
	}
}

// expecting reports whether the caller waits to be told to send its body.
func (x *exchange) expecting() bool {
	return x.body != nil && !x.continued && expectsContinue(x.r) && x.r.ProtoAtLeast(1, 1)
}

// sendContinue tells a caller that waits for it to send its body.
func (x *exchange) sendContinue() error {
	if !x.expecting() || x.started {
		return nil
	}
	x.continued = true
	<-x.before
	return x.raw([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
}

var _ io.Writer = (*exchange)(nil)
