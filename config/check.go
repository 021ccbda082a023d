package config

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// maxShownBytes bounds how much of an invalid value a fault quotes.
const maxShownBytes = 40

// checkNode returns the faults of a node that does not match the type that it is
// decoded into. The decoder of the YAML package finds the same faults, but reports
// no key and, on a line with several values, not which one is wrong.
func (d *Document) checkNode(n *yaml.Node, t reflect.Type, key string) []Fault {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch {
	case n.Kind == yaml.ScalarNode && n.Tag == "!!null":
		return nil
	case t.Kind() == reflect.Struct:
		return d.checkMapping(n, t, key)
	case t.Kind() == reflect.Slice:
		return d.checkList(n, t, key)
	case n.Kind != yaml.ScalarNode || n.Decode(reflect.New(t).Interface()) != nil:
		return d.fault(n.Line, key, "found %s, expected %s", describeNode(n), describeType(t))
	default:
		return nil
	}
}

func (d *Document) checkMapping(n *yaml.Node, t reflect.Type, key string) []Fault {
	if n.Kind != yaml.MappingNode {
		return d.fault(n.Line, key, "found %s, expected a mapping with keys", describeNode(n))
	}
	var faults []Fault
	seen := map[string]int{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		name, line := n.Content[i].Value, n.Content[i].Line
		child := joinKey(key, name)
		field, ok := fieldType(t, name)
		first, repeated := seen[name]
		seen[name] = line
		switch {
		case !ok:
			faults = append(faults, d.fault(line, child, "unknown key")...)
		case repeated:
			faults = append(faults, d.fault(line, child, "occurs twice, first on line %d", first)...)
		default:
			faults = append(faults, d.checkNode(n.Content[i+1], field, child)...)
		}
	}
	return faults
}

func (d *Document) checkList(n *yaml.Node, t reflect.Type, key string) []Fault {
	if n.Kind != yaml.SequenceNode {
		return d.fault(n.Line, key, "found %s, expected a list", describeNode(n))
	}
	var faults []Fault
	for i, c := range n.Content {
		faults = append(faults, d.checkNode(c, t.Elem(), fmt.Sprintf("%s[%d]", key, i))...)
	}
	return faults
}

// fieldType returns the type of the field of t with the YAML name.
func fieldType(t reflect.Type, name string) (reflect.Type, bool) {
	for i := range t.NumField() {
		f := t.Field(i)
		tag, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if tag == name && tag != "-" && tag != "" {
			return f.Type, true
		}
	}
	return nil, false
}

// describeNode returns the kind of a node, or its quoted value if it is a scalar.
func describeNode(n *yaml.Node) string {
	switch n.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	default:
		if len(n.Value) > maxShownBytes {
			return fmt.Sprintf("%q...", n.Value[:maxShownBytes])
		}
		return fmt.Sprintf("%q", n.Value)
	}
}

// describeType returns the description of a scalar type for a fault.
func describeType(t reflect.Type) string {
	if t == reflect.TypeFor[time.Duration]() {
		return "a duration such as 500ms or 2s"
	}
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "text"
	case reflect.Float32, reflect.Float64:
		return "a number"
	default:
		return "a whole number in range"
	}
}
