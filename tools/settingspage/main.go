// Command settingspage prints docs/operations/settings.md, which lists every setting of the schemas:
//
//	go run ./tools/settingspage > docs/operations/settings.md
package main

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/schema"
)

const introduction = `# Settings

Generated from the schemas by ` + "`go run ./tools/settingspage > docs/operations/settings.md`" + `; do not edit.

There are two types of TOML file, which the key ` + "`kind`" + ` tells apart. ` + "`egretspar config check FILE`" + ` checks either.
An unknown key is an error.
`

func main() {
	text, err := renderPage()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Print(text)
}

func renderPage() (string, error) {
	var b bytes.Buffer
	b.WriteString(introduction)
	for _, document := range []struct{ title, file string }{
		{"Settings of an instance", "settings.schema.json"},
		{"Configuration", "config.schema.json"},
	} {
		data, err := schema.Files.ReadFile(document.file)
		if err != nil {
			return "", errors.WithStack(err)
		}
		var root schemaNode
		if err := strictDecoder(data).Decode(&root); err != nil {
			return "", errors.Wrap(err, document.file)
		}
		fmt.Fprintf(&b, "\n## %s\n\n%s\n\n", document.title, root.Description)
		if err := writeDocument(&b, &root); err != nil {
			return "", errors.Wrap(err, document.file)
		}
	}
	return b.String(), nil
}

// writeDocument writes the top-level keys of a document, then a section for each of its tables.
func writeDocument(b *bytes.Buffer, root *schemaNode) error {
	writeKeys(b, root, root)
	for _, p := range root.Properties {
		definition, isArray := p.node.tableDefinition(root)
		if definition == nil {
			continue
		}
		heading := "[" + p.name + "]"
		if isArray {
			heading = "[" + heading + "]"
		}
		fmt.Fprintf(b, "\n### `%s`\n\n%s\n\n", heading, tableText(root, p, isArray))
		for _, inner := range definition.Properties {
			if nested, _ := inner.node.tableDefinition(root); nested != nil {
				return errors.Errorf("%s.%s: settingspage cannot print a table inside a table", p.name, inner.name)
			}
		}
		writeKeys(b, definition, root)
	}
	return nil
}

func tableText(root *schemaNode, p property, isArray bool) string {
	text := "Optional."
	switch required := slices.Contains(root.Required, p.name); {
	case required && isArray:
		text = "At least " + string(p.node.MinItems) + "."
	case required:
		text = "Required."
	case isArray:
		text = "Any number."
	}
	return strings.TrimSpace(text + " " + p.node.Description)
}

// writeKeys writes one row for each key of a table, except keys that are tables themselves.
func writeKeys(b *bytes.Buffer, table, root *schemaNode) {
	b.WriteString("| key | type | default | allowed | meaning |\n|---|---|---|---|---|\n")
	for _, p := range table.Properties {
		if definition, _ := p.node.tableDefinition(root); definition != nil {
			continue
		}
		fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s |\n", p.name, typeText(p.node),
			defaultText(table, p), escapeCell(allowedText(p.node)), escapeCell(p.node.Description))
	}
}

func typeText(n *schemaNode) string {
	if n.Items != nil {
		return "array of " + n.Items.Type
	}
	return n.Type
}

func defaultText(table *schemaNode, p property) string {
	switch {
	case slices.Contains(table.Required, p.name):
		return "required"
	case len(p.node.Default) > 0:
		return "`" + string(p.node.Default) + "`"
	}
	return "none"
}

func allowedText(n *schemaNode) string {
	var rules []string
	add := func(format, value string) {
		if value != "" {
			rules = append(rules, fmt.Sprintf(format, value))
		}
	}
	add("`%s`", string(n.Const))
	add("`%s`", strings.Join(n.Enum, "`, `"))
	add("at least %s", string(n.Minimum))
	add("at most %s", string(n.Maximum))
	add("length at least %s", string(n.MinLength))
	add("%s or more items", string(n.MinItems))
	add("at most %s items", string(n.MaxItems))
	add("matching `%s`", n.Pattern)
	add("format %s", n.Format)
	if n.Items != nil {
		add("each of %s", allowedText(n.Items))
	}
	return strings.Join(rules, ", ")
}

// escapeCell escapes the column separator of Markdown tables.
func escapeCell(text string) string { return strings.ReplaceAll(text, "|", `\|`) }
