// Package bounded reads bodies into memory that grows with the bytes that arrive, after asking
// for it.
package bounded

import (
	"errors"
	"io"
)

// firstPiece is the size of the first buffer for a body, in bytes, and growFactor how much larger
// the next one is: few are thrown away, and a body that does not come takes little.
const (
	firstPiece = 4 << 10
	growFactor = 4
)

// Read reads up to most bytes of r, whose size is declared, or -1 if it is not known. Whole is
// set if that is all of it. Grow is asked for the bytes of each buffer before it is allocated, and
// told of those that are freed (negative); the capacity of data remains. If it refuses, Read
// returns what it has read, with refused set.
//
// Errors: those of r, except io.EOF.
func Read(r io.Reader, declared int64, most int, grow func(bytes int) bool) (data []byte, whole, refused bool, err error) {
	for {
		var n int
		if len(data) < cap(data) {
			n, err = r.Read(data[len(data):cap(data)])
			data = data[:len(data)+n]
		} else {
			if len(data) >= most {
				return data, false, false, nil
			}
			var behind [1]byte
			if int64(len(data)) == declared {
				// Only the end is to come.
				n, err = r.Read(behind[:])
			}
			if n > 0 || int64(len(data)) != declared {
				next := nextSize(len(data), declared, most)
				if !grow(next) {
					return data, false, true, nil
				}
				larger := make([]byte, len(data), next)
				copy(larger, data)
				if cap(data) > 0 {
					grow(-cap(data))
				}
				data = append(larger, behind[:n]...)
			}
		}
		if errors.Is(err, io.EOF) {
			return data, true, false, nil
		}
		if err != nil {
			return data, false, false, err
		}
	}
}

// nextSize returns the size of the buffer after one of size bytes.
func nextSize(size int, declared int64, most int) int {
	next := min(max(firstPiece, growFactor*size), most)
	if declared > int64(size) {
		next = int(min(int64(next), declared))
	}
	return next
}
