package callerconn

import (
	"testing"
	"time"
)

// Guards against a connection that is closed as idle while its next request is read, of which
// nothing is left with the kernel; and against one that is kept for a head that does not end.
func TestHeadThatIsReadKeepsItsConnection(t *testing.T) {
	s, _ := openBounded(t, 0, 0, nil)
	caller := s.dial(t)
	caller.send("GET / HTTP/1.1\r\nHost: ")
	var c *conn
	eventually(t, "a head", func() bool {
		s.each(func(open *conn) { c = open })
		return c != nil && c.headBegan.Load() > 0
	})
	c.headBegan.Store(int64(time.Since(c.opened) + time.Minute))
	if c.closeIdle() {
		t.Fatal("closed while a head is read")
	}
	c.headBegan.Store(1)
	eventually(t, "the end of a head that takes long", c.closeIdle)
}
