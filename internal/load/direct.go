package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"cassiatray/internal/adapter/backendhttp"
)

// StatusError is an answer of a backend server other than success.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// sendDirect sends one request straight to a backend server.
func (r *run) sendDirect(ctx context.Context, i int) error {
	address := r.stream.Direct[i%len(r.stream.Direct)]
	req, err := http.NewRequestWithContext(ctx, r.stream.Method, "http://"+address+r.stream.Path, bytes.NewReader(r.stream.Body))
	if err != nil {
		return err
	}
	req.Header.Set(backendhttp.HeaderRequestID, strconv.Itoa(i))
	resp, err := r.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Status: resp.StatusCode}
	}
	return nil
}
