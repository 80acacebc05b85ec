// Package docs finds the links and the commands in the project's pages, so
// that a test can check that they stay true.
package docs

import (
	"bufio"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
)

// Reference is a link or a command in a page.
type Reference struct {
	// Page is the file's path, and Line counts from 1.
	Page string
	Line int
	Text string
}

// Pages returns the Markdown files at the root and below docs.
func Pages(root string) ([]string, error) {
	pages, err := filepath.Glob(filepath.Join(root, "*.md"))
	if err != nil {
		return nil, err
	}
	err = filepath.WalkDir(filepath.Join(root, "docs"), func(path string, d fs.DirEntry, err error) error {
		if err == nil && !d.IsDir() && strings.HasSuffix(path, ".md") {
			pages = append(pages, path)
		}
		return err
	})
	return pages, err
}

var link = regexp.MustCompile(`\]\(([^)\s]+)\)`)

// Scan returns the relative links of a page and the command lines of its code
// blocks: lines that begin with make, go, bash, curl or the path of a program,
// after an optional prompt.
func Scan(page string) (links, commands []Reference, err error) {
	f, err := os.Open(page)
	if err != nil {
		return nil, nil, err
	}
	defer f.Close()
	fenced := false
	sc := bufio.NewScanner(f)
	for n := 1; sc.Scan(); n++ {
		text := sc.Text()
		if strings.HasPrefix(strings.TrimSpace(text), "```") {
			fenced = !fenced
			continue
		}
		if fenced || strings.HasPrefix(text, "    ") {
			if c, ok := command(text); ok {
				commands = append(commands, Reference{Page: page, Line: n, Text: c})
			}
			continue
		}
		for _, m := range link.FindAllStringSubmatch(text, -1) {
			links = append(links, Reference{Page: page, Line: n, Text: m[1]})
		}
	}
	return links, commands, sc.Err()
}

var program = regexp.MustCompile(`^(make|bin/cassiatray\S*|cassiatray\S*)( |$)`)

func command(text string) (string, bool) {
	text = strings.TrimPrefix(strings.TrimSpace(text), "$ ")
	text, _, _ = strings.Cut(text, " #")
	text = strings.TrimSpace(text)
	return text, program.MatchString(text)
}
