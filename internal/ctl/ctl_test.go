package ctl

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"

	"cassiatray/internal/core/document"
	"cassiatray/internal/envstore"
	"cassiatray/internal/port"
	"cassiatray/internal/standin/store"
)

// bench is a platform with operators around it.
type bench struct {
	t    testing.TB
	kv   *store.Store
	addr string
}

func newBench(t testing.TB) *bench {
	kv := store.New()
	return &bench{t: t, kv: kv, addr: serve(t, kv.Handler())}
}

func serve(t testing.TB, h http.Handler) string {
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// run runs a command line as main does, and returns what it wrote and its
// exit status.
func (b *bench) run(args ...string) (stdout, stderr string, status int) {
	b.t.Helper()
	var cli CLI
	var out, failed bytes.Buffer
	parser := kong.Must(&cli)
	k, err := parser.Parse(append([]string{"--platform", b.addr}, args...))
	if err != nil {
		err = &UsageError{Message: err.Error()}
	} else {
		err = k.Run(NewApp(b.t.Context(), &cli, &out))
	}
	status = Report(&failed, cli.Output, err)
	return out.String(), failed.String(), status
}

// expect runs a command and checks its exit status.
func (b *bench) expect(want int, args ...string) string {
	b.t.Helper()
	out, failed, status := b.run(args...)
	if status != want {
		b.t.Fatalf("%v: exit status %d, want %d: %s%s", args, status, want, out, failed)
	}
	return out + failed
}

// file writes the base document with replacements and returns its path.
func (b *bench) file(pairs ...string) string {
	b.t.Helper()
	data, err := os.ReadFile("../core/document/testdata/base.yaml")
	if err != nil {
		b.t.Fatal(err)
	}
	name := filepath.Join(b.t.TempDir(), "document.yaml")
	text := strings.NewReplacer(pairs...).Replace(string(data))
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		b.t.Fatal(err)
	}
	return name
}

func contains(t testing.TB, text string, wants ...string) {
	t.Helper()
	for _, want := range wants {
		if !strings.Contains(text, want) {
			t.Errorf("%q is not in:\n%s", want, text)
		}
	}
}

func decode[T any](t testing.TB, text string) T {
	t.Helper()
	var out T
	if err := json.Unmarshal([]byte(text), &out); err != nil {
		t.Fatalf("%v in %s", err, text)
	}
	return out
}

const raised = "gulf may take up to 60% of carolinas' rodsheet work, was 40%"

// TestChange takes one change from its check to its withdrawal.
func TestChange(t *testing.T) {
	b := newBench(t)
	first, second := b.file(), b.file("from: carolinas, to: gulf, share: 20%", "from: carolinas, to: gulf, share: 30%")
	contains(t, b.expect(ExitOK, "validate", first), "valid")
	b.expect(ExitOK, "apply", first, "-r", "first")
	b.expect(ExitOK, "promote", "-r", "first", "--expect", "1")
	contains(t, b.expect(ExitOK, "diff", second, "-e", "trial"), raised)
	contains(t, b.expect(ExitOK, "apply", second, "-r", "more room", "--author", "ann", "--expect", "1"), "sequence 2", raised)
	contains(t, b.expect(ExitOK, "diff"), "trial at sequence 2", raised)
	contains(t, b.expect(ExitConflict, "promote", "-r", "x", "--expect", "1"), "moved on to 2 by ann: more room", raised)
	contains(t, b.expect(ExitOK, "promote", "-r", "more room", "--expect", "2"), "production", raised)
	contains(t, b.expect(ExitUnchanged, "promote", "-r", "again"), "already runs")
	contains(t, b.expect(ExitOK, "history", "trial"), "ann  from file: more room")
	contains(t, b.expect(ExitOK, "show", "production", "--change", "2"), "from trial@2: more room", raised)
	contains(t, b.expect(ExitOK, "rollback", "production", "1", "-r", "too much"), "sequence 3", "was 60%")
	contains(t, b.expect(ExitOK, "collect", "--keep", "10"), "kept 5 changes")

	shown := filepath.Join(t.TempDir(), "shown.yaml")
	if err := os.WriteFile(shown, []byte(b.expect(ExitOK, "show", "production", "--document")), 0o600); err != nil {
		t.Fatal(err)
	}
	contains(t, b.expect(ExitOK, "diff", shown), "already runs")
}

