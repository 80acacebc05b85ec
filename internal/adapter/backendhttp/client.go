// Package backendhttp sends requests to backend servers over HTTP/1.1 and
// checks that each answer is whole and belongs to its request.
package backendhttp

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cassiatray/internal/adapter/bounded"
	"cassiatray/internal/adapter/httpclient"
	"cassiatray/internal/core/membudget"
	"cassiatray/internal/port"
)

// Headers exchanged with backend servers.
const (
	// HeaderRequestID is echoed by the server in its answer.
	HeaderRequestID = "X-Request-Id"
	// HeaderTimeout is the time left, in milliseconds.
	HeaderTimeout = "X-Timeout-Ms"
	// HeaderDraining is set to "true" by a server that is leaving.
	HeaderDraining = "X-Draining"
	// HeaderLoad is "in-flight/slots" as the server reports it.
	HeaderLoad = "X-Load"
	// HeaderBoot identifies the server's process.
	HeaderBoot = "X-Boot-Id"
	// HeaderNotRun is set to "true" by a server that sheds a request with
	// status 503 and did not begin it.
	HeaderNotRun = "X-Not-Run"
	// headerRetryAfter is how long a shedding server asks for, in seconds.
	headerRetryAfter = "Retry-After"
	// headerTrue is the value of headers that are set.
	headerTrue = "true"
)

// Limits of the connections to one server.
const (
	// maxHead bounds the head of an answer, in bytes; heads have a few hundred.
	maxHead        = 64 << 10
	idleTimeout    = 60 * time.Second
	connectTimeout = time.Second
)

// Client implements port.Backend and port.BackendProber.
type Client struct {
	mu       sync.Mutex
	maxConns int
	http     atomic.Pointer[http.Client]
}

// New returns a client that holds at most maxConns connections to each server.
func New(maxConns int) *Client {
	c := new(Client)
	c.SetLimit(maxConns)
	return c
}

// SetLimit changes how many connections the client holds to each server.
// Exchanges under way keep theirs.
func (c *Client) SetLimit(maxConns int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if maxConns == c.maxConns {
		return
	}
	c.maxConns = maxConns
	transport := &http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     maxConns,
		MaxIdleConnsPerHost: maxConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHead,
	}
	client := httpclient.New(transport)
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	old := c.http.Swap(client)
	if old != nil {
		old.CloseIdleConnections()
	}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.Load().CloseIdleConnections() }

// onceBody is a request body that the transport cannot rewind, so that it
// cannot send the request a second time.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

// Do implements port.Backend.
func (c *Client) Do(ctx context.Context, address string, r *port.BackendRequest) (*port.BackendAnswer, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	room := answerRoom{hold: membudget.FromContext(ctx)}
	if !room.reserve(r.MaxAnswer) {
		return nil, &port.BackendError{Code: port.BackendNoRoom, Address: address, Err: ErrNoRoom}
	}
	x := new(exchange)
	req, err := newRequest(httpclient.WithConn(ctx, x.follow), address, r)
	if err != nil {
		return nil, &port.BackendError{Code: port.BackendConnect, Address: address, Err: err}
	}
	resp, err := c.http.Load().Do(req)
	if err != nil {
		room.free()
		return nil, failure(ctx, address, x.abandon(), err)
	}
	defer resp.Body.Close()
	refusal := shed(address, resp)
	a, err := read(ctx, address, r, resp, &room)
	if err != nil {
		room.free()
		x.abandon()
		return nil, err
	}
	if refusal != nil {
		return nil, refusal
	}
	return a, nil
}

// Probe implements port.BackendProber.
func (c *Client) Probe(ctx context.Context, address string) (*port.BackendHealth, error) {
	x := new(exchange)
	req, err := http.NewRequestWithContext(httpclient.WithConn(ctx, x.follow), http.MethodGet, "http://"+address+"/health", nil)
	if err != nil {
		return nil, &port.BackendError{Code: port.BackendConnect, Address: address, Err: err}
	}
	resp, err := c.http.Load().Do(req)
	if err != nil {
		return nil, failure(ctx, address, false, err)
	}
	defer resp.Body.Close()
	if got := resp.Header.Get(HeaderRequestID); got != "" {
		// An answer to a request, which comes late; that to the check is still due.
		x.abandon()
		return nil, &port.BackendError{Code: port.BackendMismatch, Address: address, Sent: true, Err: &MismatchError{Got: got}}
	}
	io.Copy(io.Discard, io.LimitReader(resp.Body, maxHealth))
	return &port.BackendHealth{
		Healthy: resp.StatusCode == http.StatusOK, Leaving: resp.Header.Get(HeaderDraining) == headerTrue,
		Boot: resp.Header.Get(HeaderBoot),
	}, nil
}

// maxHealth bounds the body of a health answer, in bytes.
const maxHealth = 4 << 10

// ShedError is a server's refusal because of its load.
type ShedError struct{ NotRun bool }

func (e *ShedError) Error() string { return fmt.Sprintf("shed by the server (not run=%t)", e.NotRun) }

// shed reads a refusal: status 503 with Retry-After. Only with HeaderNotRun is
// it proved that the request did not run.
func shed(address string, resp *http.Response) error {
	after := resp.Header.Get(headerRetryAfter)
	if resp.StatusCode != http.StatusServiceUnavailable || after == "" {
		return nil
	}
	notRun := resp.Header.Get(HeaderNotRun) == headerTrue
	seconds, err := strconv.Atoi(after)
	if err != nil || seconds < 0 {
		seconds = 0
	}
	return &port.BackendError{
		Code: port.BackendShed, Address: address, Sent: true, NotRun: notRun,
		RetryAfter: time.Duration(seconds) * time.Second, Err: &ShedError{NotRun: notRun},
	}
}

