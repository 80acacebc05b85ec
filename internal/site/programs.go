package site

import (
	"fmt"
	"os"
)

// binVariable names the directory of the built programs.
const binVariable = "CASSIATRAY_BIN"

// NoProgramsError means that the built programs cannot be found.
type NoProgramsError struct{ Variable string }

func (e *NoProgramsError) Error() string {
	return fmt.Sprintf("%s does not name the directory of the built programs; run make test", e.Variable)
}

// Programs returns the directory of the built programs, from the environment.
func Programs() (string, error) {
	dir := os.Getenv(binVariable)
	if _, err := os.Stat(dir + "/cassiatray-entry"); err != nil {
		return "", &NoProgramsError{Variable: binVariable}
	}
	return dir, nil
}
