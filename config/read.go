package config

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"go.yaml.in/yaml/v3"
)

const (
	// MaxFileBytes bounds one YAML file.
	MaxFileBytes = 1 << 20
	// MaxDepth bounds the nesting of YAML and JSON documents.
	MaxDepth = 32
	// maxKeyBytes bounds a YAML key, since the path of each value repeats the keys above it.
	maxKeyBytes = 200
)

// Document is a parsed YAML file with the line of each key.
type Document struct {
	file  string
	lines map[string]int
}

// ReadYAML decodes a YAML file into out, a pointer to a struct, and refuses
// unknown keys. Faults describe the content; the error is a failure to read the file.
func ReadYAML(path string, out any) (*Document, []Fault, error) {
	b, err := readLimited(path)
	if err != nil {
		return nil, nil, err
	}
	d, faults := ParseYAML(path, b, out)
	return d, faults, nil
}

// readLimited returns the content of a file, cut off one byte after MaxFileBytes.
func readLimited(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open declarations: %w", err)
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, MaxFileBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", path, err)
	}
	return b, nil
}

// ParseYAML decodes the content of a file like ReadYAML; file is the name that faults report.
func ParseYAML(file string, b []byte, out any) (*Document, []Fault) {
	d := &Document{file: file, lines: map[string]int{}}
	switch {
	case len(b) > MaxFileBytes:
		return d, d.fault(0, "", "is larger than %d bytes", MaxFileBytes)
	case !utf8.Valid(b):
		return d, d.fault(1+bytes.Count(b[:invalidUTF8Offset(b)], []byte("\n")), "", "is not UTF-8")
	}
	var root yaml.Node
	dec := yaml.NewDecoder(bytes.NewReader(b))
	if err := dec.Decode(&root); errors.Is(err, io.EOF) {
		return d, nil
	} else if err != nil {
		return d, d.yamlFaults(err)
	}
	if faults := d.indexNode(&root, "", 0); len(faults) > 0 {
		return d, faults
	}
	if err := dec.Decode(new(yaml.Node)); !errors.Is(err, io.EOF) {
		return d, d.fault(0, "", "contains more than one YAML document")
	}
	if faults := d.checkNode(root.Content[0], reflect.TypeOf(out).Elem(), ""); len(faults) > 0 {
		return d, faults
	}
	if err := root.Decode(out); err != nil {
		return d, d.yamlFaults(err)
	}
	return d, nil
}

// invalidUTF8Offset returns the offset of the first byte that is not UTF-8, or len(b).
func invalidUTF8Offset(b []byte) int {
	for i := 0; i < len(b); {
		r, n := utf8.DecodeRune(b[i:])
		if r == utf8.RuneError && n <= 1 {
			return i
		}
		i += n
	}
	return len(b)
}

func (d *Document) fault(line int, key, format string, args ...any) []Fault {
	return []Fault{{File: d.file, Line: line, Key: key, Message: fmt.Sprintf(format, args...)}}
}

// indexNode records the line of each key. It refuses deep nesting, and aliases,
// which can expand a small file to a large value.
func (d *Document) indexNode(n *yaml.Node, key string, depth int) []Fault {
	if depth > MaxDepth {
		return d.fault(n.Line, key, "is nested deeper than %d levels", MaxDepth)
	}
	if _, ok := d.lines[key]; !ok {
		d.lines[key] = n.Line
	}
	var faults []Fault
	switch n.Kind {
	case yaml.AliasNode:
		return d.fault(n.Line, key, "anchors and aliases are not supported")
	case yaml.DocumentNode:
		return d.indexNode(n.Content[0], key, depth)
	case yaml.MappingNode:
		for i := 0; i+1 < len(n.Content); i += 2 {
			if len(n.Content[i].Value) > maxKeyBytes {
				return d.fault(n.Content[i].Line, key, "contains a key longer than %d bytes", maxKeyBytes)
			}
			child := joinKey(key, n.Content[i].Value)
			faults = append(faults, d.indexNode(n.Content[i+1], child, depth+1)...)
			d.lines[child] = n.Content[i].Line
		}
	case yaml.SequenceNode:
		for i, c := range n.Content {
			faults = append(faults, d.indexNode(c, fmt.Sprintf("%s[%d]", key, i), depth+1)...)
		}
	}
	return faults
}

func joinKey(key, child string) string {
	if key == "" {
		return child
	}
	return key + "." + child
}

// yamlFaults converts an error of the YAML package, which has a line but no key, to faults.
func (d *Document) yamlFaults(err error) []Fault {
	line, msg := splitLineNumber(strings.TrimPrefix(err.Error(), "yaml: "))
	return d.fault(line, "", "%s", msg)
}

