package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cassiatray/internal/adapter/peer"
	"cassiatray/internal/adapter/serverconn"
	"cassiatray/internal/core/links"
	"cassiatray/internal/core/routing"
	"cassiatray/internal/daemon/memory"
	"cassiatray/internal/port"
	"cassiatray/internal/standin/rawserver"
	peerv1 "cassiatray/proto/peer/v1"
)

// refusingDialect is signedDialect for servers that also say that a request has not run.
type refusingDialect struct{ signedDialect }

func (refusingDialect) Server(_ int, h http.Header) port.ServerMeta {
	return port.ServerMeta{ID: h.Get("Id"), Signed: true, NotRun: h.Get("Not-Run") != ""}
}

// troubledGateways are addresses for callers of gateways whose servers all give one response.
type troubledGateways struct {
	// addresses are that of a gateway which reaches the servers itself, and that of one whose
	// requests another gateway forwards.
	addresses map[string]string
	// arrivals counts the requests at servers.
	arrivals atomic.Int32
}

func startTroubledGateways(t *testing.T, resp rawserver.Response) *troubledGateways {
	t.Helper()
	g := new(troubledGateways)
	s, err := rawserver.Start(func(r *http.Request) rawserver.Response {
		if r.Header.Get("Id") == "" {
			return rawserver.Response{Text: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}
		}
		g.arrivals.Add(1)
		return resp
	})
	if err != nil {
		t.Fatal(err)
	}
	pool := serverconn.New(refusingDialect{})
	gateway := func() *fixture {
		f := newFixture(nil)
		f.setConfig(plainConfig{Version: 2, Services: []routing.Service{{Name: "s", ColdRate: 6}}, Routes: testRoutes(), Limits: routing.Limits{BodyBytes: 2 * uploadSize, HeaderBytes: 4 << 10}})
		server := oneServer{pool, s.Address}
		f.node.dialect, f.node.forwarder, f.node.prober = refusingDialect{}, server, server
		return f
	}
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	helper, origin := gateway(), gateway()
	peers, streams := peer.NewServer(peer.NewIdentity("helper"), &exchanges{node: helper.node}), peer.NewPool(peer.NewIdentity("g"), peer.TCPDial)
	l := listen()
	peers.Start(l)
	origin.node.relays = newRelayPeers(streams)
	near := newCallerServer(helper.node, memory.NewClosings("gateway", discardLog()), discardLog())
	far := newCallerServer(origin.node, memory.NewClosings("gateway", discardLog()), discardLog())
	far.Handler = relayingHandler(origin, &links.Gateway{Host: "helper", Region: origin.node.cfg.Region, Address: l.Addr().String()})
	atServers, atHelper := listen(), listen()
	go near.Serve(atServers)
	go far.Serve(atHelper)
	g.addresses = map[string]string{"itself": atServers.Addr().String(), "through another gateway": atHelper.Addr().String()}
	t.Cleanup(func() {
		near.Close()
		far.Close()
		streams.Close()
		peers.Close()
		helper.stop()
		origin.stop()
		pool.Close()
		s.Close()
	})
	return g
}

// relayingHandler has another gateway forward each request.
func relayingHandler(origin *fixture, h *links.Gateway) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := origin.node
		req := n.newRequest(r)
		req.hold, req.view = holderOf(w), origin.keeper.View()
		req.route = matchRoute(req.view.config, r)
		n.prepare(req)
		if status, why := n.readBody(w, r, req); status != 0 {
			n.writeError(w, req, status, why)
			return
		}
		if ended, _ := n.relayTo(w, r, req, h); !ended {
			n.writeFailure(w, req, "not relayed")
		}
	})
}

// post sends a request with a body, and returns the status and the body of a whole answer, or 0.
func post(t *testing.T, address, path string, size int) (int, string) {
	t.Helper()
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, bytes.NewReader(make([]byte, size)))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header = http.Header{"Id": {"1"}, "Left": {"5s"}, "Object": {"o"}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(body)
}

