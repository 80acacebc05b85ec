package main

import (
	"slices"
	"sync"
	"time"
)

// fleet is all backend servers.
type fleet struct {
	rec   *recorder
	store *store
	// react decides what a server does with a request to a path of a host.
	react func(host, path string) reaction

	mu     sync.Mutex
	runs   []run
	ends   []run
	nextID int
	warm   bool
}

// runsOf returns the requests to a path that servers began to run, in order.
func (f *fleet) runsOf(path string) []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []run
	for _, r := range f.runs {
		if r.path == path {
			out = append(out, r)
		}
	}
	return out
}

// allRuns returns all requests that servers began to run.
func (f *fleet) allRuns() []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.runs)
}

// crashesOf returns when requests to a path crashed their servers, in order.
func (f *fleet) crashesOf(path string) []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []time.Time
	for _, r := range f.ends {
		if r.path == path {
			out = append(out, r.at)
		}
	}
	return out
}

// traffic notes that traffic has begun: servers that start from now on are cold.
func (f *fleet) traffic() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.warm = true
}
