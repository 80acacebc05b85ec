package valuecodec

import (
	"bytes"
	"errors"
	"testing"

	"pgregory.net/rapid"
)

// Guards against values that come out of the codec changed, whatever the base.
func TestValuesComeBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.SliceOfN(rapid.Byte(), 0, 200)
		base := bytes.Repeat(part.Draw(t, "base"), rapid.IntRange(0, 500).Draw(t, "times"))
		value := append(bytes.Clone(base), part.Draw(t, "more")...)
		if cut := rapid.IntRange(0, len(value)).Draw(t, "cut"); cut < len(value) {
			value = append(value[:cut:cut], value[cut+1:]...)
		}
		data, err := Encode(value, base)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(data, base, DigestOf(value))
		if err != nil || !bytes.Equal(got, value) {
			t.Fatalf("%d bytes came back as %d: %v", len(value), len(got), err)
		}
	})
}

// Guards against a value that is decoded with another base than it was encoded for, or from data
// that broke off or changed, and is taken for whole.
func TestSpoiltValuesAreRefused(t *testing.T) {
	base := bytes.Repeat([]byte("a route of the configuration "), 4000)
	value := append(bytes.Clone(base), "and another one"...)
	data, err := Encode(value, base)
	if err != nil {
		t.Fatal(err)
	}
	refused := func(name string, data, base []byte) {
		var de *DecodeError
		if _, err := Decode(data, base, DigestOf(value)); !errors.As(err, &de) {
			t.Errorf("%s: %v", name, err)
		}
	}
	refused("no base", data, nil)
	refused("another base", data, bytes.ToUpper(base))
	for cut := range data {
		refused("cut", data[:cut], base)
	}
	for i := range data {
		changed := bytes.Clone(data)
		changed[i] ^= 0x55
		// A bit of the frame's head that says nothing of the content may change.
		if got, err := Decode(changed, base, DigestOf(value)); err == nil && !bytes.Equal(got, value) {
			t.Errorf("byte %d changed: another value", i)
		}
	}
}

// Guards against small changes of a large value that cost its whole size again.
func TestSmallChangesAreSmall(t *testing.T) {
	var base []byte
	for i := range 20000 {
		base = append(base, byte(i), byte(i>>8), byte(i*7), byte(i*i>>3))
		base = append(base, " is one of many entries"...)
	}
	value := bytes.Clone(base)
	for i := 0; i < len(value); i += len(value) / 10 {
		value[i] ^= 1
	}
	data, err := Encode(value, base)
	if err != nil || len(data) > len(value)/100 {
		t.Errorf("%d bytes for ten changes in %d: %v", len(data), len(value), err)
	}
}

func FuzzDecode(f *testing.F) {
	data, err := Encode([]byte("a value that is encoded"), []byte("a value"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		Decode(data, []byte("a value"), "")
	})
}
