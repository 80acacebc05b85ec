package docs

import (
	"encoding"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"cassiatray/internal/core/document"
	"cassiatray/internal/daemon/entry"
	"cassiatray/internal/daemon/gateway"
	"cassiatray/internal/daemon/steer"
	"cassiatray/internal/standin"
)

// keys returns the path of every YAML key below a type, such as
// "services[].slots".
func keys(path string, t reflect.Type) []string {
	if reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()) {
		return []string{path}
	}
	switch t.Kind() {
	case reflect.Slice:
		return keys(path+"[]", t.Elem())
	case reflect.Struct:
		var out []string
		for i := range t.NumField() {
			name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
			out = append(out, keys(strings.TrimPrefix(path+"."+name, "."), t.Field(i).Type)...)
		}
		return out
	}
	return []string{path}
}

// part returns a page from a heading to the next of its level.
func part(t *testing.T, page, heading string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(root, "docs", "operations", page))
	if err != nil {
		t.Fatal(err)
	}
	if heading == "" {
		return string(data)
	}
	_, text, _ := strings.Cut(string(data), "\n## "+heading+"\n")
	text, _, _ = strings.Cut(text, "\n## ")
	return text
}

// undocumented returns the keys of a type without a row of a table in a text.
func undocumented(text string, t reflect.Type) []string {
	var out []string
	for _, key := range keys("", t) {
		if !strings.Contains(text, "\n| `"+key+"` |") {
			out = append(out, key)
		}
	}
	return out
}

func TestEveryKeyIsDocumented(t *testing.T) {
	for _, c := range []struct {
		page, heading string
		of            reflect.Type
	}{
		{"document.md", "", reflect.TypeFor[document.Document]()},
		{"settings.md", "cassiatray-entry", reflect.TypeFor[entry.Settings]()},
		{"settings.md", "cassiatray-steer", reflect.TypeFor[steer.Settings]()},
		{"settings.md", "cassiatray-gateway", reflect.TypeFor[gateway.Settings]()},
		{"settings.md", "cassiatray-standin", reflect.TypeFor[standin.Settings]()},
	} {
		text := part(t, c.page, c.heading)
		if missing := undocumented(text, c.of); len(missing) > 0 {
			t.Errorf("%s %s lacks %v", c.page, c.heading, missing)
		}
		first := keys("", c.of)[0]
		without := strings.Replace(text, "| `"+first+"` |", "", 1)
		if missing := undocumented(without, c.of); len(missing) != 1 {
			t.Errorf("%s %s: a missing row is not found", c.page, c.heading)
		}
	}
}
