package backendhttp_test

import (
	"net/http"
	"strings"
	"testing"

	"cassiatray/internal/adapter/backendhttp"
	"cassiatray/internal/standin/rawserver"
)

// BenchmarkDo measures one exchange with a server on a kept connection.
func BenchmarkDo(b *testing.B) {
	s, err := rawserver.Start(func(*http.Request) rawserver.Response {
		return rawserver.Response{Text: "HTTP/1.1 200 OK\r\n" + backendhttp.HeaderRequestID + ": a\r\n" + strings.Repeat("X-Field: some value of a field\r\n", 8) + "Content-Length: 2\r\n\r\nok"}
	})
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	client := backendhttp.New(1)
	defer client.Close()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Do(b.Context(), s.Address, request("a", http.MethodPost, nil, true)); err != nil {
			b.Fatal(err)
		}
	}
}
