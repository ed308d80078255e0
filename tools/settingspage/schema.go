package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// schemaNode is a schema in the subset of JSON Schema that the settings use. Any other keyword is an error, so that the
// page cannot omit a rule.
type schemaNode struct {
	Schema               string                 `json:"$schema"`
	ID                   string                 `json:"$id"`
	Ref                  string                 `json:"$ref"`
	Defs                 map[string]*schemaNode `json:"$defs"`
	Title                string                 `json:"title"`
	Description          string                 `json:"description"`
	Type                 string                 `json:"type"`
	AdditionalProperties bool                   `json:"additionalProperties"`
	Required             []string               `json:"required"`
	Properties           properties             `json:"properties"`
	Items                *schemaNode            `json:"items"`
	Const                json.RawMessage        `json:"const"`
	Enum                 []string               `json:"enum"`
	Default              json.RawMessage        `json:"default"`
	Minimum              json.Number            `json:"minimum"`
	Maximum              json.Number            `json:"maximum"`
	MinLength            json.Number            `json:"minLength"`
	MinItems             json.Number            `json:"minItems"`
	MaxItems             json.Number            `json:"maxItems"`
	Pattern              string                 `json:"pattern"`
	Format               string                 `json:"format"`
}

type property struct {
	name string
	node *schemaNode
}

// properties preserves the order of the schema file, because the page lists settings in that order.
type properties []property

// UnmarshalJSON implements json.Unmarshaler.
func (p *properties) UnmarshalJSON(data []byte) error {
	decoder := strictDecoder(data)
	if _, err := decoder.Token(); err != nil {
		return errors.WithStack(err)
	}
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return errors.WithStack(err)
		}
		item := property{name: fmt.Sprint(name), node: &schemaNode{}}
		if err := decoder.Decode(item.node); err != nil {
			return errors.Wrapf(err, "property %s", item.name)
		}
		*p = append(*p, item)
	}
	return nil
}

func strictDecoder(data []byte) *json.Decoder {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return decoder
}

// tableDefinition returns the definition of a property that is a TOML table or an array of tables, and nil for
// any other property.
func (n *schemaNode) tableDefinition(root *schemaNode) (definition *schemaNode, isArray bool) {
	if n.Items != nil && n.Items.Ref != "" {
		return root.Defs[definitionName(n.Items.Ref)], true
	}
	if n.Ref != "" {
		return root.Defs[definitionName(n.Ref)], false
	}
	return nil, false
}

func definitionName(ref string) string { return strings.TrimPrefix(ref, "#/$defs/") }
