package docs

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"cassiatray/internal/site"
)

const root = "../.."

func scanAll(t *testing.T) (links, commands []Reference) {
	t.Helper()
	pages, err := Pages(root)
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range pages {
		l, c, err := Scan(p)
		if err != nil {
			t.Fatal(err)
		}
		links, commands = append(links, l...), append(commands, c...)
	}
	return links, commands
}

func TestLinks(t *testing.T) {
	links, _ := scanAll(t)
	if len(links) == 0 {
		t.Fatal("no links found")
	}
	for _, l := range links {
		target, _, _ := strings.Cut(l.Text, "#")
		if target == "" || strings.Contains(target, "://") {
			continue
		}
		if _, err := os.Stat(filepath.Join(filepath.Dir(l.Page), target)); err != nil {
			t.Errorf("%s:%d: broken link %s", l.Page, l.Line, l.Text)
		}
	}
}

// TestCommands checks that every make target, program, subcommand and flag
// that a page shows exists.
func TestCommands(t *testing.T) {
	bin, err := site.Programs()
	if err != nil {
		t.Fatal(err)
	}
	makefile, err := os.ReadFile(filepath.Join(root, "Makefile"))
	if err != nil {
		t.Fatal(err)
	}
	_, commands := scanAll(t)
	if len(commands) == 0 {
		t.Fatal("no commands found")
	}
	for _, c := range commands {
		words := strings.Fields(c.Text)
		if words[0] == "make" {
			for _, target := range words[1:] {
				if !strings.Contains(target, "=") && !regexp.MustCompile(`(?m)^`+target+`:`).Match(makefile) {
					t.Errorf("%s:%d: no target %s", c.Page, c.Line, target)
				}
			}
			continue
		}
		if problem := checkProgram(bin, words); problem != "" {
			t.Errorf("%s:%d: %s: %s", c.Page, c.Line, c.Text, problem)
		}
	}
}

// checkProgram looks for the subcommand and the flags in the program's help.
func checkProgram(bin string, words []string) string {
	name := filepath.Base(words[0])
	args := []string{"--help"}
	if name == "cassiatrayctl" && len(words) > 1 && !strings.HasPrefix(words[1], "-") {
		args = []string{words[1], "--help"}
	}
	out, err := exec.Command(filepath.Join(bin, name), args...).CombinedOutput()
	if err != nil {
		return strings.TrimSpace(string(out) + err.Error())
	}
	for _, w := range words[1:] {
		flag, _, _ := strings.Cut(w, "=")
		if strings.HasPrefix(flag, "--") && !strings.Contains(string(out), flag) {
			return "no flag " + flag
		}
	}
	return ""
}

// TestNamedTests checks that every test that a page names exists.
func TestNamedTests(t *testing.T) {
	out, err := exec.Command("git", "-C", root, "grep", "-hoE", `^func (Test|Fuzz|Benchmark)\w+`, "--", "*_test.go").Output()
	if err != nil {
		t.Fatal(err)
	}
	known := strings.ReplaceAll(string(out), "func ", "")
	named := regexp.MustCompile("`((?:Test|Fuzz|Benchmark)[A-Z]\\w*)(…?)`")
	pages, err := Pages(root)
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	for _, p := range pages {
		text, err := os.ReadFile(p)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range named.FindAllStringSubmatch(string(text), -1) {
			found++
			want := m[1] + "\n"
			if m[2] != "" {
				want = m[1]
			}
			if !strings.Contains(known, want) {
				t.Errorf("%s names %s, which is no test", p, m[1])
			}
		}
	}
	if found == 0 {
		t.Fatal("no tests named")
	}
}

func TestScanFindsFaults(t *testing.T) {
	page := filepath.Join(t.TempDir(), "page.md")
	text := "[a](missing.md)\n```\n$ bin/cassiatrayctl nothing --bogus\nmake demo\n```\n"
	if err := os.WriteFile(page, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	links, commands, err := Scan(page)
	if err != nil || len(links) != 1 || len(commands) != 2 || commands[0].Line != 3 {
		t.Fatalf("links %v, commands %v, error %v", links, commands, err)
	}
	bin, err := site.Programs()
	if err != nil {
		t.Fatal(err)
	}
	if problem := checkProgram(bin, strings.Fields(commands[0].Text)); problem == "" {
		t.Fatal("unknown subcommand was accepted")
	}
}
