// Package peer carries exchanges between cassiatray processes: protobuf
// messages with a length prefix on yamux streams, one stream for each
// exchange. Pool opens sessions and sends; Server accepts and dispatches.
package peer

import (
	"bufio"
	"encoding/binary"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"cassiatray/internal/core/membudget"
	"cassiatray/internal/port"
)

// MaxFrame bounds one message, in bytes. It fits the largest answer that a
// class may allow, with its headers.
const MaxFrame = 8 << 20

// writeFrame sends one message with its length.
func writeFrame(w io.Writer, m proto.Message) error {
	if proto.Size(m) > MaxFrame {
		return &port.PeerError{Code: port.PeerTooLarge}
	}
	_, err := protodelim.MarshalTo(w, m)
	return err
}

// readFrame reads one message and refuses one above MaxFrame before it
// allocates for it.
func readFrame(r *bufio.Reader, m proto.Message) error { return readFrameHeld(r, m, nil) }

// ErrNoRoom is the cause of a message that is not read for lack of memory.
const ErrNoRoom = frameFault("no memory for the message")

type frameFault string

func (f frameFault) Error() string { return string(f) }

// readFrameHeld is readFrame for a message that counts for a holder, which keeps its decoded form.
func readFrameHeld(r *bufio.Reader, m proto.Message, hold *membudget.Holder) error {
	size, err := binary.ReadUvarint(r)
	switch {
	case err != nil:
		return err
	case size > MaxFrame:
		return &port.PeerError{Code: port.PeerTooLarge, Err: &SizeError{Size: size, Limit: MaxFrame}}
	case !growForMessage(hold, size):
		return ErrNoRoom
	}
	defer shrinkDecoded(hold, size)
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return err
	}
	return proto.Unmarshal(data, m)
}
