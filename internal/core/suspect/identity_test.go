package suspect

import (
	"crypto/sha256"
	"encoding/binary"
	"testing"
)

// Guards against requests that count as others, or as the same one, by a part that is missing from their
// identity or does not belong to it.
func TestIdentityTellsRequestsApart(t *testing.T) {
	same := Identity{Authority: "h", Method: "GET", Path: "/a", Query: "b", Caller: "7", Body: []byte("body")}
	if other := same; same.Fingerprint() != other.Fingerprint() || same.KeyAt("s") != other.KeyAt("s") {
		t.Error("a copy of a request counts as another")
	}
	if same.KeyAt("s") == same.KeyAt("t") {
		t.Error("a run to completion at one service counts at another")
	}
	seen := map[Fingerprint]string{same.Fingerprint(): "itself"}
	for name, change := range map[string]func(id *Identity){
		"host":               func(id *Identity) { id.Authority = "other" },
		"method":             func(id *Identity) { id.Method = "POST" },
		"path":               func(id *Identity) { id.Path = "/b" },
		"query":              func(id *Identity) { id.Query = "c" },
		"caller":             func(id *Identity) { id.Caller = "8" },
		"no caller":          func(id *Identity) { id.Caller = "" },
		"body":               func(id *Identity) { id.Body = []byte("other") },
		"begin of a body":    func(id *Identity) { id.Partial = true },
		"size of its rest":   func(id *Identity) { id.Partial, id.Size = true, 1<<20 },
		"parts shifted":      func(id *Identity) { id.Path, id.Query = "/", "ab" },
		"caller in the body": func(id *Identity) { id.Caller, id.Body = "", []byte("7body") },
	} {
		id := same
		change(&id)
		f := id.Fingerprint()
		if seen[f] != "" {
			t.Errorf("%s: the same request as %s", name, seen[f])
		}
		seen[f] = name
		if whole := !id.Partial; whole && id.KeyAt("s") == same.KeyAt("s") {
			t.Errorf("%s: the same key", name)
		}
	}
}

// Guards against entry processes of the build before that take the reports of this one for those of other
// requests, while both run side by side.
func TestIdentityOfEntryProcessesStays(t *testing.T) {
	var parts []byte
	for _, part := range []string{"orders", "POST", "/a", "b", "body"} {
		parts = binary.BigEndian.AppendUint64(parts, uint64(len(part)))
		parts = append(parts, part...)
	}
	id := Identity{Authority: "orders", Method: "POST", Path: "/a", Query: "b", Body: []byte("body")}
	if id.Fingerprint() != sha256.Sum256(parts) {
		t.Error("another fingerprint than before")
	}
}
