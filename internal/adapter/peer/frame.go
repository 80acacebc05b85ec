// Package peer carries exchanges between cassiatray processes: protobuf
// messages with a length prefix on yamux streams, one stream for each
// exchange. Pool opens sessions and sends; Server accepts and dispatches.
package peer

import (
	"bufio"
	"errors"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

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
func readFrame(r *bufio.Reader, m proto.Message) error {
	err := protodelim.UnmarshalOptions{MaxSize: MaxFrame}.UnmarshalFrom(r, m)
	var large *protodelim.SizeTooLargeError
	if errors.As(err, &large) {
		return &port.PeerError{Code: port.PeerTooLarge, Err: err}
	}
	return err
}
