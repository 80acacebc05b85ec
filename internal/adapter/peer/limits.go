package peer

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"cassiatray/internal/port"
)

// Limits of what peers can make a server hold.
const (
	// maxSessions bounds the sessions of a server.
	maxSessions = 1024
	// maxStreams bounds the exchanges in progress on one session.
	maxStreams = 512
	// maxHeld bounds the requests that a server holds at once, in bytes.
	maxHeld = 128 << 20
)

// SizeError is a frame over its limit, in bytes.
type SizeError struct {
	Size  uint64
	Limit uint64
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("frame of %d bytes, limit %d", e.Size, e.Limit)
}

// held counts the bytes of the requests that a server holds.
type held struct{ bytes atomic.Int64 }

// take reserves memory for a frame before it is read.
func (h *held) take(size uint64) error {
	if size > MaxFrame {
		return &port.PeerError{Code: port.PeerTooLarge, Err: &SizeError{Size: size, Limit: MaxFrame}}
	}
	if h.bytes.Add(int64(size)) > maxHeld {
		h.bytes.Add(-int64(size))
		return &port.PeerError{Code: port.PeerTooLarge, Err: &SizeError{Size: size, Limit: maxHeld}}
	}
	return nil
}

func (h *held) release(size uint64) { h.bytes.Add(-int64(size)) }

// readRequest reads one message of a peer. Memory for it is reserved before it
// is allocated; the caller releases what is returned when the exchange has
// ended, also after an error.
func (h *held) readRequest(r *bufio.Reader, m proto.Message) (uint64, error) {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return 0, err
	}
	if err := h.take(size); err != nil {
		return 0, err
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return size, err
	}
	return size, proto.Unmarshal(data, m)
}
