package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// queueLines is how many lines wait for a slow reader before more are
	// dropped.
	queueLines = 2048
	// queueBytes bounds those lines together, in bytes: parts of lines, such as the IDs of
	// requests, are as long as callers make them.
	queueBytes = 1 << 20
	// reportEvery is how often dropped lines are reported.
	reportEvery = time.Second
)

// Async writes lines to a slow writer without ever waiting for it. Lines that
// find the queue full, or come after Close, are dropped and counted.
type Async struct {
	lines chan []byte
	// closing ends the writing once the queue is empty. The queue itself stays open: requests that
	// a stop has cut off may still log.
	closing   chan struct{}
	closeOnce sync.Once
	done      chan struct{}
	queued    atomic.Int64
	dropped   atomic.Uint64
}

// NewAsync returns a writer in front of w.
func NewAsync(w io.Writer) *Async {
	a := &Async{lines: make(chan []byte, queueLines), closing: make(chan struct{}), done: make(chan struct{})}
	go a.run(w)
	return a
}

// Write implements io.Writer; it never fails.
func (a *Async) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if a.queued.Add(int64(len(p))) > queueBytes || a.closed() {
		a.drop(p)
		return len(p), nil
	}
	select {
	case a.lines <- append([]byte(nil), p...):
	default:
		a.drop(p)
	}
	return len(p), nil
}

func (a *Async) closed() bool {
	select {
	case <-a.closing:
		return true
	default:
		return false
	}
}

func (a *Async) drop(p []byte) {
	a.queued.Add(-int64(len(p)))
	a.dropped.Add(1)
}

// Close writes what is queued, for at most a while. It may be called while others write.
func (a *Async) Close(atMost time.Duration) {
	a.closeOnce.Do(func() { close(a.closing) })
	select {
	case <-a.done:
	case <-time.After(atMost):
	}
}

func (a *Async) run(w io.Writer) {
	defer close(a.done)
	last := time.Now()
	for {
		select {
		case line := <-a.lines:
			last = a.writeLine(w, line, last)
		case <-a.closing:
			a.flush(w, last)
			return
		}
	}
}

// flush writes the lines that are queued.
func (a *Async) flush(w io.Writer, last time.Time) {
	for {
		select {
		case line := <-a.lines:
			last = a.writeLine(w, line, last)
		default:
			return
		}
	}
}

// writeLine writes a line, and reports dropped ones if that was last done long ago. It returns when
// that was last done.
func (a *Async) writeLine(w io.Writer, line []byte, last time.Time) time.Time {
	if _, err := w.Write(line); err != nil {
		a.dropped.Add(1)
	}
	a.queued.Add(-int64(len(line)))
	if time.Since(last) < reportEvery {
		return last
	}
	if n := a.dropped.Swap(0); n > 0 {
		fmt.Fprintf(w, "{\"level\":\"warning\",\"msg\":\"log: Lines dropped.\",\"lines\":%d}\n", n)
	}
	return time.Now()
}

// Capped is a formatter that leaves out lines beyond a number a second. Warnings
// have a number of their own, so that they keep their room under load.
type Capped struct {
	Inner logrus.Formatter
	// PerSecond is how many lines of level info and below are kept a second, and
	// WarningsPerSecond how many of those above; zero keeps all of these.
	PerSecond, WarningsPerSecond int64

	lines, warnings counter
}

// counter counts the lines of one second, and those that were left out.
type counter struct{ second, lines, left atomic.Int64 }

// Format implements logrus.Formatter. A line that is left out is empty.
func (c *Capped) Format(e *logrus.Entry) ([]byte, error) {
	if e.Level >= logrus.InfoLevel {
		return c.lines.format(c.Inner, e, c.PerSecond)
	}
	if c.WarningsPerSecond == 0 {
		return c.Inner.Format(e)
	}
	return c.warnings.format(c.Inner, e, c.WarningsPerSecond)
}

func (c *counter) format(inner logrus.Formatter, e *logrus.Entry, most int64) ([]byte, error) {
	now := e.Time.Unix()
	if old := c.second.Load(); old != now && c.second.CompareAndSwap(old, now) {
		c.lines.Store(0)
		if n := c.left.Swap(0); n > 0 {
			with := e.WithField("lines_left_out_before", n)
			with.Level, with.Message, with.Time = e.Level, e.Message, e.Time
			e = with
		}
	}
	if c.lines.Add(1) > most {
		c.left.Add(1)
		return nil, nil
	}
	return inner.Format(e)
}
