// Package headlimit bounds the bytes that are read of the head of an HTTP/1.1
// message, and checks the heads of responses. The parsers of net/http read lines
// and header fields without a bound, and take more than HTTP allows.
package headlimit

import (
	"bufio"
	"io"
)

// Reader passes reads on, up to a bound while a head is due. It is not safe for
// concurrent use.
type Reader struct {
	r io.Reader
	// left is what may still be read while on is set.
	left     int64
	on       bool
	exceeded bool
	err      error
}

// New returns a buffered reader of r with a buffer of size bytes, and its bound.
func New(r io.Reader, size int) (*bufio.Reader, *Reader) {
	l := &Reader{r: r}
	return bufio.NewReaderSize(l, size), l
}

// Begin allows this many bytes more, what is buffered already not counted.
func (l *Reader) Begin(most int64) { l.on, l.left, l.exceeded, l.err = true, most, false, nil }

// End lifts the bound.
func (l *Reader) End() { l.on = false }

// On reports whether a head is due.
func (l *Reader) On() bool { return l.on }

// Exceeded reports whether a read was refused since Begin.
func (l *Reader) Exceeded() bool { return l.exceeded }

// Left returns how many bytes were still allowed when the bound was lifted.
func (l *Reader) Left() int64 { return l.left }

// Err returns the error of the last read since Begin. A parser that got a part of
// a line may not tell of it.
func (l *Reader) Err() error { return l.err }

// Read implements io.Reader. Beyond the bound it returns io.ErrUnexpectedEOF.
func (l *Reader) Read(p []byte) (int, error) {
	if !l.on {
		return l.r.Read(p)
	}
	if l.left <= 0 {
		l.exceeded = true
		return 0, io.ErrUnexpectedEOF
	}
	n, err := l.r.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	l.err = err
	return n, err
}
