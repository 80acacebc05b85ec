package load

import (
	"fmt"
	"slices"
	"strings"

	"cassiatray/api"
)

// Row is the result of one stream. Latencies are those of whole answers, in
// microseconds from the scheduled time.
type Row struct {
	Stream  string  `json:"stream"`
	Service string  `json:"service"`
	Rate    float64 `json:"rate"`
	Sent    int     `json:"sent"`
	Done    int     `json:"done"`
	// InTime are the requests done within the stream's deadline.
	InTime   int           `json:"inTime"`
	NotRun   int           `json:"notRun"`
	Unknown  int           `json:"unknown"`
	P50      int64         `json:"p50"`
	P99      int64         `json:"p99"`
	P999     int64         `json:"p999"`
	Max      int64         `json:"max"`
	Failures []FailureRows `json:"failures,omitempty"`
}

// FailureRows counts the failures of one code.
type FailureRows struct {
	Code  api.Code `json:"code"`
	Count int      `json:"count"`
	// Sample is the message of the first of them.
	Sample string `json:"sample"`
}

func (r *Row) fail(e *api.Error) {
	i := slices.IndexFunc(r.Failures, func(f FailureRows) bool { return f.Code == e.Code })
	if i < 0 {
		r.Failures = append(r.Failures, FailureRows{Code: e.Code, Sample: e.Message})
		i = len(r.Failures) - 1
	}
	r.Failures[i].Count++
}

// InTimeShare is the share of requests sent that were done in time, 0 to 1.
func (r Row) InTimeShare() float64 {
	if r.Sent == 0 {
		return 0
	}
	return float64(r.InTime) / float64(r.Sent)
}

// Header names the columns of a Row's text.
const Header = "stream            rate     sent     done   notrun  unknown  in time   p50 ms   p99 ms  p999 ms   max ms"

func (r Row) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-12s %9.0f %8d %8d %8d %8d %7.2f%% %8.2f %8.2f %8.2f %8.2f", r.Stream, r.Rate, r.Sent, r.Done,
		r.NotRun, r.Unknown, 100*r.InTimeShare(), Millis(r.P50), Millis(r.P99), Millis(r.P999), Millis(r.Max))
	for _, f := range r.Failures {
		fmt.Fprintf(&b, " %s=%d", f.Code, f.Count)
	}
	return b.String()
}

// Millis converts microseconds to milliseconds.
func Millis(micros int64) float64 { return float64(micros) / 1000 }
