// Package measure runs scenarios against whole systems of plain processes and
// writes what it saw: a results file in JSON and a Markdown table. It judges
// nothing; verdicts belong to the tests.
package measure

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"cassiatray/internal/load"
)

// Results are the outcome of one run of all scenarios.
type Results struct {
	// Started is in RFC 3339.
	Started string `json:"started"`
	CPUs    int    `json:"cpus"`
	// Scenarios are in the order they ran.
	Scenarios []Scenario `json:"scenarios"`
}

// Scenario is the outcome of one scenario.
type Scenario struct {
	Name    string     `json:"name"`
	Site    string     `json:"site"`
	Note    string     `json:"note"`
	Rows    []load.Row `json:"rows,omitempty"`
	Figures []Figure   `json:"figures,omitempty"`
	Roles   []RoleCost `json:"roles,omitempty"`
	// Failed says why the scenario failed: it could not be finished, or a process
	// ended by itself.
	Failed string `json:"failed,omitempty"`
}

// Figure is one measured number.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// RoleCost is the use of one role's processes during a scenario.
type RoleCost struct {
	Role      string `json:"role"`
	Processes int    `json:"processes"`
	// CPUShare is the mean share of one core for each process, 0 to 1.
	CPUShare float64 `json:"cpuShare"`
	// MaxResident is the largest resident memory of a process, in bytes.
	MaxResident int64 `json:"maxResident"`
	// Bytes is the mean number of bytes a second that a process exchanges with
	// others of the system, both ways, and MaxBytes that of the busiest.
	Bytes    float64 `json:"bytes"`
	MaxBytes float64 `json:"maxBytes"`
	// Phase names the part of the scenario; empty for all of it.
	Phase string `json:"phase,omitempty"`
}

func (s *Scenario) figure(name string, value float64, unit string) {
	s.Figures = append(s.Figures, Figure{Name: name, Value: value, Unit: unit})
}

// Find returns the figure of a scenario, or false.
func (r *Results) Find(scenario, figure string) (float64, bool) {
	for _, s := range r.Scenarios {
		if s.Name != scenario {
			continue
		}
		for _, f := range s.Figures {
			if f.Name == figure {
				return f.Value, true
			}
		}
	}
	return 0, false
}

// filePerm is the mode of the files written.
const filePerm = 0o644

// WriteJSON writes the results file.
func (r *Results) WriteJSON(file string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(data, '\n'), filePerm)
}

// Read reads a results file.
func Read(file string) (*Results, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	out := new(Results)
	if err := json.Unmarshal(data, out); err != nil {
		return nil, &FormatError{File: file, Err: err}
	}
	return out, nil
}

// FormatError is a results file that cannot be read.
type FormatError struct {
	File string
	Err  error
}

func (e *FormatError) Error() string { return fmt.Sprintf("results file %s: %v", e.File, e.Err) }

func (e *FormatError) Unwrap() error { return e.Err }

// Markdown renders the results as tables. Earlier results, when given, add the
// ratio of each figure.
func (r *Results) Markdown(earlier *Results) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# Measurements\n\nStarted %s on %d CPUs.\n", r.Started, r.CPUs)
	for _, s := range r.Scenarios {
		s.markdown(&b, earlier)
	}
	return b.String()
}

func (s *Scenario) markdown(b *strings.Builder, earlier *Results) {
	fmt.Fprintf(b, "\n## %s (%s)\n\n%s\n", s.Name, s.Site, s.Note)
	if s.Failed != "" {
		fmt.Fprintf(b, "\nFailed: %s\n", s.Failed)
	}
	if len(s.Rows) > 0 {
		b.WriteString("\n| stream | rate/s | sent | done | not-run | unknown | in time | p50 ms | p99 ms | p99.9 ms | max ms |\n")
		b.WriteString("|---|---|---|---|---|---|---|---|---|---|---|\n")
		for _, row := range s.Rows {
			writeRow(b, row)
		}
	}
	s.writeFigures(b, earlier)
	s.writeRoles(b)
}

func writeRow(b *strings.Builder, r load.Row) {
	fmt.Fprintf(b, "| %s | %.0f | %d | %d | %d | %d | %.2f%% | %.1f | %.1f | %.1f | %.1f |\n", r.Stream, r.Rate, r.Sent, r.Done,
		r.NotRun, r.Unknown, 100*r.InTimeShare(), load.Millis(r.P50), load.Millis(r.P99), load.Millis(r.P999), load.Millis(r.Max))
}

func (s *Scenario) writeFigures(b *strings.Builder, earlier *Results) {
	if len(s.Figures) == 0 {
		return
	}
	b.WriteString("\n| figure | value | unit | earlier | ratio |\n|---|---|---|---|---|\n")
	for _, f := range s.Figures {
		old, ratio := "", ""
		if earlier != nil {
			if v, ok := earlier.Find(s.Name, f.Name); ok {
				old = fmt.Sprintf("%.4g", v)
				if v != 0 {
					ratio = fmt.Sprintf("%.2f", f.Value/v)
				}
			}
		}
		fmt.Fprintf(b, "| %s | %.4g | %s | %s | %s |\n", f.Name, f.Value, f.Unit, old, ratio)
	}
}

// Units of the tables.
const (
	percent  = 100
	kilobyte = 1000
	mebibyte = 1 << 20
)

func (s *Scenario) writeRoles(b *strings.Builder) {
	if len(s.Roles) == 0 {
		return
	}
	b.WriteString("\n| role | phase | processes | CPU each, % of a core | largest memory, MiB | kB/s each | kB/s busiest |\n|---|---|---|---|---|---|---|\n")
	for _, r := range s.Roles {
		fmt.Fprintf(b, "| %s | %s | %d | %.2f | %.1f | %.2f | %.2f |\n", r.Role, r.Phase, r.Processes, percent*r.CPUShare,
			float64(r.MaxResident)/mebibyte, r.Bytes/kilobyte, r.MaxBytes/kilobyte)
	}
}
