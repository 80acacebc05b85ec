package ctl

import (
	"errors"
	"net/http"
	"testing"

	"cassiatray/internal/standin/rawserver"
)

// Guards against a broken answer of an operator address that is shown, or taken for a refusal that
// no other host needs to be asked about.
func TestBrokenAnswersOfHosts(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusNotFound} {
		answers := rawserver.Malformed(status, "", `{"message":"m"}`)
		answers["no length"] = rawserver.Unusual(status, "", `{"message":"m"}`)["no length"]
		for name, text := range answers {
			s, err := rawserver.Start(func(*http.Request) rawserver.Response {
				return rawserver.Response{Text: text, Ending: rawserver.Finish}
			})
			if err != nil {
				t.Fatal(err)
			}
			body, err := fetch(t.Context(), s.Address, "/")
			var failed *HostError
			if !errors.As(err, &failed) || failed.refused() {
				t.Errorf("%d, %s: body %q, error %v", status, name, body, err)
			}
			s.Close()
		}
	}
}
