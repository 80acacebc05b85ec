package document

import (
	"bytes"
	"encoding"
	"fmt"
	"io"
	"reflect"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// Problem is one fault in a YAML file.
type Problem struct {
	// Line counts from 1; zero when the fault has no single place.
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

// InvalidError lists what is wrong with a YAML file.
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

// Decode reads one YAML document into out, a pointer to a struct, and refuses
// unknown keys, keys given twice, and values of the wrong type. It returns the
// line of every key by its path.
//
// Errors: *InvalidError.
func Decode(file string, data []byte, out any) (Lines, error) {
	var root yaml.Node
	dec := yaml.NewDecoder(bytes.NewReader(data))
	if err := dec.Decode(&root); err != nil {
		return nil, syntaxError(file, err)
	}
	var extra yaml.Node
	if err := dec.Decode(&extra); err != io.EOF {
		return nil, &InvalidError{File: file, Problems: []Problem{{Line: extra.Line, Message: "expected one YAML document only"}}}
	}
	d := decoder{lines: Lines{}}
	d.value("", root.Content[0], reflect.ValueOf(out).Elem())
	if len(d.problems) > 0 {
		return nil, &InvalidError{File: file, Problems: d.problems}
	}
	return d.lines, nil
}

// Lines maps the path of a key to its line.
type Lines map[string]int

// At returns the line of a key, or of the nearest key above it.
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
	return 0
}

func syntaxError(file string, err error) error {
	p := Problem{Message: strings.TrimPrefix(err.Error(), "yaml: ")}
	if err == io.EOF {
		p = Problem{Line: 1, Message: "the file is empty"}
	}
	var line int
	if n, _ := fmt.Sscanf(p.Message, "line %d:", &line); n == 1 {
		p.Line = line
		p.Message = strings.TrimSpace(p.Message[strings.Index(p.Message, ":")+1:])
	}
	return &InvalidError{File: file, Problems: []Problem{p}}
}

type decoder struct {
	lines    Lines
	problems []Problem
}

func (d *decoder) fail(n *yaml.Node, key, format string, args ...any) {
	d.problems = append(d.problems, Problem{Line: n.Line, Key: key, Message: fmt.Sprintf(format, args...)})
}

func (d *decoder) value(key string, n *yaml.Node, v reflect.Value) {
	if n.Kind == yaml.AliasNode {
		d.fail(n, key, "anchors and aliases are not accepted")
		return
	}
	d.lines[key] = n.Line
	if _, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.scalar(key, n, v)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.structure(key, n, v)
	case reflect.Slice:
		d.list(key, n, v)
	default:
		d.scalar(key, n, v)
	}
}

func (d *decoder) structure(key string, n *yaml.Node, v reflect.Value) {
	if n.Kind != yaml.MappingNode {
		d.fail(n, key, "expected a mapping")
		return
	}
	fields := fieldsOf(v.Type())
	seen := make(map[string]bool, len(n.Content)/2)
	for i := 0; i+1 < len(n.Content); i += 2 {
		name, val := n.Content[i], n.Content[i+1]
		child := joinKey(key, name.Value)
		index, ok := fields[name.Value]
		switch {
		case !ok:
			d.fail(name, child, "unknown key, expected one of %s", strings.Join(namesOf(v.Type()), ", "))
		case seen[name.Value]:
			d.fail(name, child, "key given twice")
		default:
			seen[name.Value] = true
			d.value(child, val, v.Field(index))
		}
	}
}

func (d *decoder) list(key string, n *yaml.Node, v reflect.Value) {
	if n.Kind != yaml.SequenceNode {
		d.fail(n, key, "expected a list")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content)))
	for i, item := range n.Content {
		d.value(fmt.Sprintf("%s[%d]", key, i), item, v.Index(i))
	}
}

func (d *decoder) scalar(key string, n *yaml.Node, v reflect.Value) {
	if n.Kind != yaml.ScalarNode {
		d.fail(n, key, "expected %s", kindName(v.Type()))
		return
	}
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		if err := u.UnmarshalText([]byte(n.Value)); err != nil {
			d.fail(n, key, "%s", scalarMessage(n, v, err))
		}
		return
	}
	if n.Tag == "!!null" || v.Kind() == reflect.String && n.Tag != "!!str" {
		d.fail(n, key, "expected %s, got %q", kindName(v.Type()), n.Value)
		return
	}
	if err := n.Decode(v.Addr().Interface()); err != nil {
		d.fail(n, key, "expected %s, got %q", kindName(v.Type()), n.Value)
	}
}

func scalarMessage(n *yaml.Node, v reflect.Value, err error) string {
	if v.Type() == reflect.TypeFor[time.Time]() {
		return fmt.Sprintf("%q is not a time such as \"2026-12-04T20:00:00Z\"", n.Value)
	}
	return err.Error()
}

func kindName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64, reflect.Uint64, reflect.Uint32:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	}
	return "text"
}

func joinKey(parent, name string) string {
	if parent == "" {
		return name
	}
	return parent + "." + name
}

func fieldsOf(t reflect.Type) map[string]int {
	out := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		if name := yamlName(t.Field(i)); name != "" {
			out[name] = i
		}
	}
	return out
}

func namesOf(t reflect.Type) []string {
	var out []string
	for i := range t.NumField() {
		if name := yamlName(t.Field(i)); name != "" {
			out = append(out, name)
		}
	}
	return out
}

func yamlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}

// Parse reads a document and checks it.
//
// Errors: *InvalidError with the line and key of every fault.
func Parse(file string, data []byte) (*Document, error) {
	doc := new(Document)
	lines, err := Decode(file, data, doc)
	if err != nil {
		return nil, err
	}
	if problems := Check(doc, lines); len(problems) > 0 {
		return nil, &InvalidError{File: file, Problems: problems}
	}
	return doc, nil
}
