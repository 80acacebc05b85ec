package document

import (
	"errors"
	"strings"
	"testing"
)

const smallDocument = `
weigh: latency
lookup: {ttl: 10s, hosts: 3}
regions:
  - name: gulf
    domains:
      - name: gulf-a
        entryHosts:
          - {name: h1, caller: "127.0.0.1:1", entry: "127.0.0.1:2", steer: "127.0.0.1:3"}
links: []
services:
  - name: rodsheet
    slots: 9
    connections: 850
    coldStart: {connection: 1ms, warmup: 2s}
    servers:
      - {name: s1, domain: gulf-a, address: "127.0.0.1:9"}
    classes:
      - {name: sheet, methods: [GET], path: /, execution: idempotent, deadline: 1s, priority: 0, retries: 10%, maxBody: 4KiB, maxAnswer: 1MiB}
caps:
  shift: {share: 10%, per: 1m}
clients:
  - {block: 10.0.0.0/16, regions: [gulf]}
`

func TestParse(t *testing.T) {
	doc, err := Parse("small.yaml", []byte(smallDocument))
	if err != nil {
		t.Fatal(err)
	}
	if got := doc.Services[0].Classes[0].MaxBody; got != 4<<10 {
		t.Fatalf("maxBody = %d", got)
	}
}

func TestParseReportsProblems(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"unknown key", "slots: 9", "slotz: 9", "line 13: services[0].slotz: unknown key"},
		{"wrong type", "slots: 9", "slots: nine", `line 13: services[0].slots: expected a whole number, got "nine"`},
		{"bad address", `"127.0.0.1:9"`, `"localhost:9"`, "line 17: services[0].servers[0].address:"},
		{"missing domain", "domain: gulf-a", "domain: gulf-z", `line 17: services[0].servers[0].domain: no failure domain is named "gulf-z"`},
		{"host bits", "10.0.0.0/16", "10.0.0.1/16", "line 23: clients[0].block:"},
		{"key twice", "weigh: latency", "weigh: latency\nweigh: headroom", "line 3: weigh: key given twice"},
		{"syntax", "weigh: latency", "weigh: [latency", "line "},
		{"bad share", "retries: 10%", "retries: 110%", "services[0].classes[0].retries:"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("small.yaml", []byte(strings.Replace(smallDocument, c.old, c.new, 1)))
			var invalid *InvalidError
			if !errors.As(err, &invalid) {
				t.Fatalf("error %v is not an InvalidError", err)
			}
			if !strings.Contains(err.Error(), "small.yaml: "+c.want) && !strings.Contains(err.Error(), c.want) {
				t.Fatalf("error %q lacks %q", err, c.want)
			}
		})
	}
}

func mustParse(t testing.TB) *Document {
	t.Helper()
	doc, err := Parse("small.yaml", []byte(smallDocument))
	if err != nil {
		t.Fatal(err)
	}
	return doc
}
