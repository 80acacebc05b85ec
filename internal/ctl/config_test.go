package ctl

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"cassiatray/internal/core/routing"
	"cassiatray/internal/port"
)

// plainSchema decodes configurations that are written as "version service...".
type plainSchema struct{ port.Schema }

func (plainSchema) Config(value []byte) (*routing.Config, error) {
	words := strings.Fields(string(value))
	if len(words) == 0 {
		return nil, &port.RecordError{Key: "config", Field: "version", Reason: "missing"}
	}
	var services []routing.Service
	for _, name := range words[1:] {
		services = append(services, routing.Service{Name: name})
	}
	return routing.NewConfig(uint64(len(words[0])), services, routing.Limits{}, nil), nil
}

// TestCheckConfig guards against exit statuses and output that scripts cannot go by.
func TestCheckConfig(t *testing.T) {
	dir := t.TempDir()
	files := map[string]string{"bad": "", "one": "v", "two": "vv", "spare": "vvv s"}
	for name, text := range files {
		files[name] = filepath.Join(dir, name)
		if err := os.WriteFile(files[name], []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		args   []string
		status int
		want   string
	}{
		{[]string{files["two"]}, ExitOK, "nothing found"},
		{[]string{files["two"], "--in-force", files["one"], "--strict"}, ExitOK, "changes from version 1: 0"},
		{[]string{files["one"], "--in-force", files["two"]}, ExitOK, "version 1 is not above version 2: gateways ignore it"},
		{[]string{files["spare"], "--in-force", files["one"]}, ExitOK, "service s: added"},
		{[]string{files["spare"], "--strict"}, ExitFindings, "service s: no route names it"},
		{[]string{files["bad"]}, ExitInvalid, "field version: missing"},
		{[]string{files["one"], "--in-force", files["bad"]}, ExitInvalid, "field version: missing"},
		{[]string{filepath.Join(dir, "none")}, ExitInvalid, "no such file"},
	} {
		for _, form := range []Output{OutputText, OutputJSON} {
			var cli CLI
			var out bytes.Buffer
			k, err := kong.Must(&cli).Parse(append([]string{"check-config", "--output", string(form)}, c.args...))
			if err != nil {
				t.Fatal(err)
			}
			app := NewApp(t.Context(), &cli, &out)
			app.Schema = plainSchema{}
			status := Report(&out, cli.Output, k.Run(app))
			if status != c.status || form == OutputText && !strings.Contains(out.String(), c.want) {
				t.Errorf("%v: status %d, want %d, and %q in\n%s", c.args, status, c.status, c.want, out.String())
			}
			if form == OutputText {
				continue
			}
			var end error
			for dec := json.NewDecoder(&out); end == nil; {
				var v map[string]any
				end = dec.Decode(&v)
			}
			if !errors.Is(end, io.EOF) {
				t.Errorf("%v: no JSON: %v", c.args, end)
			}
		}
	}
}
