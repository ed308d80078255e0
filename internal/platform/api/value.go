package api

import "encoding/json"

// EncodeValue returns the JSON encoding of a row's value. It panics if the value cannot be encoded, because all row
// types can be expressed in JSON.
func EncodeValue(value any) *string {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	text := string(data)
	return &text
}

// Deletion returns the write that deletes a row of a revision.
func Deletion(key string, revision int) Write {
	remove := true
	return Write{Key: key, Expected: revision, Delete: &remove}
}
