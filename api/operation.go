package api

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// OperationID names one at-most-once request and the one process that may run
// it. Its text is "host:incarnation:unix-microseconds:random", with the
// numbers in hexadecimal.
type OperationID struct {
	Host        string
	Incarnation uint64
	// Created is the caller's clock when the ID was made.
	Created time.Time
	Random  [8]byte
}

// NewOperationID makes an ID for a host named in a look-up answer.
func NewOperationID(h Host, now time.Time) (OperationID, error) {
	inc, err := strconv.ParseUint(h.Incarnation, 10, 64)
	if err != nil {
		return OperationID{}, &OperationIDError{Text: h.Incarnation}
	}
	id := OperationID{Host: h.Name, Incarnation: inc, Created: now}
	rand.Read(id.Random[:])
	return id, nil
}

func (id OperationID) String() string {
	return fmt.Sprintf("%s:%x:%x:%x", id.Host, id.Incarnation, id.Created.UnixMicro(), id.Random)
}

// OperationIDError is a text that is no operation ID.
type OperationIDError struct{ Text string }

func (e *OperationIDError) Error() string {
	return fmt.Sprintf("%q is not an operation ID (host:incarnation:microseconds:random)", e.Text)
}

// maxOperationID bounds the text of an ID, in bytes.
const maxOperationID = 128

// ParseOperationID reads an ID.
//
// Errors: *OperationIDError.
func ParseOperationID(text string) (OperationID, error) {
	bad := &OperationIDError{Text: text}
	if len(text) > maxOperationID {
		bad.Text = text[:maxOperationID]
		return OperationID{}, bad
	}
	parts := strings.Split(text, ":")
	if len(parts) != 4 || parts[0] == "" {
		return OperationID{}, bad
	}
	inc, err := strconv.ParseUint(parts[1], 16, 64)
	if err != nil {
		return OperationID{}, bad
	}
	micros, err := strconv.ParseInt(parts[2], 16, 64)
	if err != nil {
		return OperationID{}, bad
	}
	raw, err := hex.DecodeString(parts[3])
	if err != nil || len(raw) != 8 {
		return OperationID{}, bad
	}
	return OperationID{Host: parts[0], Incarnation: inc, Created: time.UnixMicro(micros), Random: [8]byte(raw)}, nil
}
