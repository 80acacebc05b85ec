package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/mirror"
	"cassiatray/internal/logging"
	"cassiatray/internal/port"
	"cassiatray/internal/settings"
)

// newBenchmarkFixture returns a gateway with a number of servers, with or without request
// logs.
func newBenchmarkFixture(servers int, logs bool) *fixture {
	f := newFixture(func(context.Context, int, string) (*port.ForwardAnswer, error) { return okAnswer(), nil })
	f.node.forwarder = okForwarder{}
	if logs {
		f.node.log = logging.Part(logging.New(settings.Log{Format: "json", Level: "info"}, io.Discard), "request")
	}
	var records []mirror.Record
	for i := range servers {
		records = append(records, f.serverRecord(fleet.Record{ID: fmt.Sprintf("i-%06x", i*7919), Domain: testDomains[i%len(testDomains)].Domain, Slots: 9}, uint64(100+i)))
	}
	f.keeper.Apply(records, uint64(100+servers), "store", time.Now())
	return f
}

// okForwarder responds immediately and records nothing.
type okForwarder struct{}

func (okForwarder) Forward(context.Context, string, *port.ForwardRequest) (*port.ForwardAnswer, error) {
	return okAnswer(), nil
}

// BenchmarkServe measures one request through a gateway, without connections.
func BenchmarkServe(b *testing.B) {
	for _, servers := range []int{36, 400, 1000, 4000} {
		for _, logs := range []bool{false, true} {
			g := newBenchmarkFixture(servers, logs)
			objects := make([]*http.Request, 200)
			for i := range objects {
				r := httptest.NewRequest(http.MethodGet, "/get/a", nil)
				r.Host = "h"
				r.Header.Set("Id", "9c41d07be2a35f68")
				r.Header.Set("Left", "4s")
				r.Header.Set("Object", fmt.Sprint(i))
				objects[i] = r
			}
			b.Run(fmt.Sprintf("servers=%d/logs=%t", servers, logs), func(b *testing.B) {
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					g.node.ServeHTTP(httptest.NewRecorder(), objects[i%len(objects)])
				}
			})
		}
	}
}

// BenchmarkView measures building a view after a change of a server, and of a gateway.
func BenchmarkView(b *testing.B) {
	for _, servers := range []int{36, 400, 1000, 4000} {
		g := newBenchmarkFixture(servers, false)
		for _, placementChanged := range []bool{true, false} {
			b.Run(fmt.Sprintf("servers=%d/moved=%t", servers, placementChanged), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					g.keeper.mu.Lock()
					g.keeper.placementChanged = placementChanged
					g.keeper.publish(time.Now())
					g.keeper.mu.Unlock()
				}
			})
		}
	}
}

// BenchmarkChooseServer measures the choice of a server for objects whose first servers have
// reported their load, with or without their pace.
func BenchmarkChooseServer(b *testing.B) {
	for _, slowdown := range []float64{0, 1} {
		b.Run(fmt.Sprintf("paced=%t", slowdown > 0), func(b *testing.B) {
			g := newBenchmarkFixture(400, false)
			now := time.Now()
			for _, s := range g.keeper.Servers() {
				s.recordLoad(&port.ServerLoad{Running: 4, Slots: 9, Slowdown: slowdown}, 1, now)
				for object := range uint64(maxSentObjects) {
					s.markWarm(object, now)
				}
			}
			var requests []*inflightRequest
			for i := range 200 {
				req := &inflightRequest{start: now, caller: port.CallerMeta{Object: fmt.Sprint(i), Left: time.Hour}, view: g.keeper.View()}
				req.route = req.view.config.Match("h", "/get/a")
				g.node.prepare(req)
				requests = append(requests, req)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				g.node.chooseServer(requests[i%len(requests)].view, requests[i%len(requests)], now)
			}
		})
	}
}
