package headlimit

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"

	"cassiatray/internal/port"
)

// MalformedError is a response whose head or trailer HTTP does not allow. Nothing in it can be
// believed, its length included.
type MalformedError struct {
	Reason string
	// Line is the begin of the line that is at fault.
	Line string
}

func (e *MalformedError) Error() string { return fmt.Sprintf("%s in a response: %q", e.Reason, e.Line) }

// maxShown bounds what an error shows of a line, in bytes.
const maxShown = 64

func malformed(reason string, line []byte) error {
	return &MalformedError{Reason: reason, Line: string(line[:min(len(line), maxShown)])}
}

// Checker checks the head of a response before it is parsed. The parser of net/http takes blanks in
// the names of fields, so that a length or a coding with one is none, and drops a coding from a
// version of HTTP that has none, with its chunks left in the body. The zero value is for one head.
type Checker struct {
	// line is the part of a line that came without its end.
	line []byte
	// begun is set behind the status line.
	begun, done, interim bool
	// hasCodings is set if the message's version has transfer codings.
	hasCodings bool
}

// Done reports whether the head has ended.
func (k *Checker) Done() bool { return k.done }

// Interim reports whether the head is that of an interim response.
func (k *Checker) Interim() bool { return k.interim }

// Check takes the next bytes, and returns those behind the end of the head.
//
// Errors: *MalformedError.
func (k *Checker) Check(p []byte) (rest []byte, err error) {
	for len(p) > 0 && !k.done {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			k.line = append(k.line, p...)
			return nil, nil
		}
		line := p[:end]
		if len(k.line) > 0 {
			line = append(k.line, line...)
			k.line = line[:0]
		}
		p = p[end+1:]
		if err := k.checkLine(bytes.TrimSuffix(line, []byte("\r"))); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func (k *Checker) checkLine(line []byte) error {
	switch {
	case !k.begun:
		k.begun = true
		return k.checkStatusLine(line)
	case len(line) == 0:
		k.done = true
		return nil
	case line[0] == ' ' || line[0] == '\t':
		// It continues the value before (RFC 9112, section 5.2).
		return nil
	}
	name, _, found := bytes.Cut(line, []byte(":"))
	switch {
	case !found:
		return malformed("line without a colon", line)
	case !httpguts.ValidHeaderFieldName(string(name)):
		return malformed("invalid field name", line)
	case !k.hasCodings && strings.EqualFold(string(name), "Transfer-Encoding"):
		// The framing is faulty (RFC 9112, section 6.1).
		return malformed("transfer coding before HTTP/1.1", line)
	}
	return nil
}

// checkStatusLine leaves to the parser what is no status line. The syntax of another major version
// is not known (RFC 9112, section 2.3).
func (k *Checker) checkStatusLine(line []byte) error {
	version, status, _ := bytes.Cut(line, []byte(" "))
	major, minor, ok := http.ParseHTTPVersion(string(version))
	if ok && major != 1 {
		return malformed("HTTP version", line)
	}
	k.hasCodings = minor >= 1
	digits, _, _ := bytes.Cut(bytes.TrimLeft(status, " "), []byte(" "))
	code, err := strconv.Atoi(string(digits))
	k.interim = err == nil && port.IsInterimStatus(code)
	return nil
}

// CheckFields checks the names of fields.
//
// Errors: *MalformedError.
func CheckFields(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return malformed("invalid field name", []byte(name))
		}
	}
	return nil
}

// CheckTrailer has the body of a response end with a *MalformedError if the names of fields in its
// trailer are invalid.
func CheckTrailer(resp *http.Response) {
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &trailedBody{ReadCloser: resp.Body, resp: resp}
	}
}

type trailedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if bad := CheckFields(b.resp.Trailer); bad != nil {
			return n, bad
		}
	}
	return n, err
}
