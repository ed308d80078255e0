package tomldoc

import (
	"fmt"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
)

// firstViolation returns the first schema violation, in line order, as an Error. Unknown keys take precedence over
// other violations, because a mistyped key is also reported as a missing one.
func (s *Schema) firstViolation(file string, data []byte, err error) error {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return &Error{file, 1, err.Error()}
	}
	lines := indexLines(data)
	var violations, unknownKeys []*Error
	for _, violation := range leafErrors(invalid) {
		described := s.describeViolation(file, lines, violation)
		violations = append(violations, described)
		if _, ok := violation.ErrorKind.(*kind.AdditionalProperties); ok {
			unknownKeys = append(unknownKeys, described)
		}
	}
	if len(unknownKeys) > 0 {
		violations = unknownKeys
	}
	sort.SliceStable(violations, func(i, j int) bool { return violations[i].Line < violations[j].Line })
	return violations[0]
}

// leafErrors returns the errors without causes below e, which name the individual violations.
func leafErrors(e *jsonschema.ValidationError) []*jsonschema.ValidationError {
	if len(e.Causes) == 0 {
		return []*jsonschema.ValidationError{e}
	}
	var all []*jsonschema.ValidationError
	for _, cause := range e.Causes {
		all = append(all, leafErrors(cause)...)
	}
	return all
}

func (s *Schema) describeViolation(file string, lines map[string]int, e *jsonschema.ValidationError) *Error {
	path := e.InstanceLocation
	name := displayPath(path)
	var message string
	switch k := e.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		path = append(append([]string{}, path...), k.Properties[0])
		message = fmt.Sprintf("unknown key %s; allowed here: %s", displayPath(path), strings.Join(s.allowedKeys(e.InstanceLocation), ", "))
	case *kind.Required:
		message = fmt.Sprintf("%s lacks %s", nameOrDocument(name), strings.Join(k.Missing, ", "))
	case *kind.Type:
		message = fmt.Sprintf("%s is a %s; allowed: %s", name, k.Got, strings.Join(k.Want, " or "))
	default:
		message = fmt.Sprintf("%s: allowed: %s", name, s.allowedValues(path))
	}
	return &Error{file, lineOf(lines, path), message}
}

// nodeAt returns the schema node that describes the value at path, or nil if the schema has none.
func (s *Schema) nodeAt(path []string) map[string]any {
	node := s.root
	for _, part := range path {
		node = s.resolveRef(node)
		if items, ok := node["items"].(map[string]any); ok {
			node = items
			continue
		}
		properties, _ := node["properties"].(map[string]any)
		next, ok := properties[part].(map[string]any)
		if !ok {
			return nil
		}
		node = next
	}
	return s.resolveRef(node)
}

// allowedKeys returns the sorted names of the keys that the schema permits in the table at path.
func (s *Schema) allowedKeys(path []string) []string {
	properties, _ := s.nodeAt(path)["properties"].(map[string]any)
	names := make([]string, 0, len(properties))
	for name := range properties {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// allowedValues describes the schema's constraints on the value at path.
func (s *Schema) allowedValues(path []string) string {
	node := s.nodeAt(path)
	var parts []string
	for _, rule := range []struct{ key, text string }{
		{"type", "%v"},
		{"const", "%q"},
		{"enum", "one of %v"},
		{"minimum", "at least %v"},
		{"maximum", "at most %v"},
		{"minLength", "at least %v characters"},
		{"minItems", "at least %v items"},
		{"maxItems", "at most %v items"},
		{"pattern", "matching %v"},
		{"format", "in the format %v"},
	} {
		if v, ok := node[rule.key]; ok {
			parts = append(parts, fmt.Sprintf(rule.text, v))
		}
	}
	return strings.Join(parts, ", ")
}

func nameOrDocument(name string) string {
	if name == "" {
		return "the document"
	}
	return name
}

// displayPath formats a path such as teams, 1, name as teams[1].name.
func displayPath(path []string) string {
	var b strings.Builder
	for _, part := range path {
		if part != "" && strings.Trim(part, "0123456789") == "" {
			fmt.Fprintf(&b, "[%s]", part)
			continue
		}
		if b.Len() > 0 {
			b.WriteByte('.')
		}
		b.WriteString(part)
	}
	return b.String()
}

// Line returns the line on which the item at path starts.
func Line(data []byte, path ...string) int { return lineOf(indexLines(data), path) }

// lineOf returns the line of the item at path, or else that of the nearest enclosing item with a known line, or 1.
func lineOf(lines map[string]int, path []string) int {
	for n := len(path); n > 0; n-- {
		if line, ok := lines[strings.Join(path[:n], "/")]; ok {
			return line
		}
	}
	return 1
}

// lineIndexer records the line on which each key and table starts. The paths are joined with slashes, and
// arrayLengths holds the number of elements seen so far of each array of tables.
type lineIndexer struct {
	parser       unstable.Parser
	lines        map[string]int
	arrayLengths map[string]int
}

func indexLines(data []byte) map[string]int {
	x := &lineIndexer{lines: map[string]int{}, arrayLengths: map[string]int{}}
	x.parser.Reset(data)
	var table []string
	for x.parser.NextExpression() {
		e := x.parser.Expression()
		switch e.Kind {
		case unstable.Table:
			table = x.recordHeader(e, false)
		case unstable.ArrayTable:
			table = x.recordHeader(e, true)
		case unstable.KeyValue:
			x.recordKeyValue(table, e)
		}
	}
	return x.lines
}

// recordHeader records a table header and returns the path of the table. The header may refer to the last element
// of an enclosing array of tables.
func (x *lineIndexer) recordHeader(e *unstable.Node, array bool) []string {
	var path []string
	line := 1
	for it := e.Key(); it.Next(); {
		path = append(path, string(it.Node().Data))
		line = x.parser.Shape(it.Node().Raw).Start.Line
		joined := strings.Join(path, "/")
		if n, ok := x.arrayLengths[joined]; ok && !it.IsLast() {
			path = append(path, fmt.Sprint(n-1))
		}
	}
	joined := strings.Join(path, "/")
	if array {
		path = append(path, fmt.Sprint(x.arrayLengths[joined]))
		x.arrayLengths[joined]++
		joined = strings.Join(path, "/")
	}
	x.lines[joined] = line
	return path
}

func (x *lineIndexer) recordKeyValue(table []string, e *unstable.Node) {
	path := append([]string{}, table...)
	for it := e.Key(); it.Next(); {
		path = append(path, string(it.Node().Data))
		joined := strings.Join(path, "/")
		if _, ok := x.lines[joined]; !ok {
			x.lines[joined] = x.parser.Shape(it.Node().Raw).Start.Line
		}
	}
	x.recordValue(path, e.Value())
}

func (x *lineIndexer) recordValue(path []string, v *unstable.Node) {
	switch v.Kind {
	case unstable.InlineTable:
		for it := v.Children(); it.Next(); {
			x.recordKeyValue(path, it.Node())
		}
	case unstable.Array:
		index := 0
		for it := v.Children(); it.Next(); {
			x.recordValue(append(append([]string{}, path...), fmt.Sprint(index)), it.Node())
			index++
		}
	}
}
