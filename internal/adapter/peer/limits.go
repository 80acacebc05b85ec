package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
	"google.golang.org/protobuf/proto"

	"cassiatray/internal/core/membudget"
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
	// slowestLink is the least bandwidth of a host's link, in bytes a second.
	slowestLink = 10_000_000 / 8
	// ReplyMost bounds how long a reply may take that keeps coming: two of MaxFrame at a time over
	// one slowestLink.
	ReplyMost = 2 * MaxFrame * time.Second / slowestLink
)

// SizeError is a frame over its limit, in bytes.
type SizeError struct {
	Size  uint64
	Limit uint64
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("frame of %d bytes, limit %d", e.Size, e.Limit)
}

// smallMessage is up to which size a message counts as part of its exchange, in bytes.
const smallMessage = 4 << 10

const (
	// streamBuffer is the most that a stream buffers of a message that is not read yet, in bytes:
	// its window, in a buffer that grows to twice that.
	streamBuffer = 512 << 10
	// sendingBytes bounds the large messages that are written to one peer at a time, in bytes: the
	// peer buffers their beginnings before it can refuse them.
	sendingBytes = 1 << 20
)

// sending gives turns to write large messages to one peer.
type sending struct{ turns *semaphore.Weighted }

func newSending() sending { return sending{semaphore.NewWeighted(sendingBytes)} }

// begin waits for the turn of a message of a size. It returns what ends the turn.
func (s sending) begin(ctx context.Context, size int64) (end func(), err error) {
	if size <= smallMessage {
		return func() {}, nil
	}
	size = min(size, sendingBytes)
	if err := s.turns.Acquire(ctx, size); err != nil {
		return nil, err
	}
	return func() { s.turns.Release(size) }, nil
}

// growForMessage asks for the bytes of a message, of its decoded form and of what its stream
// buffers.
func growForMessage(hold *membudget.Holder, size uint64) bool {
	return size <= smallMessage || hold.Grow(int64(size)+messageBytes(size), time.Now())
}

// shrinkDecoded frees the bytes of a message of which the decoded form is left.
func shrinkDecoded(hold *membudget.Holder, size uint64) {
	if size > smallMessage {
		hold.Shrink(messageBytes(size))
	}
}

// messageBytes returns what a message holds beside its decoded form while it is read.
func messageBytes(size uint64) int64 { return int64(size) + min(int64(size), streamBuffer) }

// held counts the bytes of the requests that a server holds. The zero value allows maxHeld.
type held struct {
	bytes atomic.Int64
	// most is the bound, in bytes, if it is not maxHeld.
	most int64
}

// limit returns how many bytes may be held.
func (h *held) limit() int64 {
	if h.most > 0 {
		return min(h.most, maxHeld)
	}
	return maxHeld
}

// LimitHeld bounds the requests that the server holds at once, in bytes; 0 leaves the bound as it
// is. It is called before Start.
func (s *Server) LimitHeld(most int64) { s.held.most = most }

// take reserves memory for a frame before it is read.
func (h *held) take(size uint64) error {
	if size > MaxFrame {
		return &port.PeerError{Code: port.PeerTooLarge, Err: &SizeError{Size: size, Limit: MaxFrame}}
	}
	if h.bytes.Add(int64(size)) > h.limit() {
		h.bytes.Add(-int64(size))
		return &port.PeerError{Code: port.PeerTooLarge, Err: &SizeError{Size: size, Limit: uint64(h.limit())}}
	}
	return nil
}

func (h *held) release(size uint64) { h.bytes.Add(-int64(size)) }

// readRequest reads one message of a peer. Memory for it is reserved before it
// is allocated; the caller releases what is returned when the exchange has
// ended, also after an error.
func (h *held) readRequest(r *bufio.Reader, m proto.Message) (uint64, error) {
	return h.readHeld(r, m, nil)
}

// readHeld is readRequest for a message that counts for a holder, too. A message for which that has
// no memory is read past.
func (h *held) readHeld(r *bufio.Reader, m proto.Message, hold *membudget.Holder) (uint64, error) {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return 0, err
	}
	if err := h.take(size); err != nil {
		return 0, err
	}
	if !growForMessage(hold, size) {
		h.release(size)
		if _, err := io.CopyN(io.Discard, r, int64(size)); err != nil {
			return 0, err
		}
		return 0, &port.PeerError{Code: port.PeerNoRoom}
	}
	defer shrinkDecoded(hold, size)
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return size, err
	}
	return size, proto.Unmarshal(data, m)
}
