package logging

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"cassiatray/internal/settings"
)

// TestFormats checks the prefix of a part in both formats, and the level.
func TestFormats(t *testing.T) {
	for _, format := range []string{"text", "json"} {
		var out bytes.Buffer
		log := Part(New(settings.Log{Format: format, Level: "warning"}, &out), "feed")
		log.Info("Not shown.")
		log.WithField("sequence", 7).Warn("Document in force.")
		if n := strings.Count(out.String(), "\n"); n != 1 {
			t.Fatalf("%s: %d lines: %s", format, n, &out)
		}
		if !strings.Contains(out.String(), "feed: Document in force.") {
			t.Errorf("%s: no prefix: %s", format, &out)
		}
		var line struct {
			Message  string `json:"msg"`
			Sequence int    `json:"sequence"`
		}
		err := json.Unmarshal(out.Bytes(), &line)
		if format == "json" && (err != nil || line.Sequence != 7 || line.Message != "feed: Document in force.") {
			t.Errorf("line %+v, error %v", line, err)
		}
	}
}
