package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"cassiatray/internal/core/document"
	"cassiatray/internal/envstore"
	"cassiatray/internal/port"
)

// Exit statuses of the command line.
const (
	ExitOK      = 0
	ExitFailure = 1
	// ExitInvalid is an invalid document or command line; nothing was changed.
	ExitInvalid = 2
	// ExitConflict is a change that lost a race, or an environment that has
	// moved on since it was reviewed; nothing was changed.
	ExitConflict = 3
	// ExitUnavailable is a platform that cannot be reached; nothing was changed.
	ExitUnavailable = 4
	// ExitUnknown is a lost reply: the change may be in force. History tells.
	ExitUnknown = 5
	// ExitUnchanged is a change that would change nothing.
	ExitUnchanged = 6
	// ExitBehind is a status with --strict when some host does not have the
	// newest document in force.
	ExitBehind = 7
	// ExitFindings is a check-config with --strict that found something.
	ExitFindings = 8
)

// UsageError is a command line that cannot be run.
type UsageError struct{ Message string }

func (e *UsageError) Error() string { return e.Message }

// BehindError means that hosts do not have the newest document in force.
type BehindError struct{ Hosts int }

func (e *BehindError) Error() string {
	return fmt.Sprintf("hosts without the newest document in force: %d", e.Hosts)
}

// ConfigError is a routing configuration that gateways refuse.
type ConfigError struct {
	File string
	Err  error
}

func (e *ConfigError) Error() string { return e.File + ": " + e.Err.Error() }

func (e *ConfigError) Unwrap() error { return e.Err }

// FindingsError means that a valid configuration has faults.
type FindingsError struct{ Findings int }

func (e *FindingsError) Error() string { return fmt.Sprintf("findings: %d", e.Findings) }

// Failure is an error in the output for scripts.
type Failure struct {
	// Code is stable: see docs/operations/cassiatrayctl.md.
	Code    string `json:"code"`
	Exit    int    `json:"exit"`
	Message string `json:"message"`
	// Problems are the faults of a document.
	Problems []document.Problem `json:"problems,omitempty"`
	// Winner is the change that is in force instead.
	Winner *document.Change `json:"winner,omitempty"`
}

// Classify returns what an error means to scripts.
func Classify(err error) Failure {
	out := Failure{Code: "failure", Exit: ExitFailure, Message: err.Error()}
	var (
		usage     *UsageError
		invalid   *document.InvalidError
		conflict  *envstore.ConflictError
		moved     *envstore.MovedError
		unchanged *envstore.UnchangedError
		empty     *envstore.EmptyError
		unknown   *envstore.UnknownChangeError
		behind    *BehindError
		store     *port.StoreError
		config    *ConfigError
		findings  *FindingsError
	)
	switch {
	case errors.As(err, &usage):
		out.Code, out.Exit = "usage", ExitInvalid
	case errors.As(err, &invalid):
		out.Code, out.Exit, out.Problems = "invalid", ExitInvalid, invalid.Problems
	case errors.As(err, &conflict):
		out.Code, out.Exit, out.Winner = "conflict", ExitConflict, &conflict.Winner
	case errors.As(err, &moved):
		out.Code, out.Exit, out.Winner = "moved", ExitConflict, &moved.Newest
	case errors.As(err, &unchanged):
		out.Code, out.Exit = "unchanged", ExitUnchanged
	case errors.As(err, &empty):
		out.Code = "empty"
	case errors.As(err, &unknown):
		out.Code = "unknown-change"
	case errors.As(err, &behind):
		out.Code, out.Exit = "behind", ExitBehind
	case errors.As(err, &config):
		out.Code, out.Exit = "invalid", ExitInvalid
	case errors.As(err, &findings):
		out.Code, out.Exit = "findings", ExitFindings
	case errors.As(err, &store):
		out.Code, out.Exit = storeFailure(store.Code)
	}
	return out
}

func storeFailure(code port.StoreCode) (string, int) {
	switch code {
	case port.StoreUnavailable:
		return "unavailable", ExitUnavailable
	case port.StoreUnknown:
		return "outcome-unknown", ExitUnknown
	}
	return "store-" + string(code), ExitFailure
}

// Report writes an error and returns the exit status of the command.
func Report(w io.Writer, form Output, err error) int {
	if err == nil {
		return ExitOK
	}
	f := Classify(err)
	if form == OutputJSON {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		enc.Encode(f)
		return f.Exit
	}
	fmt.Fprintln(w, "cassiatrayctl:", f.Message)
	if f.Winner != nil {
		for _, line := range f.Winner.Diff {
			fmt.Fprintln(w, "  in force now:", line)
		}
	}
	if f.Exit == ExitUnknown {
		fmt.Fprintln(w, "cassiatrayctl: the change may be in force; see cassiatrayctl history")
	}
	return f.Exit
}
