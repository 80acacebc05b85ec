package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	"cassiatray/api"
	"cassiatray/internal/adapter/httpclient"
	"cassiatray/internal/core/document"
)

// maxReply bounds what a host answers, in bytes.
const maxReply = 64 << 20

// HostError is a host that cannot be asked or gives no sound answer.
type HostError struct {
	Address string
	Status  int
	// Message is the host's own, when it gave a typed failure.
	Message string
	Err     error
}

func (e *HostError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("host %s: %v", e.Address, e.Err)
	}
	return strings.TrimSpace(fmt.Sprintf("host %s: status %d %s", e.Address, e.Status, e.Message))
}

// refused reports whether any other host would answer alike.
func (e *HostError) refused() bool {
	return e.Status >= http.StatusBadRequest && e.Status < http.StatusInternalServerError
}

func (e *HostError) Unwrap() error { return e.Err }

// fetch reads a path of an operator address.
//
// Errors: *HostError.
func fetch(ctx context.Context, address, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, &HostError{Address: address, Err: err}
	}
	resp, err := httpclient.Default.Do(req)
	if err != nil {
		return nil, &HostError{Address: address, Err: err}
	}
	defer resp.Body.Close()
	if err := httpclient.CheckResponse(resp); err != nil {
		return nil, &HostError{Address: address, Err: err}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return nil, &HostError{Address: address, Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		return nil, &HostError{Address: address, Status: resp.StatusCode, Message: failureMessage(body)}
	}
	return body, nil
}

// failureMessage returns the message of a typed failure, or nothing.
func failureMessage(body []byte) string {
	var fail api.Error
	if json.Unmarshal(body, &fail) != nil {
		return ""
	}
	return fail.Message
}

// fetchJSON reads a path of an operator address into a value.
//
// Errors: *HostError.
func fetchJSON[T any](ctx context.Context, address, path string) (T, error) {
	var out T
	body, err := fetch(ctx, address, path)
	if err != nil {
		return out, err
	}
	if err := json.Unmarshal(body, &out); err != nil {
		return out, &HostError{Address: address, Err: err}
	}
	return out, nil
}

// maxFetches bounds the hosts that are asked at once.
const maxFetches = 32

// forEach calls fn for each index, maxFetches at a time.
func forEach(n int, fn func(i int)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxFetches)
	for i := range n {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			fn(i)
		})
	}
	wg.Wait()
}

// place is an entry host with where it stands.
type place struct {
	document.EntryHost
	Domain, Region string
}

func places(doc *document.Document) []place {
	var out []place
	for _, r := range doc.Regions {
		for _, d := range r.Domains {
			for _, h := range d.EntryHosts {
				out = append(out, place{EntryHost: h, Domain: d.Name, Region: r.Name})
			}
		}
	}
	return out
}

// hosts reads the entry hosts of an environment from its document.
func (app *App) hosts(environment string) ([]place, document.Head, error) {
	store, err := app.store()
	if err != nil {
		return nil, document.Head{}, err
	}
	head, _, err := store.Head(app.Ctx, environment)
	if err != nil || head.Sequence == 0 {
		return nil, head, err
	}
	doc, err := store.Frame(app.Ctx, head.Sections)
	if err != nil {
		return nil, head, err
	}
	return places(doc), head, nil
}
