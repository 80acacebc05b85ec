package document

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

func baseText(t testing.TB) string {
	t.Helper()
	data, err := os.ReadFile("testdata/base.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// editBase applies lines of the form "old => new" to the base document. In
// them, \n stands for a line break and (none) for an empty replacement.
func editBase(t testing.TB, edits string) string {
	t.Helper()
	text := baseText(t)
	for line := range strings.SplitSeq(edits, "\n") {
		if line == "" {
			continue
		}
		line = strings.ReplaceAll(line, `\n`, "\n")
		old, replacement, ok := strings.Cut(line, " => ")
		if !ok || !strings.Contains(text, old) {
			t.Fatalf("the base document does not contain %q", old)
		}
		replacement = strings.TrimSuffix(replacement, "(none)")
		text = strings.Replace(text, old, replacement, 1)
	}
	return text
}

func mustParseText(t testing.TB, text string) *Document {
	t.Helper()
	doc, err := Parse("base.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

func TestCheck(t *testing.T) {
	datadriven.RunTest(t, "testdata/check/semantics", func(t *testing.T, d *datadriven.TestData) string {
		if _, err := Parse("d", []byte(editBase(t, d.Input))); err != nil {
			return err.Error()
		}
		return "valid"
	})
}

// malformedInputs are inputs on which a parser may loop, panic or allocate too
// much.
var malformedInputs = map[string]string{
	"empty":         "",
	"nested flow":   strings.Repeat("[", 200_000),
	"nested blocks": strings.Repeat("- ", 100_000),
	"nested maps":   "weigh: " + strings.Repeat("{a: ", 20_000),
	"alias bomb":    "weigh: &a [x,x]\nregions: &b [*a,*a]\nlinks: [*b,*b]\n",
	"self alias":    "regions: &a\n  - *a\n",
	"merge key":     "<<: {weigh: latency}\n",
	"giant number":  "lookup: {ttl: 10s, hosts: 1e999999999}\n",
	"giant integer": "lookup: {hosts: " + strings.Repeat("9", 100_000) + "}\n",
	"giant share":   "caps: {shift: {share: 1e400%, per: 1m}}\n",
	"giant period":  "caps: {shift: {share: 1%, per: 99999999999999h}}\n",
	"bad UTF-8":     "weigh: \"\xff\xfe\"\n",
	"nul":           "weigh: \x00\n",
	"binary":        "weigh: !!binary gIGC\n",
	"complex key":   "? [a, b]\n: c\n",
	"two documents": "weigh: latency\n---\nweigh: latency\n",
	"many problems": strings.Repeat("- \n", 100_000),
	"many unknown":  "regions: [" + strings.Repeat("a,", 100_000) + "]\n",
	"null":          "~\n",
	"huge":          strings.Repeat("#", MaxFile+1),
}

func TestParseRejectsMalformedInput(t *testing.T) {
	for name, text := range malformedInputs {
		_, err := Parse("d", []byte(text))
		var invalid *InvalidError
		if !errors.As(err, &invalid) {
			t.Errorf("%s: error %v is not an InvalidError", name, err)
		}
		if n := len(invalid.Problems); n == 0 || n > maxProblems+1 {
			t.Errorf("%s: %d problems", name, n)
		}
	}
}

// FuzzParse checks that any input gives a valid document or an InvalidError,
// and that a valid document does not change when it is divided into sections
// and joined.
func FuzzParse(f *testing.F) {
	base := baseText(f)
	f.Add([]byte(base))
	for _, text := range malformedInputs {
		if len(text) < len(base) {
			f.Add([]byte(text))
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := Parse("d", data)
		var invalid *InvalidError
		if err != nil {
			if !errors.As(err, &invalid) || len(invalid.Problems) == 0 {
				t.Fatalf("error %v is not an InvalidError", err)
			}
			return
		}
		if got := divideAndJoin(t, doc); len(Diff(doc, got)) > 0 {
			t.Fatalf("document differs after Divide and Join: %v", Diff(doc, got))
		}
	})
}

func divideAndJoin(t testing.TB, doc *Document) *Document {
	sections, err := Divide(doc)
	if err != nil {
		t.Fatal(err)
	}
	out, err := Join(sections)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// TestCheckRejectsDrainsThatLeaveNoServers compares the check of drains, which
// looks only at their start times, with the state in every minute of the plan.
func TestCheckRejectsDrainsThatLeaveNoServers(t *testing.T) {
	base := mustParseText(t, baseText(t))
	targets := []Drain{{Server: "sheetvault/v1"}, {Server: "sheetvault/v2"}, {Domain: "gulf-a"}, {Region: "delta"}, {Region: "gulf"}, {Region: "carolinas"}}
	rapid.Check(t, func(rt *rapid.T) {
		doc := *base
		doc.Drains = nil
		start := base.Drains[0].At
		for range rapid.IntRange(1, 5).Draw(rt, "drains") {
			d := rapid.SampledFrom(targets).Draw(rt, "target")
			d.At = start.Add(minutes(rapid.IntRange(0, 9).Draw(rt, "at")))
			if n := rapid.IntRange(0, 5).Draw(rt, "length"); n > 0 {
				d.Until = d.At.Add(minutes(n))
			}
			doc.Drains = append(doc.Drains, d)
		}
		want := false
		ix := NewIndex(&doc)
		for m := range 20 {
			want = want || anyServiceStopped(ix, start.Add(minutes(m)))
		}
		got := false
		for _, p := range Check(&doc, nil) {
			got = got || strings.Contains(p.Message, "would be left")
		}
		if got != want {
			rt.Fatalf("problem reported = %t, want %t", got, want)
		}
	})
}

func minutes(n int) time.Duration { return time.Duration(n) * time.Minute }

// anyServiceStopped reports whether all servers of a service are draining at a
// time.
func anyServiceStopped(ix *Index, at time.Time) bool {
	for i := range ix.Doc.Services {
		s := &ix.Doc.Services[i]
		stopped := 0
		for _, b := range s.Servers {
			if ix.Draining(s.Name, b, at) {
				stopped++
			}
		}
		if stopped == len(s.Servers) {
			return true
		}
	}
	return false
}
