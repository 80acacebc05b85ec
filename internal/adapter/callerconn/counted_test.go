package callerconn

import (
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// heapAndStacks returns what the process's heap and stacks hold, in bytes.
func heapAndStacks() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// Guards against connections, heads and requests that hold more than the budget counts for them.
func TestCountedIsAtLeastHeld(t *testing.T) {
	const many = 200
	distinct := func(lines int) string {
		var b strings.Builder
		for i := range lines {
			fmt.Fprintf(&b, "%x:\r\n", i+16)
		}
		return b.String()
	}
	start := "POST / HTTP/1.1\r\nHost: h\r\n"
	for name, text := range map[string]string{
		"idle":                     "",
		"small heads":              start,
		"one long header":          start + "A: " + strings.Repeat("v", 28<<10),
		"many equal header lines":  start + strings.Repeat("a:\r\n", 7000),
		"many distinct lines":      start + distinct(5000),
		"few lines":                start + strings.Repeat("Some-Header: some value\r\n", 40),
		"requests":                 start + "Content-Length: 0\r\n\r\n",
		"requests with many lines": start + strings.Repeat("a:\r\n", 7000) + "Content-Length: 0\r\n\r\n",
		"a second head":            start + "Content-Length: 0\r\n\r\n" + start + strings.Repeat("a:\r\n", 900),
	} {
		t.Run(name, func(t *testing.T) {
			waits := make(chan struct{})
			s, _ := openBounded(t, 1<<30, 0, func(_ http.ResponseWriter, r *http.Request) {
				// What is passed on has a copy of the head.
				header := r.Header.Clone()
				<-waits
				runtime.KeepAlive(header)
			})
			t.Cleanup(func() { close(waits) })
			before := heapAndStacks()
			for range many {
				s.dial(t).send(text)
			}
			counted := int64(0)
			for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
				// Until the server has read all.
				now := s.Budget.Held()
				if now == counted && s.Connections() == many {
					break
				}
				counted = now
			}
			if held := heapAndStacks() - before; held > counted {
				t.Errorf("%d bytes held for each, %d counted", held/many, counted/many)
			} else {
				t.Logf("%d bytes held for each, %d counted", held/many, counted/many)
			}
		})
	}
}

// Guards against header lines that are not counted because of where reads end, and against a body
// whose lines are taken for those of a head.
func TestHeadScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.IntRange(1, 30).Draw(t, "lines")
		var head strings.Builder
		for range lines {
			head.WriteString(rapid.StringMatching(`[a-z]{1,5}:[a-z]{0,5}`).Draw(t, "line"))
			head.WriteString(rapid.SampledFrom([]string{"\r\n", "\n"}).Draw(t, "end"))
		}
		head.WriteString(rapid.SampledFrom([]string{"\r\n", "\n"}).Draw(t, "blank"))
		text := head.String() + rapid.StringMatching(`[a-z\r\n]{0,40}`).Draw(t, "body")
		var s headScan
		for rest := text; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "read")
			s.add([]byte(rest[:n]))
			rest = rest[n:]
		}
		if s.lines != lines || s.text != head.Len() || !s.done {
			t.Errorf("%d lines of %d bytes counted in %q, want %d of %d", s.lines, s.text, text, lines, head.Len())
		}
	})
}

// Guards against a head with more lines than fit its limit on bytes that is read to its end.
func TestHeadLinesAreBounded(t *testing.T) {
	s := open(t, Limits{HeadBytes: 64 << 10, HeadLines: 100}, func(http.ResponseWriter, *http.Request) {})
	for lines, want := range map[int]int{95: http.StatusOK, 101: http.StatusRequestHeaderFieldsTooLarge} {
		c := s.dial(t)
		c.send("GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", lines) + "\r\n")
		if resp, _ := c.answer(http.MethodGet); resp.StatusCode != want {
			t.Errorf("%d lines: status %d, want %d", lines, resp.StatusCode, want)
		}
	}
}
