package api

import "encoding/json"

// EncodeValue returns the value of a row. The types of rows hold nothing that JSON cannot express, so a value that
// cannot be encoded is a broken invariant.
func EncodeValue(value any) *string {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	text := string(data)
	return &text
}
