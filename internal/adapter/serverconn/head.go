package serverconn

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"

	"cassiatray/internal/adapter/headlimit"
	"cassiatray/internal/port"
)

const (
	// maxHead bounds what is read of a server's answer before its body, interim
	// answers and answers to other requests included, in bytes. Heads are a few
	// hundred bytes.
	maxHead = 64 << 10
	// lineBytes is what a header holds beside its text, in bytes, with the copy that is passed on:
	// entries of two maps with their growth, and the headers of strings.
	lineBytes = 256
	// smallHead is up to which size a head counts as part of its exchange, in bytes.
	smallHead = 8 << 10
	// maxInterim is how many interim answers (1xx) a server may send before the
	// final one.
	maxInterim = 8
)

// OversizedHeadError is an answer whose head does not end within its bounds.
type OversizedHeadError struct {
	// Bytes were read, and Interim of them were whole interim answers.
	Bytes   int64
	Interim int
}

func (e *OversizedHeadError) Error() string {
	return fmt.Sprintf("no end of the answer's head after %d bytes and %d interim answers", e.Bytes, e.Interim)
}

// headBytes returns what a head holds beyond that of usual size, in bytes.
func headBytes(h http.Header) int {
	held := 0
	for name, values := range h {
		held += len(name)
		for _, v := range values {
			held += len(v) + lineBytes
		}
	}
	return max(0, held-smallHead)
}

// readHead reads the head of a final answer; the body is still to be read. The
// caller has begun the bound.
//
// Errors: *OversizedHeadError, *headlimit.MalformedError, *port.StatusError, or what net/http says
// of an answer that is none.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	for interim := 0; ; interim++ {
		if err := c.checkHead(); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(c.r, req)
		switch {
		case c.limit.Exceeded() || err == nil && port.IsInterimStatus(resp.StatusCode) && interim == maxInterim:
			return nil, &OversizedHeadError{Bytes: maxHead - c.limit.Left(), Interim: interim}
		case err != nil:
			return nil, err
		case port.IsFinalStatus(resp.StatusCode):
			headlimit.CheckTrailer(resp)
			return resp, nil
		case !port.IsInterimStatus(resp.StatusCode):
			return nil, &port.StatusError{Status: resp.StatusCode}
		}
	}
}

// checkHead checks the next head, which stays unread. A head that does not come whole is left to
// the parser, whose reads fail alike.
//
// Errors: *headlimit.MalformedError.
func (c *conn) checkHead() error {
	var checker headlimit.Checker
	for checked := 0; !checker.Done(); {
		buffered, err := c.r.Peek(checked + 1)
		if errors.Is(err, bufio.ErrBufferFull) {
			c.growBuffer(buffered)
			continue
		}
		if err != nil {
			return nil
		}
		if buffered, err = c.r.Peek(c.r.Buffered()); err != nil {
			return err
		}
		if _, err := checker.Check(buffered[checked:]); err != nil {
			return err
		}
		checked = len(buffered)
	}
	return nil
}

// growBuffer replaces the read buffer, which is full, by one of twice its size.
func (c *conn) growBuffer(buffered []byte) {
	begin := bytes.NewReader(bytes.Clone(buffered))
	c.r = bufio.NewReaderSize(io.MultiReader(begin, c.limit), 2*c.r.Size())
}

// shrinkBuffer replaces an empty read buffer that has grown by one of usual size.
func (c *conn) shrinkBuffer() {
	if c.r.Size() > bufferSize {
		c.r = bufio.NewReaderSize(c.limit, bufferSize)
	}
}