const (
	// uploadSize is more than the buffers between a gateway and a server hold, in bytes.
	uploadSize = 40 << 20
	// streamedSize is the size of an answer that is passed on before it was read whole, in bytes.
	streamedSize = 4 * maxBufferedBody
)

// checkBroken sends requests to gateways whose servers give a broken answer: each caller must be
// told that its request failed, or be cut off, and servers get one that must run once only once.
func checkBroken(t *testing.T, name string, resp rawserver.Response, size int) {
	g := startTroubledGateways(t, resp)
	for way, address := range g.addresses {
		for path, most := range map[string]int32{"/get/1": 2, "/post/1": 1} {
			g.arrivals.Store(0)
			status, body := post(t, address, path, size)
			if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
				t.Errorf("%s, %s, %s: the caller got %d and %d bytes as a whole answer", name, way, path, status, len(body))
			}
			if n := g.arrivals.Load(); n == 0 || n > most {
				t.Errorf("%s, %s, %s: %d arrivals at servers, at most %d are allowed", name, way, path, n, most)
			}
		}
	}
}

// Guards against a part of an answer that reaches a caller as a whole one, and against a refusal
// that a reset connection does not prove: servers answer an upload at once, without a length, and
// reset the connection while it is written.
func TestEarlyAnswerThatIsResetThroughGateways(t *testing.T) {
	for _, status := range []string{"200 OK", "503 X\r\nNot-Run: 1"} {
		text := "HTTP/1.1 " + status + "\r\nId: 1\r\n\r\nabcde"
		checkBroken(t, status, rawserver.Response{Text: text, Early: true, Ending: rawserver.Reset, Pause: 200 * time.Millisecond}, uploadSize)
	}
}

// Guards against a streamed answer without a length whose connection is reset, and that ends at the
// caller as if it were whole.
func TestStreamedAnswerThatIsResetThroughGateways(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n" + strings.Repeat("a", streamedSize)
	checkBroken(t, "streamed", rawserver.Response{Text: text, Ending: rawserver.Reset, Pause: 200 * time.Millisecond}, 4)
}

// Guards against responses that HTTP does not allow and that reach a caller, or that are believed
// when they say that a request has not run.
func TestMalformedResponsesThroughGateways(t *testing.T) {
	for status, fields := range map[int]string{http.StatusOK: "", http.StatusNotFound: "", http.StatusServiceUnavailable: "Not-Run: 1\r\n"} {
		for name, text := range rawserver.Malformed(status, "Id: 1\r\n"+fields, "ok") {
			checkBroken(t, fmt.Sprintf("%d, %s", status, name), rawserver.Response{Text: text, Ending: rawserver.Finish}, 4)
		}
	}
}

// Checks that responses that HTTP allows reach the caller, however rare.
func TestUnusualResponsesThroughGateways(t *testing.T) {
	for name, text := range rawserver.Unusual(http.StatusOK, "Id: 1\r\n", "ok") {
		g := startTroubledGateways(t, rawserver.Response{Text: text, Ending: rawserver.Finish})
		for way, address := range g.addresses {
			if status, body := post(t, address, "/post/1", 4); status != http.StatusOK || body != "ok" {
				t.Errorf("%s, %s: the caller got %d %q", name, way, status, body)
			}
		}
	}
}

// Guards against the name of a field that a helper of another build passes on although HTTP does
// not allow it.
func TestMalformedRelayHead(t *testing.T) {
	f := newFixture(nil)
	for name, valid := range map[string]bool{"X-Y": true, "X Y": false, "X-Y ": false, "X\x00Y": false, "": false} {
		x := &headStream{status: http.StatusOK, headers: []*peerv1.Header{{Name: name, Value: "a"}}}
		req := &inflightRequest{deadline: time.Now().Add(time.Second)}
		if _, a, err := f.node.exchange(t.Context(), x, req); valid != (err == nil) {
			t.Errorf("name %q: answer %+v, error %v", name, a, err)
		}
	}
}
