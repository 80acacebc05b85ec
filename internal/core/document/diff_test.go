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
	datadriven.RunTest(t, "testdata/diff/plain", func(t *testing.T, d *datadriven.TestData) string {
		var old *Document
		if d.Cmd == "diff" {
			old = parsed(t, baseText(t))
		}
		var b strings.Builder
		for _, e := range Diff(old, parsed(t, edit(t, d.Input))) {
			fmt.Fprintf(&b, "%s %s: %s\n", e.Severity, e.Kind, e.Text)
		}
		return b.String()
	})
}

// field is one value in a document that can be changed on its own.
type field struct {
	path  string
	value reflect.Value
}

// fields returns the values under v, with the first item of each list.
func fields(t testing.TB, path string, v reflect.Value) []field {
	switch v.Interface().(type) {
	case Address, Prefix, time.Time:
		return []field{{path, v}}
	}
	var out []field
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			out = append(out, fields(t, joinKey(path, yamlName(v.Type().Field(i))), v.Field(i))...)
		}
	case reflect.Slice:
		if v.Len() == 0 {
			t.Fatalf("the base document has nothing in %s", path)
		}
		return fields(t, path+"[0]", v.Index(0))
	default:
		return []field{{path, v}}
	}
	return out
}

// mutate gives a value another value.
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

// untold returns the paths of values whose change a diff does not tell.
func untold(t testing.TB, diff func(old, now *Document) []Effect) []string {
	base := parsed(t, baseText(t))
	var out []string
	for i := range fields(t, "", reflect.ValueOf(base).Elem()) {
		now := parsed(t, baseText(t))
		l := fields(t, "", reflect.ValueOf(now).Elem())[i]
		mutate(l.value)
		told := slices.ContainsFunc(diff(base, now), func(e Effect) bool { return e.Kind != EffectOrder })
		if !told {
			out = append(out, l.path)
		}
		if again := diff(now, now); len(again) > 0 {
			out = append(out, l.path+": told without a change")
		}
	}
	return out
}

func TestDiffTellsEveryChange(t *testing.T) {
	if got := untold(t, Diff); len(got) > 0 {
		t.Errorf("changes not told: %v", got)
	}
	forgetful := func(old, now *Document) []Effect {
		now = rejoin(t, now)
		now.Services[0].Classes[0].HedgeAfter = old.Services[0].Classes[0].HedgeAfter
		return Diff(old, now)
	}
	if got := untold(t, forgetful); !slices.Contains(got, "services[0].classes[0].hedgeAfter") {
		t.Errorf("a diff that forgets hedgeAfter passes: %v", got)
	}
}

// TestDiffOrder changes only the order of lists.
func TestDiffOrder(t *testing.T) {
	old, now := parsed(t, baseText(t)), parsed(t, baseText(t))
	slices.Reverse(now.Services[0].Servers)
	got := Diff(old, now)
	if len(got) != 1 || got[0].Kind != EffectOrder {
		t.Errorf("effects = %v", got)
	}
}

// TestDiffManyBlocks bounds the text of a change of thousands of blocks.
func TestDiffManyBlocks(t *testing.T) {
	old, now := parsed(t, baseText(t)), parsed(t, baseText(t))
	for i := range 5000 {
		b := Prefix{netip.PrefixFrom(netip.AddrFrom4([4]byte{11, byte(i >> 8), byte(i), 0}), 24)}
		old.Clients = append(old.Clients, Client{Block: b, Regions: []string{"gulf", "delta"}})
		now.Clients = append(now.Clients, Client{Block: b, Regions: []string{"delta", "gulf"}})
	}
	got := Texts(Diff(old, now))
	want := "Moved: 5,000 client blocks to delta, then gulf, was gulf, then delta: 11.0.0.0/24, 11.0.1.0/24, 11.0.2.0/24 and 4,997 more."
	if len(got) != 1 || got[0] != want {
		t.Errorf("effects = %q", got)
	}
}

func TestTextsAreBounded(t *testing.T) {
	list := make([]Effect, 5000)
	got := Texts(list)
	if len(got) != maxTexts+1 || got[maxTexts] != "And 4,800 further effects." {
		t.Errorf("%d sentences, last %q", len(got), got[len(got)-1])
	}
}
