package steertest

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"cassiatray/internal/port"
)

// KV is a key-value service in memory, with failures on request.
type KV struct {
	mu      sync.Mutex
	entries map[string]port.Entry
	leases  map[port.LeaseID]*kvLease
	index   uint64
	changed chan struct{}
	faults  Faults
	counts  Counts
}

type kvLease struct {
	ttl   time.Duration
	timer *time.Timer
}

// Faults are the failures that a KV shows until told otherwise.
type Faults struct {
	// Down refuses every call and ends waiting watches.
	Down bool
	// Delay is added before each call takes effect.
	Delay time.Duration
	// LoseReplies is how many of the next writes take effect and then fail.
	LoseReplies int
	// Unreachable names the processes that cannot reach the service.
	Unreachable func(from string) bool
}

// Counts are calls received, and bytes of values.
type Counts struct {
	Reads, Writes, Watches  int
	BytesRead, BytesWritten int
}

// NewKV returns an empty service.
func NewKV() *KV {
	return &KV{entries: map[string]port.Entry{}, leases: map[port.LeaseID]*kvLease{}, changed: make(chan struct{})}
}

// SetFaults replaces the failures.
func (kv *KV) SetFaults(f Faults) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.faults = f
	kv.wake()
}

// Counts returns the calls so far.
func (kv *KV) Counts() Counts {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	return kv.counts
}

// LargestValue returns the size of the largest value, in bytes.
func (kv *KV) LargestValue() int {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	largest := 0
	for _, e := range kv.entries {
		largest = max(largest, len(e.Value))
	}
	return largest
}

// wake needs kv.mu.
func (kv *KV) wake() {
	close(kv.changed)
	kv.changed = make(chan struct{})
}

// From returns the service as the process at an address reaches it.
func (kv *KV) From(address string) port.Platform { return &kvClient{kv: kv, from: address} }

type kvClient struct {
	kv   *KV
	from string
}

func (f Faults) refuses(from string) bool {
	return f.Down || f.Unreachable != nil && f.Unreachable(from)
}

// enter counts a call, waits as the faults say, and returns with kv.mu held.
func (c *kvClient) enter(ctx context.Context, op, key string, count func(*Counts)) error {
	c.kv.mu.Lock()
	count(&c.kv.counts)
	delay := c.kv.faults.Delay
	c.kv.mu.Unlock()
	if delay > 0 {
		t := time.NewTimer(delay)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
	c.kv.mu.Lock()
	if ctx.Err() != nil || c.kv.faults.refuses(c.from) {
		c.kv.mu.Unlock()
		return &port.StoreError{Code: port.StoreUnavailable, Op: op, Key: key, Err: ctx.Err()}
	}
	return nil
}

func countRead(n *Counts)  { n.Reads++ }
func countWrite(n *Counts) { n.Writes++ }
func countWatch(n *Counts) { n.Watches++ }

// lose returns the failure of a write whose reply is lost. It needs kv.mu.
func (c *kvClient) lose(op, key string) error {
	if c.kv.faults.LoseReplies == 0 {
		return nil
	}
	c.kv.faults.LoseReplies--
	return &port.StoreError{Code: port.StoreUnknown, Op: op, Key: key}
}

func failure(code port.StoreCode, op, key string) error {
	return &port.StoreError{Code: code, Op: op, Key: key}
}

// Get implements port.Platform.
func (c *kvClient) Get(ctx context.Context, key string) (port.Entry, error) {
	if err := c.enter(ctx, "get", key, countRead); err != nil {
		return port.Entry{}, err
	}
	defer c.kv.mu.Unlock()
	e, ok := c.kv.entries[key]
	if !ok {
		return port.Entry{}, failure(port.StoreNotFound, "get", key)
	}
	c.kv.counts.BytesRead += len(e.Value)
	return e, nil
}

// List implements port.Platform.
func (c *kvClient) List(ctx context.Context, prefix string) ([]port.Entry, error) {
	if err := c.enter(ctx, "list", prefix, countRead); err != nil {
		return nil, err
	}
	defer c.kv.mu.Unlock()
	var out []port.Entry
	for key, e := range c.kv.entries {
		if strings.HasPrefix(key, prefix) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b port.Entry) int { return strings.Compare(a.Key, b.Key) })
	return out, nil
}