// splitLineNumber splits "line 7: message" into 7 and "message"; the number is 0 if s has none.
func splitLineNumber(s string) (int, string) {
	head, msg, ok := strings.Cut(s, ": ")
	n, err := strconv.Atoi(strings.TrimPrefix(head, "line "))
	if !ok || err != nil {
		return 0, s
	}
	return n, msg
}

// Locate returns the faults with file and line added to those that have only a key.
func (d *Document) Locate(faults []Fault) []Fault {
	out := slices.Clone(faults)
	for i := range out {
		if out[i].File == "" {
			out[i].File, out[i].Line = d.file, d.line(out[i].Key)
		}
	}
	return out
}

// line returns the line of a key, or of its nearest ancestor with a known line.
func (d *Document) line(key string) int {
	for key != "" {
		if n, ok := d.lines[key]; ok {
			return n
		}
		key = key[:max(0, strings.LastIndexAny(key, ".["))]
	}
	return d.lines[""]
}

// ReadFile reads a file of declarations, or all .yaml and .yml files of a folder in
// the order of their names, and validates them together.
func ReadFile(path string) (Config, []Fault, error) {
	files, err := declarationFiles(path)
	if err != nil {
		return Config{}, nil, err
	}
	m := mergedConfig{origins: map[string]origin{}}
	var faults []Fault
	for _, file := range files {
		var part Config
		d, fs, err := ReadYAML(file, &part)
		if err != nil {
			return Config{}, nil, err
		}
		faults = append(faults, fs...)
		m.add(d, part)
	}
	if len(faults) == 0 {
		faults = m.locate(Validate(m.cfg))
	}
	return m.cfg, faults, nil
}

// declarationFiles returns path itself, or the .yaml and .yml files in it if it is a folder.
func declarationFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("find declarations: %w", err)
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, fmt.Errorf("list declarations: %w", err)
	}
	var files []string
	for _, e := range entries {
		if ext := filepath.Ext(e.Name()); !e.IsDir() && (ext == ".yaml" || ext == ".yml") {
			files = append(files, filepath.Join(path, e.Name()))
		}
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("folder %s contains no .yaml or .yml file", path)
	}
	return files, nil
}

// origin is the document that an entry of a merged list comes from, and its key there.
type origin struct {
	doc *Document
	key string
}

// mergedConfig merges the lists of several files and records the origin of each entry by its merged key.
type mergedConfig struct {
	cfg     Config
	origins map[string]origin
}

func (m *mergedConfig) add(d *Document, part Config) {
	m.addOrigins(d, "data_centres", len(m.cfg.DataCentres), len(part.DataCentres))
	m.addOrigins(d, "teams", len(m.cfg.Teams), len(part.Teams))
	m.addOrigins(d, "services", len(m.cfg.Services), len(part.Services))
	m.addOrigins(d, "drained_workers", len(m.cfg.DrainedWorkers), len(part.DrainedWorkers))
	m.cfg.DataCentres = append(m.cfg.DataCentres, part.DataCentres...)
	m.cfg.Teams = append(m.cfg.Teams, part.Teams...)
	m.cfg.Services = append(m.cfg.Services, part.Services...)
	m.cfg.DrainedWorkers = append(m.cfg.DrainedWorkers, part.DrainedWorkers...)
}

// addOrigins records d as the origin of n entries of a list, whose merged indexes start at before.
func (m *mergedConfig) addOrigins(d *Document, list string, before, n int) {
	if _, ok := m.origins[list]; !ok && n > 0 {
		m.origins[list] = origin{doc: d, key: list}
	}
	for i := range n {
		m.origins[fmt.Sprintf("%s[%d]", list, before+i)] = origin{doc: d, key: fmt.Sprintf("%s[%d]", list, i)}
	}
}

// locate returns the faults with the key, file and line of the document that each value comes from.
func (m *mergedConfig) locate(faults []Fault) []Fault {
	out := slices.Clone(faults)
	for i, f := range out {
		head, rest, _ := strings.Cut(f.Key, ".")
		o, ok := m.origins[head]
		if !ok {
			continue
		}
		out[i].Key = o.key
		if rest != "" {
			out[i].Key = o.key + "." + rest
		}
		out[i].File, out[i].Line = o.doc.file, o.doc.line(out[i].Key)
	}
	return out
}

// WriteYAML writes cfg as YAML; reading it back gives an equal configuration.
func WriteYAML(w io.Writer, cfg Config) error {
	enc := yaml.NewEncoder(w)
	enc.SetIndent(2)
	if err := enc.Encode(cfg); err != nil {
		return fmt.Errorf("encode configuration as YAML: %w", err)
	}
	if err := enc.Close(); err != nil {
		return fmt.Errorf("finish YAML of configuration: %w", err)
	}
	return nil
}
