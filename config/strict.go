package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"unicode/utf8"

	"turmericroute/model"
)

const (
	// MaxPatchBytes bounds the JSON form of a patch.
	MaxPatchBytes = 1 << 20
	// maxChanges bounds the changes of one patch.
	maxChanges = 2048
)

// DecodePatch decodes the JSON form of a patch and refuses unknown, repeated or
// out-of-range fields; the error is a *model.Error that lists all faults of the fields.
func DecodePatch(b []byte) (Patch, error) {
	if len(b) > MaxPatchBytes {
		return Patch{}, model.NotRun(model.CodeTooLarge, "patch is larger than %d bytes", MaxPatchBytes)
	}
	var p Patch
	if err := DecodeJSON(b, &p); err != nil {
		return Patch{}, err
	}
	if faults := p.faults(); len(faults) > 0 {
		return Patch{}, InvalidError("patch is not valid", faults)
	}
	return p, nil
}

// InvalidError returns an error with the code invalid and the outcome not_run that lists the faults.
func InvalidError(message string, faults []Fault) *model.Error {
	e := model.NotRun(model.CodeInvalid, "%s", message)
	e.Faults = FaultStrings(faults)
	return e
}

func (p Patch) faults() []Fault {
	var f Faults
	f.CheckName("id", p.ID)
	f.CheckText("author", p.Author)
	f.CheckText("reason", p.Reason)
	f.CheckRange("changes", len(p.Changes), 1, maxChanges)
	for i, c := range p.Changes {
		if c.actionCount() != 1 {
			f.Add(fmt.Sprintf("changes[%d]", i), "has %d actions, must have exactly one", c.actionCount())
		}
	}
	return f
}

// DecodeJSON decodes exactly one JSON value into out. It refuses unknown and
// repeated fields, deep nesting, trailing data and text that is not UTF-8; the
// error is a *model.Error.
func DecodeJSON(b []byte, out any) error {
	if !utf8.Valid(b) {
		return model.NotRun(model.CodeInvalid, "body is not UTF-8")
	}
	if err := scanJSON(b); err != nil {
		return err
	}
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return jsonError(err)
	}
	return nil
}

// scanJSON checks what the JSON decoder does not: depth, repeated fields and trailing data.
func scanJSON(b []byte) error {
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.UseNumber()
	s := jsonScanner{dec: dec}
	if err := s.value(0); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return model.NotRun(model.CodeInvalid, "data follows the JSON value at byte %d", dec.InputOffset())
	}
	return nil
}

// jsonScanner reads a JSON value token by token to check its depth and field names.
type jsonScanner struct{ dec *json.Decoder }

func (s jsonScanner) value(depth int) error {
	if depth > MaxDepth {
		return model.NotRun(model.CodeInvalid, "JSON is nested deeper than %d levels", MaxDepth)
	}
	t, err := s.dec.Token()
	if err != nil {
		return jsonError(err)
	}
	switch t {
	case json.Delim('{'):
		return s.object(depth)
	case json.Delim('['):
		return s.list(depth)
	default:
		return nil
	}
}

func (s jsonScanner) object(depth int) error {
	seen := map[string]bool{}
	for s.dec.More() {
		t, err := s.dec.Token()
		if err != nil {
			return jsonError(err)
		}
		name, _ := t.(string)
		// The decoder matches names case-insensitively, so "id" and "ID" are the same field.
		folded := strings.ToLower(name)
		if seen[folded] {
			return model.NotRun(model.CodeInvalid, "field %q occurs twice", name)
		}
		seen[folded] = true
		if err := s.value(depth + 1); err != nil {
			return err
		}
	}
	return s.end()
}

func (s jsonScanner) list(depth int) error {
	for s.dec.More() {
		if err := s.value(depth + 1); err != nil {
			return err
		}
	}
	return s.end()
}

func (s jsonScanner) end() error {
	if _, err := s.dec.Token(); err != nil {
		return jsonError(err)
	}
	return nil
}

// jsonError converts an error of the JSON decoder to a *model.Error.
func jsonError(err error) error {
	var te *json.UnmarshalTypeError
	var se *json.SyntaxError
	switch {
	case errors.As(err, &te):
		return model.NotRun(model.CodeInvalid, "field %q: a JSON %s does not fit type %s", te.Field, te.Value, te.Type)
	case errors.As(err, &se):
		return model.NotRun(model.CodeInvalid, "JSON is malformed at byte %d: %v", se.Offset, se)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return model.NotRun(model.CodeInvalid, "body is empty or ends within the JSON value")
	default:
		return model.NotRun(model.CodeInvalid, "%s", strings.TrimPrefix(err.Error(), "json: "))
	}
}
