package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is one client attempt.
type request struct {
	method, path, object string
	deadline             time.Duration
	// host is what the request is sent to; empty for hostName.
	host string
	// leaves is after how long the client closes its connection; zero for at its deadline.
	leaves time.Duration
}

// outcome is what a client got for one attempt: a status, or an error if the connection ended
// without a whole answer.
type outcome struct {
	id     string
	status int
	header http.Header
	body   []byte
	err    error
	took   time.Duration
}

func (o outcome) String() string {
	if o.err != nil {
		return fmt.Sprintf("no answer (%v) after %d ms", o.err, o.took.Milliseconds())
	}
	return fmt.Sprintf("%d after %d ms", o.status, o.took.Milliseconds())
}

// attempt sends one request to a gateway on a connection of its own.
func attempt(rec *recorder, g *gateway, q request) outcome {
	o := outcome{id: fmt.Sprintf("%016x", rand.Uint64())}
	rec.logf("client: %s %s to %s, id %s, deadline %d ms", q.method, q.path, g.name, o.id, q.deadline.Milliseconds())
	began := time.Now()
	o.err = exchange(g, q, &o)
	o.took = time.Since(began)
	rec.logf("client: id %s: %s", o.id, o)
	return o
}

func exchange(g *gateway, q request, o *outcome) error {
	c, err := net.DialTimeout("tcp", g.front, time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	stays := q.deadline
	if q.leaves > 0 {
		stays = q.leaves
	}
	c.SetDeadline(time.Now().Add(stays))
	host := hostName
	if q.host != "" {
		host = q.host
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nCassiatray-Attempt-Id: %s\r\nCassiatray-Deadline-Ms: %d\r\n", q.method, q.path, host, o.id, q.deadline.Milliseconds())
	if q.object != "" {
		head += "Cookie: Cassiatray-Affinity-Key=" + q.object + "\r\n"
	}
	if _, err := io.WriteString(c, head+"\r\n"); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.method})
	if err != nil {
		return err
	}
	o.status, o.header = resp.StatusCode, resp.Header
	o.body, err = io.ReadAll(resp.Body)
	return err
}

// resolve asks a gateway's directory, and returns the addresses that it names.
func resolve(g *gateway, from place) ([]string, error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s/resolve?name=%s&region=%s&zone=%s", g.directory, hostName, from.region, from.zone))
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	var body struct {
		Addresses []string `json:"addresses"`
	}
	return body.Addresses, json.NewDecoder(resp.Body).Decode(&body)
}

// isReady reports whether a gateway says that it is ready.
func isReady(g *gateway) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + g.ready + "/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// isServers reports whether a success is the whole answer of a server.
func isServers(o outcome) bool {
	return o.err == nil && o.status == http.StatusOK && o.header.Get("Cassiatray-Response-Stamp") != "" && strings.Count(string(o.body), "x") == answerBytes
}
