package gateway

import (
	"slices"
	"sync"
	"time"

	"cassiatray/internal/core/valuecodec"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

// The value of the configuration's record may have a megabyte, and each gateway needs each
// version. A page has it encoded for the version that the puller says that it has.

const (
	// heldConfigs is how many values a gateway keeps: that of the configuration in force, and
	// earlier ones that pullers may still have.
	heldConfigs = 3
	// minEncoded is the least size of a value that is encoded, in bytes.
	minEncoded = 4 << 10
	// plainPulls is for how long pulls ask for values as they are after one that could not be
	// decoded.
	plainPulls = 5 * time.Second
)

// configValue is the value of a configuration's record.
type configValue struct {
	revision uint64
	digest   valuecodec.Digest
	value    []byte
}

// configValues are the latest values of the configuration's record that came into force.
type configValues struct {
	mu sync.Mutex
	// list has the one in force last.
	list []configValue
	// encoded holds the last value by the digest of the base that it is encoded for.
	encoded map[valuecodec.Digest][]byte
}

// add notes a value that has come into force.
func (c *configValues) add(revision uint64, value []byte) {
	v := configValue{revision: revision, value: value}
	if len(value) >= minEncoded {
		v.digest = valuecodec.DigestOf(value)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.list = append(c.list, v); len(c.list) > heldConfigs {
		c.list = slices.Delete(c.list, 0, 1)
	}
	c.encoded = map[valuecodec.Digest][]byte{}
}

// digest returns the digest of the value in force; empty if there is none, or if it is small.
func (c *configValues) digest() valuecodec.Digest {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.list) == 0 {
		return ""
	}
	return c.list[len(c.list)-1].digest
}

// find returns the value with a digest, or nil. The caller holds c.mu.
func (c *configValues) find(digest valuecodec.Digest) []byte {
	for _, v := range c.list {
		if digest != "" && v.digest == digest {
			return v.value
		}
	}
	return nil
}

// UnknownBaseError is an encoded value whose base this gateway does not have.
type UnknownBaseError struct{}

func (*UnknownBaseError) Error() string { return "value encoded for a base that is not known here" }

// encode encodes the value in force for a puller that has the value with a digest. It returns nil
// if the record is not the one in force, or small.
func (c *configValues) encode(revision uint64, held valuecodec.Digest) (*peerv1.EncodedValue, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.list) == 0 {
		return nil, nil
	}
	last := c.list[len(c.list)-1]
	if last.revision != revision || last.digest == "" {
		return nil, nil
	}
	base := c.find(held)
	if base == nil {
		held = ""
	}
	out := &peerv1.EncodedValue{Base: []byte(held), Digest: []byte(last.digest)}
	if held == last.digest {
		return out, nil
	}
	data, ok := c.encoded[held]
	if !ok {
		var err error
		if data, err = valuecodec.Encode(last.value, base); err != nil {
			return nil, err
		}
		c.encoded[held] = data
	}
	out.Data = data
	return out, nil
}

// decode returns the value that an encoded one stands for.
//
// Errors: *valuecodec.DecodeError, *UnknownBaseError.
func (c *configValues) decode(e *peerv1.EncodedValue) ([]byte, error) {
	digest, held := valuecodec.Digest(e.Digest), valuecodec.Digest(e.Base)
	c.mu.Lock()
	known, base := c.find(digest), c.find(held)
	c.mu.Unlock()
	switch {
	case known != nil:
		return known, nil
	case held != "" && base == nil:
		return nil, &UnknownBaseError{}
	}
	return valuecodec.Decode(e.Data, base, digest)
}

// encodeConfig encodes the configuration in a page for a puller that reads that.
func (k *Keeper) encodeConfig(page *peerv1.MirrorPage, req *peerv1.MirrorPull) {
	if !req.ReadsEncoded {
		return
	}
	for r := range recordsOfPage(page) {
		if kind, _ := k.schema.Kind(r.Key); kind != port.RecordConfig || len(r.Value) < minEncoded {
			continue
		}
		encoded, err := k.configs.encode(r.Revision, valuecodec.Digest(req.ConfigDigest))
		if err != nil {
			k.log.WithError(err).WithField("key", r.Key).Error("Configuration not encoded; it is sent as it is.")
		} else if encoded != nil {
			r.Value, r.Encoded = nil, encoded
		}
	}
}

// decodeConfig decodes the configuration in a page.
//
// Errors: *valuecodec.DecodeError, *UnknownBaseError.
func (k *Keeper) decodeConfig(page *peerv1.MirrorPage) error {
	for r := range recordsOfPage(page) {
		if r.Encoded == nil {
			continue
		}
		value, err := k.configs.decode(r.Encoded)
		if err != nil {
			return err
		}
		r.Value, r.Encoded = value, nil
	}
	return nil
}

// recordsOfPage yields the records of a page, with the configuration that comes apart.
func recordsOfPage(page *peerv1.MirrorPage) func(yield func(*peerv1.StoreRecord) bool) {
	return func(yield func(*peerv1.StoreRecord) bool) {
		for _, r := range page.Records {
			if !yield(r) {
				return
			}
		}
		if page.Config != nil {
			yield(page.Config)
		}
	}
}
