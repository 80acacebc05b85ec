// Package valuecodec encodes large values of the store for a receiver that may have an earlier
// one: what the two have in common is not sent again.
package valuecodec

import (
	"crypto/sha256"
	"errors"
	"fmt"

	"github.com/klauspost/compress/zstd"
)

const (
	// MaxValue bounds a decoded value, in bytes.
	MaxValue = 8 << 20
	// window covers a base and a value of the largest size that the platform's store takes, in
	// bytes. What lies further back is not found again.
	window = 4 << 20
	// dictionary identifies the base in a frame.
	dictionary = 1
	// digestSize is how many bytes of the SHA-256 sum a digest has.
	digestSize = 16
)

// Digest identifies a value.
type Digest string

// DigestOf returns the digest of a value.
func DigestOf(value []byte) Digest {
	sum := sha256.Sum256(value)
	return Digest(sum[:digestSize])
}

// ErrOtherValue is the cause of a decoded value that is not the one that was encoded.
var ErrOtherValue = errors.New("digest of another value")

// DecodeError is an encoded value that cannot be decoded with a base.
type DecodeError struct {
	// Bytes is the size of the encoded value.
	Bytes int
	Err   error
}

func (e *DecodeError) Error() string {
	return fmt.Sprintf("value of %d encoded bytes: %v", e.Bytes, e.Err)
}

func (e *DecodeError) Unwrap() error { return e.Err }

// Encode encodes a value for a receiver that has the base; nil for one that has none.
//
// Errors: those of the encoder's options, which no value and no base causes.
func Encode(value, base []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithWindowSize(window), zstd.WithLowerEncoderMem(true),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionary, base))
	}
	w, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, err
	}
	defer w.Close()
	return w.EncodeAll(value, nil), nil
}

// Decode decodes a value that was encoded for a base, and compares it with its digest.
//
// Errors: *DecodeError.
func Decode(data, base []byte, want Digest) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(MaxValue)}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionary, base))
	}
	r, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, &DecodeError{Bytes: len(data), Err: err}
	}
	defer r.Close()
	value, err := r.DecodeAll(data, nil)
	if err == nil && DigestOf(value) != want {
		err = ErrOtherValue
	}
	if err != nil {
		return nil, &DecodeError{Bytes: len(data), Err: err}
	}
	return value, nil
}