func newRequest(ctx context.Context, address string, r *port.BackendRequest) (*http.Request, error) {
	url := "http://" + address + r.Path
	if r.RawQuery != "" {
		url += "?" + r.RawQuery
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, url, nil)
	if err != nil {
		return nil, err
	}
	req.Header = r.Header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	// The transport sends a request again by itself when it has no body, or
	// one that it can rewind, and a kept connection closes under it. A body of
	// unknown identity forbids that; retries are decided above this layer.
	req.Body = onceBody{bytes.NewReader(r.Body)}
	req.ContentLength = int64(len(r.Body))
	req.Header.Set(HeaderRequestID, r.RequestID)
	left := max(1, time.Until(r.Deadline).Milliseconds())
	req.Header.Set(HeaderTimeout, strconv.FormatInt(left, 10))
	return req, nil
}

func failure(ctx context.Context, address string, sent bool, err error) error {
	code := port.BackendBroken
	switch {
	case !sent && errors.Is(err, syscall.ECONNREFUSED):
		code = port.BackendRefused
	case !sent:
		code = port.BackendConnect
	case errors.Is(ctx.Err(), context.Canceled):
		code = port.BackendCanceled
	case ctx.Err() != nil:
		code = port.BackendTimeout
	}
	return &port.BackendError{Code: code, Address: address, Sent: sent, Err: err}
}

// MismatchError is an answer that names another request.
type MismatchError struct{ Want, Got string }

func (e *MismatchError) Error() string {
	return fmt.Sprintf("answer to request %q, sent %q", e.Got, e.Want)
}

// SizeError is an answer over its limit, in bytes.
type SizeError struct{ Limit int64 }

func (e *SizeError) Error() string { return fmt.Sprintf("answer over %d bytes", e.Limit) }

func read(ctx context.Context, address string, r *port.BackendRequest, resp *http.Response, room *answerRoom) (*port.BackendAnswer, error) {
	if got := resp.Header.Get(HeaderRequestID); got != r.RequestID {
		err := &MismatchError{Want: r.RequestID, Got: got}
		return nil, &port.BackendError{Code: port.BackendMismatch, Address: address, Sent: true, Err: err}
	}
	body, _, refused, err := bounded.Read(resp.Body, resp.ContentLength, int(r.MaxAnswer)+1, room.grow)
	if refused {
		return nil, &port.BackendError{Code: port.BackendNoRoom, Address: address, Sent: true, Err: ErrNoRoom}
	}
	if err != nil {
		fe := failure(ctx, address, true, err)
		var be *port.BackendError
		if errors.As(fe, &be) && be.Code == port.BackendBroken {
			be.Code = port.BackendShort
		}
		return nil, fe
	}
	if int64(len(body)) > r.MaxAnswer {
		return nil, &port.BackendError{Code: port.BackendTooLarge, Address: address, Sent: true, Err: &SizeError{Limit: r.MaxAnswer}}
	}
	a := &port.BackendAnswer{Status: resp.StatusCode, Header: resp.Header, Body: body}
	a.Leaving = resp.Header.Get(HeaderDraining) == headerTrue
	a.Boot = resp.Header.Get(HeaderBoot)
	a.Load = parseLoad(resp.Header.Get(HeaderLoad))
	for _, h := range []string{HeaderRequestID, HeaderDraining, HeaderLoad, HeaderBoot, HeaderNotRun, "Connection", "Keep-Alive", "Transfer-Encoding"} {
		a.Header.Del(h)
	}
	return a, nil
}

// ErrNoRoom is the cause of a BackendNoRoom.
const ErrNoRoom = noRoom("no memory for the answer")

type noRoom string

func (e noRoom) Error() string { return string(e) }

// reservedAnswer is how much of an answer has its memory before the request is sent, in bytes.
const reservedAnswer = 64 << 10

// answerRoom is the memory for one answer.
type answerRoom struct {
	hold           *membudget.Holder
	reserved, used int64
}

// reserve asks for the memory of an answer of usual size, so that a request whose answer cannot be
// held is not sent.
func (a *answerRoom) reserve(most int64) bool {
	n := min(most, reservedAnswer)
	if !a.hold.Grow(n, time.Now()) {
		return false
	}
	a.reserved = n
	return true
}

// grow asks for bytes, of which those reserved are there already, or frees them if negative.
func (a *answerRoom) grow(bytes int) bool {
	before := max(a.used, a.reserved)
	more := max(a.used+int64(bytes), a.reserved) - before
	if more > 0 && !a.hold.Grow(more, time.Now()) {
		return false
	}
	if more < 0 {
		a.hold.Shrink(-more)
	}
	a.used += int64(bytes)
	return true
}

// free gives back all of the memory.
func (a *answerRoom) free() {
	a.hold.Shrink(max(a.used, a.reserved))
	a.used, a.reserved = 0, 0
}

func parseLoad(text string) *port.BackendLoad {
	used, slots, ok := strings.Cut(text, "/")
	if !ok {
		return nil
	}
	u, err1 := strconv.Atoi(used)
	s, err2 := strconv.Atoi(slots)
	if err1 != nil || err2 != nil || u < 0 || s < 0 {
		return nil
	}
	return &port.BackendLoad{InFlight: u, Slots: s}
}
