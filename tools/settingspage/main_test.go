package main

import (
	"os"
	"testing"
)

// Guards against a schema change after which the page was not generated again.
func TestPageIsCurrent(t *testing.T) {
	want, err := renderPage()
	if err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile("../../docs/operations/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Error("docs/operations/settings.md is out of date; run go run ./tools/settingspage > docs/operations/settings.md")
	}
}

// Guards against a schema keyword that the page omits without an error.
func TestUnknownKeyword(t *testing.T) {
	for _, text := range []string{
		`{"oneOf": []}`,
		`{"properties": {"a": {"multipleOf": 2}}}`,
		`{"$defs": {"A": {"properties": {"a": {"items": {"uniqueItems": true}}}}}}`,
	} {
		if err := strictDecoder([]byte(text)).Decode(&schemaNode{}); err == nil {
			t.Errorf("%s was accepted", text)
		}
	}
}