func TestJSON(t *testing.T) {
	b := newBench(t)
	first, second := b.file(), b.file("slots: 9\n", "slots: 10\n")
	if got := decode[map[string]any](t, b.expect(ExitOK, "-o", "json", "apply", first, "-r", "x")); got["head"] == nil || got["effects"] == nil {
		t.Errorf("apply: %v", got)
	}
	if got := decode[Difference](t, b.expect(ExitOK, "-o", "json", "diff", second, "-e", "trial")); got.Sequence != 1 || len(got.Effects) == 0 {
		t.Errorf("diff: %+v", got)
	}
	if got := decode[[]document.Change](t, b.expect(ExitOK, "-o", "json", "history", "trial")); len(got) != 1 || got[0].Reason != "x" {
		t.Errorf("history: %+v", got)
	}
	if got := decode[document.Head](t, b.expect(ExitOK, "-o", "json", "show", "trial")); got.Sequence != 1 {
		t.Errorf("show: %+v", got)
	}
	invalid := b.file("slots: 9\n", "slotz: 9\n")
	got := decode[Failure](t, b.expect(ExitInvalid, "-o", "json", "validate", invalid))
	if got.Code != "invalid" || got.Problems[0].Line != 19 {
		t.Errorf("validate: %+v", got)
	}
	moved := decode[Failure](t, b.expect(ExitConflict, "-o", "json", "apply", second, "-r", "y", "--expect", "7"))
	if moved.Code != "moved" || moved.Winner.Reason != "x" {
		t.Errorf("apply: %+v", moved)
	}
}

func TestExitStatuses(t *testing.T) {
	b := newBench(t)
	file := b.file()
	for _, c := range []struct {
		name string
		want int
		args []string
	}{
		{"no reason", ExitInvalid, []string{"apply", file}},
		{"blank reason", ExitInvalid, []string{"apply", file, "-r", "  "}},
		{"unknown flag", ExitInvalid, []string{"apply", file, "--force"}},
		{"no file", ExitInvalid, []string{"validate", "/nonexistent"}},
		{"environment", ExitInvalid, []string{"apply", file, "-r", "x", "-e", "a/b"}},
		{"no platform", ExitInvalid, []string{"--platform=", "status"}},
		{"bad client", ExitInvalid, []string{"explain", "rodsheet", "here"}},
		{"empty", ExitFailure, []string{"promote", "-r", "x"}},
		{"unknown change", ExitFailure, []string{"rollback", "trial", "4", "-r", "x"}},
		{"invalid", ExitInvalid, []string{"validate", b.file("weigh: latency", "weigh: luck")}},
	} {
		if _, failed, got := b.run(c.args...); got != c.want || failed == "" {
			t.Errorf("%s: exit status %d, want %d: %q", c.name, got, c.want, failed)
		}
	}
	b.kv.SetFaults(store.Faults{Down: true})
	b.expect(ExitUnavailable, "apply", file, "-r", "x")
}

// operators serves dumps, explanations and nothing at three hosts, and returns
// a document that names their operator addresses.
func (b *bench) operators(sequence string) (file, steer string) {
	mux := http.NewServeMux()
	mux.HandleFunc("/explain", func(w http.ResponseWriter, r *http.Request) {
		if r.FormValue("service") != "rodsheet" || r.FormValue("client") != "10.0.0.0" {
			http.Error(w, "no", http.StatusBadRequest)
			return
		}
		w.Write([]byte(`{"service":"rodsheet","client":"10.0.0.0","block":"10.0.0.0/16","regions":["gulf"],"sequence":2,
			"hosts":[{"name":"h1","domain":"gulf-a","region":"gulf","reason":"nearest with room"}],"notes":["gulf-b is drained"]}`))
	})
	mux.HandleFunc("/dump", func(w http.ResponseWriter, _ *http.Request) {
		w.Write([]byte(`{"host":"h1","suspects":[{"fingerprint":"f00","service":"rodsheet","server":"s1","crashes":2,"state":"refused"}]}`))
	})
	entry := serve(b.t, mux)
	steer = serve(b.t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Write([]byte(`{"host":"h1","domain":"gulf-a","lead":"h1","since":"2026-12-04T01:02:03Z","head":{"sequence":2},
			"self":{"entry_sequence":` + sequence + `},"peers":[{"address":"127.0.0.2:3","host":"h2","lastContact":"2026-12-04T01:00:00Z"}]}`))
	}))
	return b.file(
		`steer: "127.0.0.1:3"`, `steer: "127.0.0.1:3", entryOperator: "`+entry+`", steerOperator: "`+steer+`"`,
		`steer: "127.0.0.2:3"`, `steer: "127.0.0.2:3", steerOperator: "127.0.0.2:9"`), steer
}

