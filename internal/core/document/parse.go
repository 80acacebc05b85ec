package document

import (
	"bytes"
	"fmt"
	"io"
	"reflect"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Problem is one error in a YAML file.
type Problem struct {
	// Line counts from 1; zero if the problem has no single position.
	Line int
	// Key is the path of the value, such as "services[0].slots".
	Key     string
	Message string
}

func (p Problem) String() string {
	var b strings.Builder
	if p.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", p.Line)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, "%s: ", p.Key)
	}
	b.WriteString(p.Message)
	return b.String()
}

// InvalidError lists the problems of a YAML file.
type InvalidError struct {
	File     string
	Problems []Problem
}

func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, e.File+": "+p.String())
	}
	return strings.Join(lines, "\n")
}

// MaxFile is the maximum size of a YAML file, in bytes.
const MaxFile = 40 << 20

// maxProblems is the maximum number of problems reported for one file.
const maxProblems = 50

// Decode parses one YAML document into out, a pointer to a struct, and rejects
// unknown keys, duplicate keys and values of the wrong type. It returns the
// line number of every key.
//
// Errors: *InvalidError.
func Decode(file string, data []byte, out any) (Lines, error) {
	if len(data) > MaxFile {
		message := fmt.Sprintf("the file has %d bytes, expected at most %d", len(data), MaxFile)
		return nil, &InvalidError{File: file, Problems: []Problem{{Line: 1, Message: message}}}
	}
	root, err := readNode(file, data)
	if err != nil {
		return nil, err
	}
	d := decoder{lines: Lines{}}
	d.value("", root, reflect.ValueOf(out).Elem())
	if len(d.problems) > 0 {
		return nil, newInvalidError(file, d.problems)
	}
	return d.lines, nil
}

// newInvalidError returns an InvalidError with at most maxProblems problems
// and, if there are more, one entry that counts the others.
func newInvalidError(file string, problems []Problem) *InvalidError {
	if rest := len(problems) - maxProblems; rest > 0 {
		more := Problem{Message: fmt.Sprintf("and %d more faults", rest)}
		problems = append(problems[:maxProblems:maxProblems], more)
	}
	return &InvalidError{File: file, Problems: problems}
}

// readNode returns the root node of the only YAML document in data. The YAML
// library can panic on malformed input; a panic is reported as an InvalidError.
func readNode(file string, data []byte) (node *yaml.Node, err error) {
	defer func() {
		if r := recover(); r != nil {
			p := Problem{Line: 1, Message: fmt.Sprintf("the file cannot be read as YAML: %v", r)}
			node, err = nil, &InvalidError{File: file, Problems: []Problem{p}}
		}
	}()
	var root, extra yaml.Node
	dec := yaml.NewDecoder(bytes.NewReader(data))
	if err := dec.Decode(&root); err != nil {
		return nil, syntaxError(file, data, err)
	}
	switch err := dec.Decode(&extra); {
	case err == io.EOF:
		return root.Content[0], nil
	case err != nil:
		return nil, syntaxError(file, data, err)
	}
	p := Problem{Line: extra.Line, Message: "expected one YAML document only"}
	return nil, &InvalidError{File: file, Problems: []Problem{p}}
}

// Lines maps the path of a key to its line number.
type Lines map[string]int

// At returns the line number of a key, or that of its nearest parent in the
// file. For a missing top-level key it is the line where the mapping starts.
func (l Lines) At(key string) int {
	for key != "" {
		if n, ok := l[key]; ok {
			return n
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			break
		}
		key = key[:cut]
	}
	return l[""]
}

func syntaxError(file string, data []byte, err error) error {
	p := Problem{Message: strings.TrimPrefix(err.Error(), "yaml: ")}
	if err == io.EOF {
		p = Problem{Line: 1, Message: "the file is empty"}
	}
	var line int
	if n, _ := fmt.Sscanf(p.Message, "line %d:", &line); n == 1 {
		p.Message = strings.TrimSpace(p.Message[strings.Index(p.Message, ":")+1:])
		p.Line = syntaxLine(data, line, p.Message)
	}
	return &InvalidError{File: file, Problems: []Problem{p}}
}

// syntaxLine corrects the line number of a syntax error. The YAML library
// counts from 1 in errors of its scanner and from 0 in those of its parser.
// Parser errors refer to the line where a list or mapping starts, except for
// one that starts on the first line: there they refer to the line where it
// ends.
func syntaxLine(data []byte, line int, message string) int {
	if !strings.HasPrefix(message, "did not find expected") {
		return line
	}
	inBrackets := strings.Contains(message, "',' or")
	if inBrackets && !opensBracket(lineAt(data, line+1)) {
		return line
	}
	return line + 1
}

// opensBracket reports whether a line opens more brackets than it closes.
func opensBracket(line string) bool {
	return strings.Count(line, "[")+strings.Count(line, "{") > strings.Count(line, "]")+strings.Count(line, "}")
}

// lineAt returns the n-th line of data, counting from 1, or an empty string.
func lineAt(data []byte, n int) string {
	for l := range bytes.Lines(data) {
		if n--; n == 0 {
			return string(l)
		}
	}
	return ""
}

// Parse decodes a document and checks it.
//
// Errors: *InvalidError with the line and key of every problem.
func Parse(file string, data []byte) (*Document, error) {
	doc := new(Document)
	lines, err := Decode(file, data, doc)
	if err != nil {
		return nil, err
	}
	if problems := Check(doc, lines); len(problems) > 0 {
		return nil, newInvalidError(file, problems)
	}
	return doc, nil
}
