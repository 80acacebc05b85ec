package load

import (
	"net/http"
	"testing"
	"time"

	"cassiatray/internal/adapter/backendhttp"
	"cassiatray/internal/standin/rawserver"
)

// Guards against broken answers of backend servers that count as done in what the tool reports.
func TestBrokenAnswersAreNotDone(t *testing.T) {
	fields := backendhttp.HeaderRequestID + ": 0\r\n"
	answers := map[string]rawserver.Response{}
	for name, text := range rawserver.Malformed(http.StatusOK, fields, "ok") {
		answers[name] = rawserver.Response{Text: text, Ending: rawserver.Finish}
	}
	answers["early and reset"] = rawserver.Response{Text: "HTTP/1.1 200 OK\r\n" + fields + "\r\nok", Early: true, Ending: rawserver.Reset, Pause: 20 * time.Millisecond}
	for name, answer := range answers {
		s, err := rawserver.Start(func(*http.Request) rawserver.Response { return answer })
		if err != nil {
			t.Fatal(err)
		}
		rows := Run(t.Context(), Plan{Duration: 100 * time.Millisecond, Streams: []Stream{{
			Method: http.MethodPost, Path: "/", Body: make([]byte, 4<<20), Rate: 100, Timeout: 5 * time.Second, Direct: []string{s.Address},
		}}})
		if rows[0].Sent == 0 || rows[0].Done > 0 {
			t.Errorf("%s: %d of %d requests done", name, rows[0].Done, rows[0].Sent)
		}
		s.Close()
	}
}
