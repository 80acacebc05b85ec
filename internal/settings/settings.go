// Package settings reads the YAML settings file of a program, strictly, and
// holds the parts that several programs share.
package settings

import (
	"fmt"
	"os"

	"cassiatray/internal/core/document"
)

// ExitInvalid is the exit status of a program whose settings are invalid.
const ExitInvalid = 2

// Checker is a settings type that checks its own meaning.
type Checker interface {
	// Check returns every fault; lines gives the line of each key.
	Check(lines document.Lines) []document.Problem
}

// Load reads a settings file into out and checks it.
//
// Errors: *document.InvalidError with one line for each fault, or a wrapped
// *fs.PathError.
func Load(file string, out Checker) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	lines, err := document.Decode(file, data, out)
	if err != nil {
		return err
	}
	if problems := out.Check(lines); len(problems) > 0 {
		return &document.InvalidError{File: file, Problems: problems}
	}
	return nil
}

// Log sets how a program logs.
type Log struct {
	// Format is "text" or "json"; empty means text.
	Format string `yaml:"format"`
	// Level is "debug", "info", "warning" or "error"; empty means info.
	Level string `yaml:"level"`
}

// Check returns the faults of the log settings under key.
func (l Log) Check(key string, lines document.Lines) []document.Problem {
	var out []document.Problem
	if l.Format != "" && l.Format != "text" && l.Format != "json" {
		out = append(out, Fault(lines, key+".format", "expected text or json, got %q", l.Format))
	}
	switch l.Level {
	case "", "debug", "info", "warning", "error":
	default:
		out = append(out, Fault(lines, key+".level", "expected debug, info, warning or error, got %q", l.Level))
	}
	return out
}

// Fault is a Problem at a key.
func Fault(lines document.Lines, key, format string, args ...any) document.Problem {
	return document.Problem{Line: lines.At(key), Key: key, Message: fmt.Sprintf(format, args...)}
}

// Required returns a fault when a text setting is missing.
func Required(lines document.Lines, key, value string) []document.Problem {
	if value != "" {
		return nil
	}
	return []document.Problem{Fault(lines, key, "missing value, expected text")}
}

// RequiredName returns a fault when a setting is missing or cannot be a name in
// a document or the name of an environment.
func RequiredName(lines document.Lines, key, value string) []document.Problem {
	if value == "" || document.ValidName(value) {
		return Required(lines, key, value)
	}
	return []document.Problem{Fault(lines, key, "expected a name of lower-case letters, digits, dots, dashes and underscores, got %q", value)}
}

// RequiredAddress returns a fault when an address setting is missing.
func RequiredAddress(lines document.Lines, key string, a document.Address) []document.Problem {
	if a.IsValid() {
		return nil
	}
	return []document.Problem{Fault(lines, key, `missing value, expected an IP address with a port such as "10.0.0.1:8080"`)}
}

// KeyedAddress is an address setting with its key.
type KeyedAddress struct {
	Key     string
	Address document.Address
}

// Distinct returns a fault for each address that an earlier one equals.
func Distinct(lines document.Lines, list ...KeyedAddress) []document.Problem {
	var out []document.Problem
	seen := map[document.Address]string{}
	for _, k := range list {
		if k.Address.IsZero() {
			continue
		}
		if other, ok := seen[k.Address]; ok {
			out = append(out, Fault(lines, k.Key, "address %s is already used by %s", k.Address, other))
			continue
		}
		seen[k.Address] = k.Key
	}
	return out
}
