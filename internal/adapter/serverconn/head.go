package serverconn

import (
	"fmt"
	"net/http"

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
// Errors: *OversizedHeadError, *port.StatusError, or what net/http says of an answer that is none.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	for interim := 0; ; interim++ {
		resp, err := http.ReadResponse(c.r, req)
		switch {
		case c.limit.Exceeded() || err == nil && port.IsInterimStatus(resp.StatusCode) && interim == maxInterim:
			return nil, &OversizedHeadError{Bytes: maxHead - c.limit.Left(), Interim: interim}
		case err != nil:
			return nil, err
		case port.IsFinalStatus(resp.StatusCode):
			return resp, nil
		case !port.IsInterimStatus(resp.StatusCode):
			return nil, &port.StatusError{Status: resp.StatusCode}
		}
	}
}
