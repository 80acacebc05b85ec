// Package hostlist is a stand-in for the platform's list of live and leaving
// hosts, which lags behind the hosts. It is for tests and the demo only.
package hostlist

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	client "cassiatray/internal/adapter/hostlist"
	"cassiatray/internal/port"
)

// List is the stand-in. It answers with what was true one lag ago.
type List struct {
	lag time.Duration

	mu     sync.Mutex
	states []state
}

// state is the list from one moment on.
type state struct {
	since time.Time
	hosts []port.ListedHost
}

// New returns a list that has named hosts for ever.
func New(lag time.Duration, hosts []port.ListedHost) *List {
	return &List{lag: lag, states: []state{{hosts: hosts}}}
}

// Set replaces the list from now on; it is seen one lag later.
func (l *List) Set(hosts []port.ListedHost) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.states = append(l.states, state{since: time.Now(), hosts: hosts})
}

// seen returns the list of one lag ago.
func (l *List) seen() []port.ListedHost {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := time.Now().Add(-l.lag)
	for i := len(l.states) - 1; i > 0; i-- {
		if !l.states[i].since.After(at) {
			return l.states[i].hosts
		}
	}
	return l.states[0].hosts
}

// Handler serves the list, and its replacement under /standin/hosts.
func (l *List) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(client.Path, l.serve).Methods(http.MethodGet)
	r.HandleFunc("/standin/hosts", l.replace).Methods(http.MethodPut)
	return r
}

func (l *List) serve(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(client.List{Hosts: append([]port.ListedHost{}, l.seen()...)})
}

func (l *List) replace(w http.ResponseWriter, r *http.Request) {
	hosts, err := client.Decode(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.Set(hosts)
}
