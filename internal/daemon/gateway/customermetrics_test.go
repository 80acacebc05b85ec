package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"cassiatray/internal/logging"
	"cassiatray/internal/port"
	"cassiatray/internal/settings"
)

// Guards against a key in logs, metrics, the dump and messages to other gateways, and against
// logs and dumps that do not tell the customer and the number of customers.
func TestKeysStayHidden(t *testing.T) {
	var logs bytes.Buffer
	reg := prometheus.NewRegistry()
	f := newCustomerFixture(func(_ context.Context, n int, _ string) (*port.ForwardAnswer, error) { return nil, brokenError(true) })
	f.node.log, f.keeper.log = logging.Part(logging.New(settings.Log{Format: "json", Level: "debug"}, &logs), "request"), discardLog()
	f.node.metrics = NewMetrics(reg)
	f.setConfig(customerConfig(3, []string{secretKey}))
	r := httptest.NewRequest("GET", "/get/", nil)
	r.Host = "h"
	r.Header.Set("Key", secretKey)
	f.node.ServeHTTP(httptest.NewRecorder(), r)
	f.do("GET", "/get/", "Key", "guess-"+secretKey)
	req := f.node.newRequest(r)
	req.view = f.keeper.View()
	req.route = matchRoute(req.view.config, r)
	if !f.node.identify(httptest.NewRecorder(), req) {
		t.Fatal("not identified")
	}
	f.node.prepare(req)
	families, err := reg.Gather()
	if err != nil {
		t.Fatal(err)
	}
	dump, err := json.Marshal(f.node.Dump())
	if err != nil {
		t.Fatal(err)
	}
	offer := f.node.offerOf(r, req)
	for name, text := range map[string]string{"logs": logs.String(), "metrics": fmt.Sprint(families), "dump": string(dump), "offer": offer.String(), "fingerprint": req.fingerprint()} {
		if strings.Contains(text, secretKey) {
			t.Errorf("%s contain the key: %s", name, text)
		}
	}
	if !strings.Contains(logs.String(), `"customer":"x"`) || !strings.Contains(fmt.Sprint(families), `value:"x"`) {
		t.Errorf("the customer is not named in logs and metrics: %s", logs.String())
	}
	if !strings.Contains(string(dump), `"customers":2`) || !strings.Contains(string(dump), `"version":3`) || offer.Customer != "x" {
		t.Errorf("dump %s, customer of the offer %q", dump, offer.Customer)
	}
}

// Guards against metrics that grow with the number of customers.
func TestCustomerMetricsAreBounded(t *testing.T) {
	reg := prometheus.NewRegistry()
	m := NewMetrics(reg)
	for i := range 3 * maxCustomerLabels {
		for status := range 1000 {
			m.customers.count(fmt.Sprint(i%(2*maxCustomerLabels)), status)
		}
	}
	families, err := reg.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if n := len(family.Metric); n > 8*(maxCustomerLabels+1) {
			t.Errorf("%s: %d series", family.GetName(), n)
		}
	}
}
