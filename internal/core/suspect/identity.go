package suspect

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Identity is what makes two requests the same one that comes again: what its caller sends and to whom.
// How it is handled is no part of it: a request that comes again may meet another route, service, part of
// a split, version, host or region, and crash servers there as well. docs/design/suspects.md says why
// for each part.
type Identity struct {
	// Authority is what the caller addresses: a host name in lower case, or a service.
	Authority string
	Method    string
	// Path and Query are those of the request target; Query is without the question mark.
	Path, Query string
	// Caller is the key of the object that the request is about; empty if it names none.
	Caller string
	// Body is the body, or its begin if Partial is set. Then Size is the declared size, -1 for none.
	Body    []byte
	Partial bool
	Size    int64
}

// SplitTarget returns the path and the query of a request target in origin form.
func SplitTarget(target string) (path, query string) {
	path, query, _ = strings.Cut(target, "?")
	return path, query
}

// Fingerprint identifies equal requests by a hash of their contents.
type Fingerprint [sha256.Size]byte

// Fingerprint returns the hash of all parts. Callers control the contents of the
// parts, so each part is hashed with its length to prevent collisions by shifting
// bytes between parts.
func (id *Identity) Fingerprint() Fingerprint {
	h := sha256.New()
	var size [8]byte
	add := func(part string) {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	for _, part := range []string{id.Authority, id.Method, id.Path, id.Query} {
		add(part)
	}
	// The number of parts tells the forms apart.
	if id.Caller != "" || id.Partial {
		add(id.Caller)
	}
	binary.BigEndian.PutUint64(size[:], uint64(len(id.Body)))
	h.Write(size[:])
	h.Write(id.Body)
	if id.Partial {
		add(strconv.FormatInt(id.Size, 10))
	}
	return Fingerprint(h.Sum(nil))
}

// KeyAt returns the key of the request at a service for Completed. It is much cheaper than a
// Fingerprint, and two requests may share one.
func (id *Identity) KeyAt(service string) uint64 {
	return key(id.Body, service, id.Authority, id.Method, id.Path, id.Query, id.Caller)
}

func key(body []byte, parts ...string) uint64 {
	var d xxhash.Digest
	d.Reset()
	var size [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		d.Write(size[:])
		d.WriteString(part)
	}
	d.Write(body)
	return d.Sum64()
}

// Key returns the key of the request for Completed.
func (f Fingerprint) Key() uint64 { return binary.BigEndian.Uint64(f[:]) }