// CompareAndSwap implements port.Platform.
func (c *kvClient) CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64) error {
	if err := c.enter(ctx, "compare-and-swap", key, countWrite); err != nil {
		return err
	}
	defer c.kv.mu.Unlock()
	if c.kv.entries[key].Revision != revision {
		return failure(port.StoreConflict, "compare-and-swap", key)
	}
	c.kv.set(key, value, "")
	return c.lose("compare-and-swap", key)
}

// set needs kv.mu.
func (kv *KV) set(key string, value []byte, lease port.LeaseID) {
	kv.index++
	kv.counts.BytesWritten += len(value)
	kv.entries[key] = port.Entry{Key: key, Value: slices.Clone(value), Revision: kv.index, Lease: lease}
	kv.wake()
}

// Delete implements port.Platform.
func (c *kvClient) Delete(ctx context.Context, key string, revision uint64) error {
	if err := c.enter(ctx, "delete", key, countWrite); err != nil {
		return err
	}
	defer c.kv.mu.Unlock()
	if c.kv.entries[key].Revision != revision {
		return failure(port.StoreConflict, "delete", key)
	}
	delete(c.kv.entries, key)
	c.kv.wake()
	return c.lose("delete", key)
}

// Watch implements port.Platform.
func (c *kvClient) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (port.Entry, error) {
	if err := c.enter(ctx, "watch", key, countWatch); err != nil {
		return port.Entry{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		e, changed, refused := c.kv.entries[key], c.kv.changed, c.kv.faults.refuses(c.from)
		c.kv.mu.Unlock()
		if refused {
			return port.Entry{}, failure(port.StoreUnavailable, "watch", key)
		}
		if e.Revision > after {
			return e, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return e, nil
		case <-ctx.Done():
			return port.Entry{}, &port.StoreError{Code: port.StoreUnavailable, Op: "watch", Key: key, Err: ctx.Err()}
		}
		c.kv.mu.Lock()
	}
}

// GrantLease implements port.Platform.
func (c *kvClient) GrantLease(ctx context.Context, ttl time.Duration) (port.LeaseID, error) {
	if err := c.enter(ctx, "grant-lease", "", countWrite); err != nil {
		return "", err
	}
	defer c.kv.mu.Unlock()
	c.kv.index++
	id := port.LeaseID(fmt.Sprintf("lease-%d", c.kv.index))
	c.kv.leases[id] = &kvLease{ttl: ttl, timer: time.AfterFunc(ttl, func() { c.kv.lapse(id) })}
	return id, c.lose("grant-lease", "")
}

func (kv *KV) lapse(id port.LeaseID) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	delete(kv.leases, id)
	for key, e := range kv.entries {
		if e.Lease == id {
			delete(kv.entries, key)
		}
	}
	kv.wake()
}

// Close stops the timers of all leases.
func (kv *KV) Close() {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	for _, l := range kv.leases {
		l.timer.Stop()
	}
}

// RenewLease implements port.Platform.
func (c *kvClient) RenewLease(ctx context.Context, id port.LeaseID) error {
	if err := c.enter(ctx, "renew-lease", string(id), countWrite); err != nil {
		return err
	}
	defer c.kv.mu.Unlock()
	l := c.kv.leases[id]
	if l == nil {
		return failure(port.StoreNotFound, "renew-lease", string(id))
	}
	l.timer.Reset(l.ttl)
	return c.lose("renew-lease", string(id))
}

// RevokeLease implements port.Platform.
func (c *kvClient) RevokeLease(ctx context.Context, id port.LeaseID) error {
	if err := c.enter(ctx, "revoke-lease", string(id), countWrite); err != nil {
		return err
	}
	if l := c.kv.leases[id]; l != nil {
		l.timer.Stop()
	}
	c.kv.mu.Unlock()
	c.kv.lapse(id)
	return nil
}

// Acquire implements port.Platform.
func (c *kvClient) Acquire(ctx context.Context, key string, value []byte, id port.LeaseID) (bool, error) {
	if err := c.enter(ctx, "acquire", key, countWrite); err != nil {
		return false, err
	}
	defer c.kv.mu.Unlock()
	holder := c.kv.entries[key].Lease
	if c.kv.leases[id] == nil || holder != "" && holder != id {
		return false, nil
	}
	c.kv.set(key, value, id)
	return true, c.lose("acquire", key)
}