func TestStatus(t *testing.T) {
	b := newBench(t)
	file, steer := b.operators("1")
	b.expect(ExitOK, "apply", b.file(), "-r", "one", "-e", "production")
	b.expect(ExitOK, "apply", file, "-r", "two", "-e", "production")
	got := decode[Status](t, b.expect(ExitOK, "-o", "json", "status"))
	h1, h2, h3 := got.Hosts[0], got.Hosts[1], got.Hosts[2]
	if h1.State != Behind || h1.Behind != 1 || h1.SteerSequence != 2 || h1.EntrySequence != 1 {
		t.Errorf("h1: %+v", h1)
	}
	if h2.State != Unreachable || !h2.Since.Equal(time.Date(2026, 12, 4, 1, 0, 0, 0, time.UTC)) {
		t.Errorf("h2: %+v", h2)
	}
	if h3.State != Unreachable || !h3.Since.IsZero() || h3.Error == "" {
		t.Errorf("h3: %+v", h3)
	}
	if len(got.Domains) != 4 || got.Domains[0].Lead != "h1" || got.Domains[1].Unreachable != 1 {
		t.Errorf("domains: %+v", got.Domains)
	}
	contains(t, b.expect(ExitBehind, "status", "--strict"), "behind by 1", "last heard 2026-12-04T01:00:00Z", "never heard")
	b.kv.SetFaults(store.Faults{Down: true})
	b.expect(ExitUnavailable, "status")
	contains(t, b.expect(ExitOK, "status", steer), "newest sequence on any host is 2", "behind by 1")
}

func TestStatusInForce(t *testing.T) {
	b := newBench(t)
	file, steer := b.operators("2")
	b.expect(ExitOK, "apply", b.file(), "-r", "one", "-e", "production")
	b.expect(ExitOK, "apply", file, "-r", "two", "-e", "production")
	contains(t, b.expect(ExitOK, "status", "--strict", steer), "h1 "+steer+": in force since 2026-12-04T01:02:03Z")
}

func TestHosts(t *testing.T) {
	b := newBench(t)
	file, _ := b.operators("1")
	b.expect(ExitOK, "apply", file, "-r", "one", "-e", "production")
	contains(t, b.expect(ExitOK, "explain", "rodsheet", "10.0.0.0/16"), "block 10.0.0.0/16 applies", "1. h1 in gulf-a, gulf: nearest with room", "note: gulf-b")
	contains(t, b.expect(ExitOK, "suspects"), "f00  s1 of rodsheet  refused  2 crashes")
	contains(t, b.expect(ExitOK, "dump", "h1"), `"fingerprint"`)
	contains(t, b.expect(ExitOK, "dump", "h1", "--process", "steer"), `"lead"`)
	contains(t, b.expect(ExitFailure, "explain", "sheetvault", "10.0.0.0"), "status 400")
	b.expect(ExitInvalid, "dump", "h9")
	b.expect(ExitFailure, "dump", "127.0.0.2:9")
}

// TestFailures: every failure has the exit status and the code that the
// operators' page gives, and a loser is shown the winner's effects.
func TestFailures(t *testing.T) {
	page, err := os.ReadFile("../../docs/operations/cassiatrayctl.md")
	if err != nil {
		t.Fatal(err)
	}
	winner := document.Change{Author: "ann", Diff: []string{"gulf takes more."}}
	for _, c := range []struct {
		err  error
		code string
		exit int
	}{
		{&UsageError{}, "usage", ExitInvalid},
		{&document.InvalidError{}, "invalid", ExitInvalid},
		{&envstore.ConflictError{Winner: winner}, "conflict", ExitConflict},
		{&envstore.MovedError{Newest: winner}, "moved", ExitConflict},
		{&envstore.UnchangedError{}, "unchanged", ExitUnchanged},
		{&envstore.EmptyError{}, "empty", ExitFailure},
		{&envstore.UnknownChangeError{}, "unknown-change", ExitFailure},
		{&BehindError{}, "behind", ExitBehind},
		{&port.StoreError{Code: port.StoreUnavailable}, "unavailable", ExitUnavailable},
		{&port.StoreError{Code: port.StoreUnknown}, "outcome-unknown", ExitUnknown},
		{&HostError{}, "failure", ExitFailure},
	} {
		var out bytes.Buffer
		exit := Report(&out, OutputJSON, c.err)
		got := decode[Failure](t, out.String())
		if exit != c.exit || got.Exit != c.exit || got.Code != c.code {
			t.Errorf("%T: %d %+v", c.err, exit, got)
		}
		row := regexp.MustCompile("(?m)^\\| " + strconv.Itoa(c.exit) + " \\|.*`" + c.code + "`")
		if !row.Match(page) {
			t.Errorf("the page has no row for %d %s", c.exit, c.code)
		}
		out.Reset()
		Report(&out, OutputText, c.err)
		if shown := strings.Contains(out.String(), "in force now: gulf takes more."); shown != (got.Winner != nil) {
			t.Errorf("%T: %s", c.err, out.String())
		}
	}
}
