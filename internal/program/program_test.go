package program_test

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"cassiatray/internal/site"
)

// run runs a program and returns its output, with the directory of its
// settings file taken out, and its exit status.
func run(t *testing.T, dir, name string, args ...string) (string, int) {
	t.Helper()
	bin, err := site.Programs()
	if err != nil {
		t.Fatal(err)
	}
	out, err := exec.Command(filepath.Join(bin, name), args...).CombinedOutput()
	status := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		status = exit.ExitCode()
	} else if err != nil {
		t.Fatal(err)
	}
	return strings.ReplaceAll(string(out), dir+"/", ""), status
}

// TestSettingsFaults starts daemons with invalid settings: each must name the
// file, line, key and what was expected, exit with status 2 and start nothing.
func TestSettingsFaults(t *testing.T) {
	datadriven.RunTest(t, "testdata/settings", func(t *testing.T, d *datadriven.TestData) string {
		dir := t.TempDir()
		file := filepath.Join(dir, "settings.yaml")
		if err := os.WriteFile(file, []byte(d.Input), 0o600); err != nil {
			t.Fatal(err)
		}
		out, status := run(t, dir, d.Cmd, "--settings", file)
		if status != 2 {
			t.Fatalf("exit status %d: %s", status, out)
		}
		return out
	})
}

func TestHelpAndVersion(t *testing.T) {
	for _, name := range []string{"cassiatray-entry", "cassiatray-steer", "cassiatrayctl", "cassiatray-standin", "cassiatray-load", "cassiatray-measure", "cassiatray-demo"} {
		out, status := run(t, "", name, "--help")
		if status != 0 || !strings.Contains(out, "--version") {
			t.Errorf("%s --help: status %d: %s", name, status, out)
		}
		out, status = run(t, "", name, "--version")
		if status != 0 || !strings.HasPrefix(out, name+" ") {
			t.Errorf("%s --version: status %d: %s", name, status, out)
		}
	}
}

func TestMissingSettingsFile(t *testing.T) {
	out, status := run(t, "", "cassiatray-entry", "--settings", "/nonexistent/settings.yaml")
	if status != 2 || !strings.Contains(out, "no such file") {
		t.Fatalf("status %d: %s", status, out)
	}
}
