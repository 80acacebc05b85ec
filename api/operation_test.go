package api

import (
	"errors"
	"testing"
	"time"
)

func TestOperationID(t *testing.T) {
	prefix := OperationPrefix("a-1", 0x1987213843c8fc89, time.UnixMicro(1764826749))
	id, err := NewOperationID(Host{Operation: prefix})
	if err != nil {
		t.Fatal(err)
	}
	again, err := ParseOperationID(id.String())
	if err != nil || again != id || id.String()[:len(prefix)] != prefix {
		t.Fatalf("%s became %s, error %v", id, again, err)
	}
	other, err := NewOperationID(Host{Operation: prefix})
	if err != nil || other == id {
		t.Fatalf("two IDs %s and %s, error %v", id, other, err)
	}
}

func FuzzParseOperationID(f *testing.F) {
	for _, seed := range []string{
		"a-1:1:2:0102030405060708", "a-1:1:2:01020304050607", ":1:2:0102030405060708", "a-1:01:2:0102030405060708",
		"a-1:1:2:0102030405060708:", "a-1:A:2:0102030405060708", "a-1:0:2:0102030405060708", "a-1:1:-2:0102030405060708", "",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		id, err := ParseOperationID(text)
		var bad *OperationIDError
		switch {
		case err != nil && !errors.As(err, &bad):
			t.Fatalf("error %v", err)
		case err == nil && id.String() != text:
			t.Fatalf("%q is also written %q", text, id)
		}
	})
}
