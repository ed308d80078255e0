// Package schema embeds the JSON Schema files of all messages and settings.
package schema

import "embed"

// Files contains the schema files under their file names.
//
//go:embed *.schema.json
var Files embed.FS
