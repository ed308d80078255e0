// Package tomldoc decodes TOML documents and validates them against a JSON Schema. The first unknown key, wrong
// type or value out of bounds is returned as an error with the file, the line and the permitted values.
package tomldoc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"
	"unicode/utf8"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"

	"github.com/egretspar/egretspar/schema"
)

// Error is one violation in a document.
type Error struct {
	File    string
	Line    int
	Message string
}

// Error formats the violation as file:line: message.
func (e *Error) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Message) }

// Schema is the compiled JSON Schema of one kind of document.
type Schema struct {
	kind     string
	compiled *jsonschema.Schema
	root     map[string]any
}

// MustSchema compiles an embedded schema file for documents of the given kind. It panics if the schema does not
// compile, which tests detect before a release.
func MustSchema(kind, file string) *Schema {
	data, err := schema.Files.ReadFile(file)
	if err != nil {
		panic(err)
	}
	root, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	c := jsonschema.NewCompiler()
	c.AssertFormat()
	if err := c.AddResource(file, root); err != nil {
		panic(err)
	}
	return &Schema{kind: kind, compiled: c.MustCompile(file), root: root.(map[string]any)}
}

// Decode validates data against the schema, adds the schema's defaults and stores the result in out.
func (s *Schema) Decode(file string, data []byte, out any) error {
	doc, err := parse(file, data)
	if err != nil {
		return err
	}
	if err := s.checkKind(file, doc); err != nil {
		return err
	}
	doc = normalizeTimes(doc).(map[string]any)
	if err := s.compiled.Validate(doc); err != nil {
		return s.firstViolation(file, data, err)
	}
	s.addDefaults(s.root, doc)
	encoded, err := json.Marshal(doc)
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(json.Unmarshal(encoded, out))
}

// Kind returns the document's kind without validating the rest.
func Kind(file string, data []byte) (string, error) {
	doc, err := parse(file, data)
	if err != nil {
		return "", err
	}
	kind, ok := doc["kind"].(string)
	if !ok {
		return "", &Error{file, 1, `missing kind; write kind = "instance" or kind = "configuration" as the first line`}
	}
	return kind, nil
}

func parse(file string, data []byte) (map[string]any, error) {
	if len(bytes.TrimSpace(data)) == 0 {
		return nil, &Error{file, 1, "file is empty; expected TOML"}
	}
	if !utf8.Valid(data) || bytes.IndexByte(data, 0) >= 0 {
		return nil, &Error{file, 1, "file is binary; expected TOML as UTF-8 text"}
	}
	var doc map[string]any
	if err := toml.Unmarshal(data, &doc); err != nil {
		var decodeErr *toml.DecodeError
		if errors.As(err, &decodeErr) {
			line, _ := decodeErr.Position()
			return nil, &Error{file, line, decodeErr.Error()}
		}
		return nil, &Error{file, 1, err.Error()}
	}
	return doc, nil
}

func (s *Schema) checkKind(file string, doc map[string]any) error {
	kind, ok := doc["kind"].(string)
	if !ok {
		return &Error{file, 1, fmt.Sprintf("missing kind; write kind = %q as the first line", s.kind)}
	}
	if kind != s.kind {
		return &Error{file, 1, fmt.Sprintf("kind is %q; expected %q", kind, s.kind)}
	}
	return nil
}

// normalizeTimes converts TOML times into RFC 3339 strings, because the schemas describe times as strings.
func normalizeTimes(value any) any {
	switch v := value.(type) {
	case map[string]any:
		for key, item := range v {
			v[key] = normalizeTimes(item)
		}
	case []any:
		for i, item := range v {
			v[i] = normalizeTimes(item)
		}
	case time.Time:
		return v.Format(time.RFC3339Nano)
	case toml.LocalDate, toml.LocalTime, toml.LocalDateTime:
		return fmt.Sprint(v)
	}
	return value
}

// addDefaults sets absent properties of value to the defaults in the schema node.
func (s *Schema) addDefaults(node map[string]any, value any) {
	node = s.resolveRef(node)
	switch v := value.(type) {
	case map[string]any:
		properties, _ := node["properties"].(map[string]any)
		for name, raw := range properties {
			property := s.resolveRef(raw.(map[string]any))
			if _, present := v[name]; !present {
				if d, ok := property["default"]; ok {
					v[name] = d
				}
				continue
			}
			s.addDefaults(property, v[name])
		}
	case []any:
		items, ok := node["items"].(map[string]any)
		if !ok {
			return
		}
		for _, item := range v {
			s.addDefaults(items, item)
		}
	}
}

// resolveRef returns the definition that the node's $ref names, or the node itself if it has no $ref.
func (s *Schema) resolveRef(node map[string]any) map[string]any {
	ref, ok := node["$ref"].(string)
	if !ok {
		return node
	}
	const prefix = "#/$defs/"
	definitions := s.root["$defs"].(map[string]any)
	return definitions[ref[len(prefix):]].(map[string]any)
}
