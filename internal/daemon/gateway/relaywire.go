package gateway

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"

	peerv1 "cassiatray/proto/peer/v1"
)

// sendBody sends a body, of which rest is still to be read unless nil, in chunks.
func sendBody(begin []byte, rest io.Reader, send func(*peerv1.RelayChunk) error) error {
	for len(begin) > relayChunk {
		if err := send(&peerv1.RelayChunk{Data: begin[:relayChunk]}); err != nil {
			return err
		}
		begin = begin[relayChunk:]
	}
	if rest == nil {
		return send(&peerv1.RelayChunk{Data: begin, Last: true})
	}
	if err := send(&peerv1.RelayChunk{Data: begin}); err != nil {
		return err
	}
	buf := make([]byte, relayChunk)
	for {
		n, err := rest.Read(buf)
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if serr := send(&peerv1.RelayChunk{Data: buf[:n], Last: err != nil}); serr != nil || err != nil {
			return serr
		}
	}
}

// chunkReader reads a body from chunks. One that ends without a last chunk is not whole.
type chunkReader struct {
	// receive returns the next chunk, or nil for a message that is none.
	receive func() (*peerv1.RelayChunk, error)
	data    []byte
	last    bool
}

// Read implements io.Reader.
func (c *chunkReader) Read(p []byte) (int, error) {
	for len(c.data) == 0 {
		if c.last {
			return 0, io.EOF
		}
		chunk, err := c.receive()
		switch {
		case errors.Is(err, io.EOF) || err == nil && chunk == nil:
			return 0, io.ErrUnexpectedEOF
		case err != nil:
			return 0, err
		}
		c.data, c.last = chunk.Data, chunk.Last
	}
	n := copy(p, c.data)
	c.data = c.data[n:]
	return n, nil
}

// headersToWire returns headers in the order of their names, and headersFromWire the headers of
// a message.
func headersToWire(h http.Header) []*peerv1.Header {
	var out []*peerv1.Header
	for name, values := range h {
		for _, v := range values {
			out = append(out, &peerv1.Header{Name: name, Value: v})
		}
	}
	slices.SortStableFunc(out, func(a, b *peerv1.Header) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func headersFromWire(list []*peerv1.Header) http.Header {
	h := http.Header{}
	for _, x := range list {
		h.Add(x.Name, x.Value)
	}
	return h
}
