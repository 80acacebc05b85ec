package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"cassiatray/internal/core/mirror"
	"cassiatray/internal/core/routing"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

// Guards against logs that do not tell under which version an attempt was made, and where.
func TestLogTellsVersionAndRegionOfAttempts(t *testing.T) {
	var f *fixture
	f = newFixture(func(_ context.Context, n int, _ string) (*port.ForwardAnswer, error) {
		if n == 1 {
			f.setConfig(plainConfig{Version: 5, Services: []routing.Service{{Name: "s"}}, Routes: testRoutes()})
			return notRunAnswer(), nil
		}
		return okAnswer(), nil
	})
	hook := logtest.NewLocal(f.node.log.Logger)
	if w := f.do("GET", "/home/"); w.Code != 200 {
		t.Fatalf("status %d", w.Code)
	}
	got := lastAttempts(t, hook)
	if len(got) != 2 || got[0]["version"] != nil || got[1]["version"] != 5.0 || got[0]["region"] != "b" || got[1]["region"] != "b" {
		t.Errorf("logged %v", got)
	}
}

// Guards against metrics that do not tell since when a gateway has had its configuration, and how
// long that was on its way.
func TestMetricsTellWhenConfigurationCame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(nil)
		reg := prometheus.NewRegistry()
		reg.MustRegister(configGauges(f.keeper)...)
		now := time.Now()
		record := mirror.Record{Key: "config", Revision: 200, Read: now.Add(-1500 * time.Millisecond), Value: encode(plainConfig{Version: 7, Services: []routing.Service{{Name: "s"}}, Routes: testRoutes()})}
		f.keeper.TakePage(&peerv1.MirrorPage{Complete: 200, Records: []*peerv1.StoreRecord{recordMessage(record, now)}}, "hub", now)
		time.Sleep(2 * time.Second)
		families, err := reg.Gather()
		if err != nil {
			t.Fatal(err)
		}
		got := map[string]float64{}
		for _, m := range families {
			got[m.GetName()] = m.GetMetric()[0].GetGauge().GetValue()
		}
		for name, want := range map[string]float64{"cassiatray_config_version": 7, "cassiatray_config_in_force_seconds": 2, "cassiatray_config_age_at_start_seconds": 1.5} {
			if got[name] != want {
				t.Errorf("%s is %v, want %v", name, got[name], want)
			}
		}
	})
}

// Guards against a log that is filled by an outage: one line for each report of each server.
func TestReportsShareALine(t *testing.T) {
	f := newFixture(nil)
	hook := logtest.NewLocal(f.keeper.log.Logger)
	var reports []*peerv1.ServerReport
	for i := range uint64(50) {
		reports = append(reports, &peerv1.ServerReport{Origin: "other/1", Number: i + 1, Server: "i-" + testDomains[i%6].Domain})
	}
	f.keeper.takeReports(reports, time.Now())
	if lines := hook.AllEntries(); len(lines) != 1 || len(lines[0].Data["servers"].([]string)) != len(testDomains) {
		t.Errorf("%d lines, the first with %v", len(lines), lines[0].Data)
	}
}
