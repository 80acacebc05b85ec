package callerconn

import (
	"bytes"
	"time"

	"cassiatray/internal/core/membudget"
)

const (
	// lineBytes is what a header line holds in its parsed form beside its text, in bytes: its
	// share of a map and of the map's growth, and the headers of its strings.
	lineBytes = 144
	// smallHead is up to which size a head counts as part of its connection, in bytes.
	smallHead = 4 << 10
	// MinLine is the size of the shortest header line, in bytes.
	MinLine = 4
)

// headHold counts what a request's head holds while it is read. Heads of usual sizes count as
// part of their connection.
type headHold struct {
	scan headScan
	// lines bounds the header lines; 0 for no bound.
	lines int
	hold  *membudget.Holder
}

// begin prepares for a head of which a part has been read.
func (h *headHold) begin(c *conn, read []byte, lines int) error {
	h.scan, h.lines = headScan{}, lines
	return h.add(c, read)
}

// add counts what was read.
//
// Errors: errNoRoom, errLines.
func (h *headHold) add(c *conn, read []byte) error {
	if h.scan.add(read); h.lines > 0 && h.scan.lines > h.lines {
		return errLines
	}
	if c.s.Budget.Limit() <= 0 {
		return nil
	}
	more := h.scan.bytes() - smallHead - h.hold.Bytes()
	if more <= 0 {
		return nil
	}
	now := time.Now()
	if h.hold == nil {
		h.hold = new(membudget.Holder)
		h.hold.Init(c.s.Budget, now, c)
	}
	h.hold.Moved(len(read), now)
	if !h.hold.Grow(more, now) {
		return errNoRoom
	}
	return nil
}

// keep counts the copy of a head's lines that is made when its request is passed on, and reports
// whether there is room for it. The text is shared.
func (h *headHold) keep() bool {
	return h.hold == nil || h.hold.Grow(int64(h.scan.lines*lineBytes), time.Now())
}

// taken returns what the head that was read holds, which is counted elsewhere from then on.
func (h *headHold) taken() int64 {
	held := h.hold.Bytes()
	h.release()
	return held
}

func (h *headHold) release() {
	if h.hold != nil {
		h.hold.Release()
		h.hold = nil
	}
}

// headScan counts the lines of a head, in which what is read behind it does not count.
type headScan struct {
	lines, text int
	// filled is set while the line that is read is not empty, done once the head has ended.
	filled, done bool
}

// bytes returns what is held of the head: a line that is read grows in a buffer that is up to twice
// its size.
func (s *headScan) bytes() int64 { return int64(2*s.text + s.lines*lineBytes) }

func (s *headScan) add(p []byte) {
	for len(p) > 0 && !s.done {
		line, rest, ended := bytes.Cut(p, newline)
		s.text += len(p) - len(rest)
		s.filled = s.filled || len(line) > 1 || len(line) == 1 && line[0] != '\r'
		p = rest
		switch {
		case !ended:
		case s.filled:
			s.lines++
			s.filled = false
		default:
			s.done = true
		}
	}
}

var newline = []byte{'\n'}
