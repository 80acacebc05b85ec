package document

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// decoder sets Go values from YAML nodes by reflection and collects the
// problems that it finds.
type decoder struct {
	lines    Lines
	problems []Problem
}

func (d *decoder) addProblem(n *yaml.Node, key, format string, args ...any) {
	d.problems = append(d.problems, Problem{Line: n.Line, Key: key, Message: fmt.Sprintf(format, args...)})
}

// limitReached reports whether further problems would not be shown.
func (d *decoder) limitReached() bool { return len(d.problems) > maxProblems }

func (d *decoder) value(key string, n *yaml.Node, v reflect.Value) {
	if n.Kind == yaml.AliasNode || n.Anchor != "" {
		d.addProblem(n, key, "anchors and aliases are not accepted")
		return
	}
	d.lines[key] = n.Line
	if _, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.scalar(key, n, v)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.mapping(key, n, v)
	case reflect.Slice:
		d.sequence(key, n, v)
	default:
		d.scalar(key, n, v)
	}
}

func (d *decoder) mapping(key string, n *yaml.Node, v reflect.Value) {
	if n.Kind != yaml.MappingNode {
		d.addProblem(n, key, "expected a mapping")
		return
	}
	fields := fieldIndexes(v.Type())
	seen := make(map[string]bool, len(n.Content)/2)
	for i := 0; i+1 < len(n.Content) && !d.limitReached(); i += 2 {
		name, val := n.Content[i], n.Content[i+1]
		child := joinKey(key, name.Value)
		index, ok := fields[name.Value]
		switch {
		case !ok:
			d.addProblem(name, child, "unknown key, expected one of %s", strings.Join(keyNames(v.Type()), ", "))
		case seen[name.Value]:
			d.addProblem(name, child, "key given twice")
		default:
			seen[name.Value] = true
			d.value(child, val, v.Field(index))
		}
	}
}

func (d *decoder) sequence(key string, n *yaml.Node, v reflect.Value) {
	if n.Kind != yaml.SequenceNode {
		d.addProblem(n, key, "expected a list")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), 0, 0))
	for i, item := range n.Content {
		if d.limitReached() {
			return
		}
		v.Set(reflect.Append(v, reflect.Zero(v.Type().Elem())))
		d.value(fmt.Sprintf("%s[%d]", key, i), item, v.Index(i))
	}
}

func (d *decoder) scalar(key string, n *yaml.Node, v reflect.Value) {
	if n.Kind != yaml.ScalarNode {
		d.addProblem(n, key, "expected %s", typeDescription(v.Type()))
		return
	}
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		if err := u.UnmarshalText([]byte(n.Value)); err != nil {
			d.addProblem(n, key, "%s", scalarMessage(n, v, err))
		}
		return
	}
	if n.Tag == "!!null" || v.Kind() == reflect.String && n.Tag != "!!str" {
		d.addProblem(n, key, "expected %s, got %q", typeDescription(v.Type()), n.Value)
		return
	}
	if err := n.Decode(v.Addr().Interface()); err != nil {
		d.addProblem(n, key, "expected %s, got %q", typeDescription(v.Type()), n.Value)
	}
}

// scalarMessage describes a value that its type failed to parse. The error of
// time.Time does not show the expected format.
func scalarMessage(n *yaml.Node, v reflect.Value, err error) string {
	if v.Type() == reflect.TypeFor[time.Time]() {
		return fmt.Sprintf("%q is not a time such as \"2026-12-04T20:00:00Z\"", n.Value)
	}
	return err.Error()
}

// typeDescription names a type for an error message.
func typeDescription(t reflect.Type) string {
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

// fieldIndexes maps the YAML keys of a struct type to the indexes of its
// fields.
func fieldIndexes(t reflect.Type) map[string]int {
	out := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		if name := yamlKey(t.Field(i)); name != "" {
			out[name] = i
		}
	}
	return out
}

// keyNames returns the YAML keys of a struct type in the order of its fields.
func keyNames(t reflect.Type) []string {
	var out []string
	for i := range t.NumField() {
		if name := yamlKey(t.Field(i)); name != "" {
			out = append(out, name)
		}
	}
	return out
}

func yamlKey(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}
