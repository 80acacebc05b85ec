package bounded

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"
)

// Guards against bodies that are cut or lengthened, and against memory that is used without
// having been asked for, or stays counted.
func TestRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := bytes.Repeat([]byte("abcdefg"), rapid.IntRange(0, 40_000).Draw(t, "sevens"))
		body = body[rapid.IntRange(0, min(6, len(body))).Draw(t, "cut"):]
		declared := rapid.SampledFrom([]int64{-1, int64(len(body)), int64(len(body)) / 2, 2 * int64(len(body))}).Draw(t, "declared")
		most := rapid.IntRange(1, 256<<10).Draw(t, "most")
		room := rapid.IntRange(0, 600<<10).Draw(t, "room")
		held := 0
		r := io.Reader(bytes.NewReader(body))
		if rapid.Bool().Draw(t, "early end") {
			r = iotest.DataErrReader(r)
		}
		if len(body) < 3000 && rapid.Bool().Draw(t, "bytewise") {
			r = iotest.OneByteReader(r)
		}
		data, whole, refused, err := Read(r, declared, most, func(n int) bool {
			if held+n > room {
				return false
			}
			held += n
			return true
		})
		if err != nil {
			t.Fatal(err)
		}
		if held != cap(data) && cap(data) > 0 {
			t.Errorf("%d bytes counted for a buffer of %d", held, cap(data))
		}
		rest, err := io.ReadAll(r)
		if err != nil {
			t.Fatal(err)
		}
		switch {
		case whole && !bytes.Equal(data, body):
			t.Errorf("%d bytes of %d taken for whole", len(data), len(body))
		case !whole && !refused && (len(data) != most || !bytes.Equal(append(data, rest...), body)):
			t.Errorf("%d bytes read of at most %d, and %d left, of %d", len(data), most, len(rest), len(body))
		case refused && !bytes.HasPrefix(body, data):
			t.Errorf("other bytes than those of the body")
		}
		if len(data) > most {
			t.Errorf("%d bytes read, %d are allowed", len(data), most)
		}
	})
}

// Guards against a broken body that is taken for a whole one.
func TestReadBroken(t *testing.T) {
	broken := errors.New("broken")
	for _, declared := range []int64{-1, 3, 10} {
		r := io.MultiReader(bytes.NewReader([]byte("abc")), iotest.ErrReader(broken))
		data, whole, refused, err := Read(r, declared, 100, func(int) bool { return true })
		if !errors.Is(err, broken) || whole || refused || string(data) != "abc" {
			t.Errorf("declared %d: %q, whole %v, error %v", declared, data, whole, err)
		}
	}
}
