package logging

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// stuck is a pipe that nobody reads.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// TestBlockedReaderHoldsNobodyUp writes far more lines than are queued to a
// reader that takes none.
func TestBlockedReaderHoldsNobodyUp(t *testing.T) {
	w := stuck{release: make(chan struct{})}
	a := NewAsync(w)
	for range 3 * queueLines {
		if n, err := a.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("wrote %d: %v", n, err)
		}
	}
	if n := a.dropped.Load(); n < queueLines {
		t.Errorf("%d lines dropped", n)
	}
	close(w.release)
	a.Close(10 * time.Second)
}

// Guards against a reader that takes nothing while callers make the lines long.
func TestLongLinesAreBounded(t *testing.T) {
	w := stuck{release: make(chan struct{})}
	a := NewAsync(w)
	line := make([]byte, 64<<10)
	for range queueLines {
		a.Write(line)
	}
	if held := (len(a.lines) + 1) * len(line); held > 2<<20 {
		t.Errorf("%d bytes wait to be written", held)
	}
	close(w.release)
	a.Close(10 * time.Second)
	if n := a.queued.Load(); n != 0 {
		t.Errorf("%d bytes still counted", n)
	}
}

// Guards against a process that panics at its end because requests still log.
func TestWritesBesideClose(t *testing.T) {
	for range 50 {
		var out countedLines
		a := NewAsync(&out)
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				for range 200 {
					if n, err := a.Write([]byte("line\n")); n != 5 || err != nil {
						t.Errorf("wrote %d: %v", n, err)
					}
				}
			})
		}
		a.Write([]byte("line\n"))
		a.Close(10 * time.Second)
		if out.lines == 0 {
			t.Fatal("a line written before Close is lost")
		}
		wg.Wait()
		a.Write([]byte("line\n"))
		a.Close(10 * time.Second)
	}
}

// countedLines counts what is written to it.
type countedLines struct{ lines int }

func (c *countedLines) Write(p []byte) (int, error) {
	c.lines++
	return len(p), nil
}

// TestLogIsCapped checks that information is left out beyond the cap, counted in
// the next second, and that warnings are kept.
func TestLogIsCapped(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetFormatter(&Capped{Inner: &logrus.JSONFormatter{}, PerSecond: 3})
	at := func(second int64) *logrus.Entry { return log.WithTime(time.Unix(second, 0)) }
	for i := range 10 {
		at(100).Info(fmt.Sprint("info ", i))
		at(100).Warn(fmt.Sprint("warn ", i))
	}
	at(101).Info("next")
	text := out.String()
	if n := strings.Count(text, "info "); n != 3 {
		t.Errorf("%d lines of information", n)
	}
	if n := strings.Count(text, "warn "); n != 10 {
		t.Errorf("%d warnings", n)
	}
	if !strings.Contains(text, `"lines_left_out_before":7`) || !strings.Contains(text, `"msg":"next"`) {
		t.Errorf("last line: %s", text[strings.LastIndex(strings.TrimSpace(text), "\n")+1:])
	}
}

// TestWarningsAreCapped checks that warnings have a cap of their own, and that what
// was left out is counted.
func TestWarningsAreCapped(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetFormatter(&Capped{Inner: &logrus.JSONFormatter{}, PerSecond: 2, WarningsPerSecond: 4})
	for range 10 {
		log.WithTime(time.Unix(100, 0)).Info("info")
		log.WithTime(time.Unix(100, 0)).Warn("warn")
	}
	log.WithTime(time.Unix(101, 0)).Warn("next")
	text := out.String()
	if n := strings.Count(text, `"msg":"warn"`); n != 4 {
		t.Errorf("%d warnings", n)
	}
	if n := strings.Count(text, `"msg":"info"`); n != 2 {
		t.Errorf("%d lines of information", n)
	}
	if !strings.Contains(text, `"lines_left_out_before":6`) {
		t.Errorf("the next warning does not count what was left out: %s", text)
	}
}
