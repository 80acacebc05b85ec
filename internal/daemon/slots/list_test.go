package slots

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"cassiatray/internal/adapter/hostlist"
	"cassiatray/internal/port"
)

// textList is a list of hosts as the platform sends it.
type textList string

func (l textList) Hosts(context.Context) ([]port.ListedHost, error) {
	hosts, err := hostlist.Decode(strings.NewReader(string(l)))
	if err != nil {
		return nil, &hostlist.Error{Err: err}
	}
	return hosts, nil
}

// listOf lists the servers of the given numbers; those of leaving leave.
func listOf(servers []int, leaving ...int) string {
	out := hostlist.List{Hosts: []port.ListedHost{}}
	for _, i := range servers {
		h := port.ListedHost{Name: fmt.Sprint("s", i), Address: address(100 + i).String()}
		for _, l := range leaving {
			h.Leaving = h.Leaving || l == i
		}
		out.Hosts = append(out.Hosts, h)
	}
	data, err := json.Marshal(out)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// TestList reads lists one after another: one that is not whole or not
// believable leaves the last in force, and one that lags behind brings no
// server back.
func TestList(t *testing.T) {
	all := []int{0, 1, 2, 3}
	whole := listOf(all)
	inDomain(t, len(all), func(t *testing.T, d *domain) {
		seen := map[string]*listed{}
		for _, h := range allHosts {
			seen[h] = newListed()
		}
		for _, c := range []struct{ name, list, leaving string }{
			{"whole", whole, ""},
			{"torn before any left", whole[:len(whole)/2], ""},
			{"one leaves", listOf(all, 1), "s1"},
			{"torn", whole[:len(whole)-1], "s1"},
			{"malformed", strings.Replace(listOf(all, 2), `"s0"`, `""`, 1), "s1"},
			{"no list", `{}`, "s1"},
			{"empty", listOf(nil), "s1"},
			{"most are gone", listOf(all[:1]), "s1"},
			{"lagging", whole, "s1"},
			{"one is gone", listOf(all[:3], 1), "s1 s3"},
			{"back in the list", whole, "s1 s3"},
		} {
			for _, h := range allHosts {
				d.nodes[h].readList(context.Background(), textList(c.list), seen[h])
			}
			time.Sleep(settle)
			for _, h := range allHosts {
				if got := d.leaving(h, len(all)); got != c.leaving {
					t.Errorf("%s: %s counts %q as leaving, want %q", c.name, h, got, c.leaving)
				}
			}
		}
	})
}

// leaving names the servers that a host counts as leaving.
func (d *domain) leaving(host string, servers int) string {
	var out []string
	for i := range servers {
		if name := fmt.Sprint("s", i); d.nodes[host].Leaving("svc", name) {
			out = append(out, name)
		}
	}
	return strings.Join(out, " ")
}
