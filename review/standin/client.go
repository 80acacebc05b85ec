package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// keeper is a client that keeps its connection open for many requests.
type keeper struct {
	w    *world
	g    *gateway
	c    net.Conn
	r    *bufio.Reader
	used int
}

// ask sends a request. It reports whether that was not the first on its connection, and what
// came back.
func (k *keeper) ask(id, method, path, object string, body []byte, deadline time.Duration) (kept bool, a answer) {
	if k.c == nil {
		c, err := net.DialTimeout("tcp", k.g.at("caller"), time.Second)
		if err != nil {
			return false, answer{err: err}
		}
		k.c, k.r, k.used = c, bufio.NewReader(c), 0
	}
	kept = k.used > 0
	k.used++
	began := time.Now()
	a = k.exchange(id, method, path, object, body, deadline)
	a.took = time.Since(began)
	if a.err != nil {
		k.c.Close()
		k.c = nil
		k.w.rec("client of %s gets no answer: %v", id, a.err)
		return kept, a
	}
	k.w.rec("client of %s gets %d, stamp %q, after %d ms", id, a.status, a.stamp, a.took.Milliseconds())
	return kept, a
}

func (k *keeper) exchange(id, method, path, object string, body []byte, deadline time.Duration) answer {
	k.w.rec("client sends %s %s %s (object %s, %d bytes of body) to %s on a connection with %d requests before", id, method, path, object, len(body), k.g.name, k.used-1)
	k.c.SetDeadline(time.Now().Add(deadline))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: depot.example\r\nCassiatray-Attempt-Id: %s\r\nCassiatray-Deadline-Ms: %d\r\nCookie: Cassiatray-Affinity-Key=%s\r\n", method, path, id, deadline.Milliseconds(), object)
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	if _, err := k.c.Write(b.Bytes()); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(k.r, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.Close {
		k.c.Close()
		k.c = nil
	}
	return answer{status: resp.StatusCode, stamp: resp.Header.Get("Cassiatray-Response-Stamp"), body: string(text), err: err}
}
