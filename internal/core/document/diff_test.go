package document

import (
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

func TestDiff(t *testing.T) {
	datadriven.RunTest(t, "testdata/diff/effects", func(t *testing.T, d *datadriven.TestData) string {
		var old *Document
		if d.Cmd == "diff" {
			old = mustParseText(t, baseText(t))
		}
		var b strings.Builder
		for _, e := range Diff(old, mustParseText(t, editBase(t, d.Input))) {
			fmt.Fprintf(&b, "%s %s: %s\n", e.Severity, e.Kind, e.Text)
		}
		return b.String()
	})
}

// leafField is one value in a document that can be changed separately.
type leafField struct {
	path  string
	value reflect.Value
}

// leafFields returns the values under v, with only the first item of each list.
func leafFields(t testing.TB, path string, v reflect.Value) []leafField {
	switch v.Interface().(type) {
	case Address, Prefix, time.Time:
		return []leafField{{path, v}}
	}
	var out []leafField
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			out = append(out, leafFields(t, joinKey(path, yamlKey(v.Type().Field(i))), v.Field(i))...)
		}
	case reflect.Slice:
		if v.Len() == 0 {
			t.Fatalf("the base document has no items in %s", path)
		}
		return leafFields(t, path+"[0]", v.Index(0))
	default:
		return []leafField{{path, v}}
	}
	return out
}

// mutate changes a value to a different one.
func mutate(v reflect.Value) {
	switch x := v.Addr().Interface().(type) {
	case *Address:
		x.AddrPort = netip.MustParseAddrPort("127.9.9.9:99")
	case *Prefix:
		x.Prefix = netip.MustParsePrefix("10.99.0.0/16")
	case *time.Time:
		*x = x.Add(time.Minute)
	case *Duration:
		*x += Duration(time.Second)
	default:
		switch v.Kind() {
		case reflect.String:
			v.SetString(v.String() + "x")
		case reflect.Bool:
			v.SetBool(!v.Bool())
		case reflect.Float64:
			v.SetFloat(v.Float() + 1)
		default:
			v.SetInt(v.Int() + 1)
		}
	}
}

// unreportedChanges changes each value of the base document in turn and returns
// the paths of the values whose change diff does not report.
func unreportedChanges(t testing.TB, diff func(old, next *Document) []Effect) []string {
	base := mustParseText(t, baseText(t))
	var out []string
	for i := range leafFields(t, "", reflect.ValueOf(base).Elem()) {
		next := mustParseText(t, baseText(t))
		f := leafFields(t, "", reflect.ValueOf(next).Elem())[i]
		mutate(f.value)
		reported := slices.ContainsFunc(diff(base, next), func(e Effect) bool { return e.Kind != EffectOrder })
		if !reported {
			out = append(out, f.path)
		}
		if again := diff(next, next); len(again) > 0 {
			out = append(out, f.path+": reported without a change")
		}
	}
	return out
}

// TestDiffReportsEveryChange guards against a new field whose changes Diff
// ignores. The second half checks that the test notices such a field.
func TestDiffReportsEveryChange(t *testing.T) {
	if got := unreportedChanges(t, Diff); len(got) > 0 {
		t.Errorf("changes not reported: %v", got)
	}
	incomplete := func(old, next *Document) []Effect {
		next = divideAndJoin(t, next)
		next.Services[0].Classes[0].HedgeAfter = old.Services[0].Classes[0].HedgeAfter
		return Diff(old, next)
	}
	if got := unreportedChanges(t, incomplete); !slices.Contains(got, "services[0].classes[0].hedgeAfter") {
		t.Errorf("a diff that ignores hedgeAfter passes: %v", got)
	}
}

// TestDiffReportsReordering checks that a change of order only is reported as
// one EffectOrder.
func TestDiffReportsReordering(t *testing.T) {
	old, next := mustParseText(t, baseText(t)), mustParseText(t, baseText(t))
	slices.Reverse(next.Services[0].Servers)
	got := Diff(old, next)
	if len(got) != 1 || got[0].Kind != EffectOrder {
		t.Errorf("effects = %v", got)
	}
}

// TestDiffGroupsClientBlocks checks that equal changes of thousands of blocks
// are described in one short sentence.
func TestDiffGroupsClientBlocks(t *testing.T) {
	old, next := mustParseText(t, baseText(t)), mustParseText(t, baseText(t))
	for i := range 5000 {
		b := Prefix{netip.PrefixFrom(netip.AddrFrom4([4]byte{11, byte(i >> 8), byte(i), 0}), 24)}
		old.Clients = append(old.Clients, Client{Block: b, Regions: []string{"gulf", "delta"}})
		next.Clients = append(next.Clients, Client{Block: b, Regions: []string{"delta", "gulf"}})
	}
	got := Texts(Diff(old, next))
	want := "Moved: 5,000 client blocks to delta, then gulf, was gulf, then delta: 11.0.0.0/24, 11.0.1.0/24, 11.0.2.0/24 and 4,997 more."
	if len(got) != 1 || got[0] != want {
		t.Errorf("effects = %q", got)
	}
}

func TestTextsLimitsSentences(t *testing.T) {
	list := make([]Effect, 5000)
	got := Texts(list)
	if len(got) != maxTexts+1 || got[maxTexts] != "And 4,800 further effects." {
		t.Errorf("%d sentences, last %q", len(got), got[len(got)-1])
	}
}
