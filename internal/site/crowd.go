package site

import (
	"context"
	"net"
	"sync"
	"time"
)

// crowdReturn is the pause after which a member of a crowd comes back.
const crowdReturn = 300 * time.Millisecond

// Crowd keeps size connections open until the returned function is called. Member uses the nth
// until it is closed or answered; the connection is made anew then.
func Crowd(ctx context.Context, size int, dial func(n int) (net.Conn, error), member func(c net.Conn, n int)) (disperse func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for n := range size {
		wg.Go(func() {
			for ctx.Err() == nil {
				if c, err := dial(n); err == nil {
					stop := context.AfterFunc(ctx, func() { c.Close() })
					member(c, n)
					stop()
					c.Close()
				}
				select {
				case <-ctx.Done():
				case <-time.After(crowdReturn):
				}
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// exclusiveAddress is listened on by the one test that must run apart from others.
const exclusiveAddress = "127.251.0.1:6998"

// Exclusive waits until no other process on this machine holds what it returns, and holds it until
// release is called. Tests that fill memory or descriptors run one at a time by it.
func Exclusive(ctx context.Context) (release func(), err error) {
	var l net.Listener
	err = Await(ctx, "other crowds to end", func() bool {
		var listen net.ListenConfig
		var taken error
		l, taken = listen.Listen(ctx, "tcp", exclusiveAddress)
		return taken == nil
	})
	if err != nil {
		return nil, err
	}
	return func() { l.Close() }, nil
}
