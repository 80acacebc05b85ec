package gateway

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cassiatray/internal/core/document"
	"cassiatray/internal/settings"
)

const goodSettings = `host: "edge-a-1"
domain: "a1"
region: "a"
domains:
  - {domain: "a1", region: "a"}
  - {domain: "b1", region: "b"}
caller: "10.0.0.1:80"
ready: "10.0.0.1:81"
directory: "10.0.0.1:82"
peer: "10.0.0.1:83"
operator: "10.0.0.1:84"
seeds: ["10.0.0.2:9", "10.0.0.3:9"]
store: "10.0.1.1:90"
source: "10.0.0.7"
capacity: 0.224
memory: "206MiB"
bounds:
  grace: "6s"
  retryExtra: 139
  holdMax: "5s"
log:
  format: json
`

func load(t *testing.T, text string) (*Settings, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg := new(Settings)
	return cfg, settings.Load(file, cfg)
}

func TestSettings(t *testing.T) {
	cfg, err := load(t, goodSettings)
	if err != nil {
		t.Fatal(err)
	}
	if cfg.regionOf("b1") != "b" || cfg.Source.String() != "10.0.0.7" || cfg.Bounds.RetryExtra != 139 || time.Duration(cfg.Bounds.RetryWindow) != defaultRetryWindow {
		t.Errorf("settings %+v", cfg)
	}
}

// Guards against bounds that settings do not reach, or that are in force without any: the
// process's own limit of descriptors holds where the settings name a higher one.
func TestMemorySettings(t *testing.T) {
	for extra, want := range map[string]struct {
		budget int64
		conns  int
	}{
		"":                                       {75602329, 1602},
		"memoryBudget: \"64MiB\"\n":              {64 << 20, 1602},
		"descriptors: 1200\n":                    {75602329, 600},
		"descriptors: 9000\n":                    {75602329, 1602},
		"connections: 5000\ndescriptors: 1200\n": {75602329, 5000},
	} {
		cfg, err := load(t, extra+goodSettings)
		if err != nil {
			t.Fatal(err)
		}
		if cfg.limits(2870).BudgetBytes() != want.budget || cfg.limits(2870).MaxConnections() != want.conns {
			t.Errorf("%q: %d bytes, %d connections, want %+v", extra, cfg.limits(2870).BudgetBytes(), cfg.limits(2870).MaxConnections(), want)
		}
	}
	cfg, err := load(t, strings.Replace(goodSettings, "memory: \"206MiB\"\n", "", 1))
	if err != nil {
		t.Fatal(err)
	}
	if cfg.limits(2870).BudgetBytes() != 0 || cfg.limits(0).MaxConnections() != 0 {
		t.Errorf("without limits: %d bytes, %d connections", cfg.limits(2870).BudgetBytes(), cfg.limits(0).MaxConnections())
	}
}

// TestWrongSettings checks that every fault is named with its key, all at once.
func TestWrongSettings(t *testing.T) {
	for key, edit := range map[string][2]string{
		"host":              {`"edge-a-1"`, `""`},
		"caller":            {`"10.0.0.1:80"`, `"here"`},
		"ready":             {`"10.0.0.1:81"`, `"10.0.0.1:80"`},
		"domains":           {`region: "a"}`, `region: "c"}`},
		"capacity":          {"0.224", "0"},
		"bounds.retryRatio": {"retryExtra: 139", "retryExtra: -1"},
		"memoryBudget":      {`memory: "206MiB"`, "memory: \"206MiB\"\nmemoryBudget: \"207MiB\""},
		"descriptors":       {`memory: "206MiB"`, `descriptors: 200`},
		"connections":       {`memory: "206MiB"`, `connections: -1`},
		"bounds.grace":      {`"6s"`, `"6"`},
		"log.format":        {"json", "xml"},
		"wrong":             {"capacity:", "wrong: 1\ncapacity:"},
	} {
		_, err := load(t, strings.Replace(goodSettings, edit[0], edit[1], 1))
		var invalid *document.InvalidError
		if !errors.As(err, &invalid) {
			t.Errorf("%s: error %v", key, err)
			continue
		}
		found := false
		for _, p := range invalid.Problems {
			found = found || p.Key == key && p.Line > 0
		}
		if !found {
			t.Errorf("%s is not named: %v", key, err)
		}
	}
}
