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
// it. Its text is "host:incarnation:issued:random", with the numbers in
// hexadecimal. The first three parts are Host.Operation of a look-up answer, so
// that no caller's clock is involved; the caller adds the random part.
type OperationID struct {
	Host        string
	Incarnation uint64
	// Issued is the entry host's clock when it answered the look-up, in whole
	// microseconds.
	Issued time.Time
	Random [8]byte
}

// OperationPrefix returns the part of an operation ID that a look-up gives.
func OperationPrefix(host string, incarnation uint64, issued time.Time) string {
	return host + ":" + strconv.FormatUint(incarnation, 16) + ":" + strconv.FormatInt(issued.UnixMicro(), 16)
}

// NewOperationID makes a new ID for a host named in a look-up answer.
//
// Errors: *OperationIDError when the answer names no process.
func NewOperationID(h Host) (OperationID, error) {
	var random [8]byte
	rand.Read(random[:])
	return ParseOperationID(h.Operation + ":" + hex.EncodeToString(random[:]))
}

func (id OperationID) String() string {
	return OperationPrefix(id.Host, id.Incarnation, id.Issued) + ":" + hex.EncodeToString(id.Random[:])
}

// OperationIDError is a text that is no operation ID.
type OperationIDError struct{ Text string }

func (e *OperationIDError) Error() string {
	return fmt.Sprintf("%q is not an operation ID (host:incarnation:issued:random)", e.Text)
}

// maxOperationID bounds the text of an ID, in bytes.
const maxOperationID = 128

// ParseOperationID reads an ID. Each ID has one text only: another spelling of
// the same numbers is refused, so that texts can be compared.
//
// Errors: *OperationIDError.
func ParseOperationID(text string) (OperationID, error) {
	if len(text) > maxOperationID {
		return OperationID{}, &OperationIDError{Text: text[:maxOperationID]}
	}
	id, ok := parseOperationID(text)
	if !ok || id.String() != text {
		return OperationID{}, &OperationIDError{Text: text}
	}
	return id, nil
}

func parseOperationID(text string) (OperationID, bool) {
	parts := strings.Split(text, ":")
	if len(parts) != 4 || parts[0] == "" {
		return OperationID{}, false
	}
	inc, err1 := strconv.ParseUint(parts[1], 16, 64)
	micros, err2 := strconv.ParseInt(parts[2], 16, 64)
	raw, err3 := hex.DecodeString(parts[3])
	if err1 != nil || err2 != nil || err3 != nil || len(raw) != 8 || inc == 0 {
		return OperationID{}, false
	}
	return OperationID{Host: parts[0], Incarnation: inc, Issued: time.UnixMicro(micros), Random: [8]byte(raw)}, true
}
