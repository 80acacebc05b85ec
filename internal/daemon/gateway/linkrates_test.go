package gateway

import (
	"cmp"
	"context"
	"time"

	"cassiatray/internal/port"
	"cassiatray/internal/sleep"
)

const (
	// linkChunk is how many bytes of a message occupy a link at a time: messages take turns.
	linkChunk = 16 << 10
	// linkWindow is how many chunks of a message may wait for the receiver.
	linkWindow = 4
)

// testLink is one direction of a host's link.
type testLink struct {
	// rate is in bytes a second.
	rate int
	// free is when all that was sent so far has passed.
	free time.Time
	// bytes counts what was sent.
	bytes int
}

// hostLinks are a host's links to all others.
type hostLinks struct{ out, in testLink }

// limitLinks gives a host's links a rate in bytes a second, in each direction. Without one they
// take any number of bytes at once.
func (w *testCluster) limitLinks(host string, rate int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.links[host] = &hostLinks{out: testLink{rate: rate}, in: testLink{rate: rate}}
}

// linksOf returns the links out of one host and into another; nil for those without limits.
func (w *testCluster) linksOf(from, to string) (out, in *testLink) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if l := w.links[from]; l != nil {
		out = &l.out
	}
	if l := w.links[to]; l != nil {
		in = &l.in
	}
	return out, in
}

// occupy queues bytes on a link and returns when they have passed.
func (w *testCluster) occupy(l *testLink, bytes int) time.Time {
	now := time.Now()
	if l == nil {
		return now
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(bytes) * time.Second / time.Duration(l.rate))
	l.bytes += bytes
	return l.free
}

// transfer returns once a message has come from one host to another, or with the context's error
// if that ends before. Each chunk of it waits for what is queued on the links; sent is called
// with the size of those that leave the sender.
func (w *testCluster) transfer(ctx context.Context, from, to string, size int, sent func(bytes int)) error {
	out, in := w.linksOf(from, to)
	if out == nil && in == nil {
		sent(size)
		return nil
	}
	// A receiver that gives up ends the sending of what has not left yet.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	chunks := make(chan time.Time, linkWindow)
	go func() {
		defer close(chunks)
		for left := size; left > 0; left -= linkChunk {
			chunk := min(left, linkChunk)
			sent(chunk)
			if !sleep.For(ctx, time.Until(w.occupy(out, chunk))) {
				return
			}
			select {
			case chunks <- w.occupy(in, chunk):
			case <-ctx.Done():
				return
			}
		}
	}()
	return receive(ctx, chunks)
}

// receive waits for the chunks of a message, whose times of arrival are sent on a channel. With
// bounds on its progress it fails once none has come for their Stall.
func receive(ctx context.Context, chunks <-chan time.Time) error {
	bounds, bounded := port.ProgressOf(ctx)
	for {
		var stalled <-chan time.Time
		if bounded {
			stalled = time.After(bounds.Stall)
		}
		select {
		case at, more := <-chunks:
			if !more {
				return ctx.Err()
			}
			if bounded && time.Until(at) > bounds.Stall {
				sleep.For(ctx, bounds.Stall)
				return cmp.Or(ctx.Err(), error(port.ErrStalled))
			}
			if !sleep.For(ctx, time.Until(at)) {
				return ctx.Err()
			}
		case <-stalled:
			return port.ErrStalled
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// received returns the bytes that came over the links of hosts with limits.
func (w *testCluster) received() (bytes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range w.links {
		bytes += l.in.bytes
	}
	return bytes
}
