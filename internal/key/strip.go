package key

import (
	"net/http"
	"net/url"
	"strings"
)

// credentialHeaders are always removed, whatever their value. Names are compared in lower case and with "_" replaced
// by "-", because some servers treat both spellings alike.
var credentialHeaders = map[string]bool{
	"authorization":       true,
	"proxy-authorization": true,
	"cookie":              true,
	"cookie2":             true,
	"x-api-key":           true,
	"api-key":             true,
	"apikey":              true,
	"x-auth-token":        true,
	"x-access-token":      true,
}

// credentialParameters are always removed, whatever their value. A parameter with an ambiguous name such as "key" is
// removed only if its value contains a configured key.
var credentialParameters = map[string]bool{
	"access-token":  true,
	"api-key":       true,
	"apikey":        true,
	"x-api-key":     true,
	"authorization": true,
}

// canonicalName returns the spelling in which names are compared.
func canonicalName(name string) string {
	return strings.ReplaceAll(strings.ToLower(name), "_", "-")
}

// StripHeader removes every credential from headers or trailers that are forwarded to a target: the common credential
// fields, and any field whose value contains a configured key. It also removes the names of credential fields from the
// Trailer field.
func (r *Keyring) StripHeader(header http.Header) {
	for name, values := range header {
		if credentialHeaders[canonicalName(name)] || r.anyContainsKey(values) {
			delete(header, name)
		}
	}
	r.stripTrailerNames(header)
}

// stripTrailerNames removes the names of credential fields from the Trailer field.
func (r *Keyring) stripTrailerNames(header http.Header) {
	const trailerHeader = "Trailer"
	values, ok := header[trailerHeader]
	if !ok {
		return
	}
	var kept []string
	for _, value := range values {
		for name := range strings.SplitSeq(value, ",") {
			name = strings.TrimSpace(name)
			if name != "" && !credentialHeaders[canonicalName(name)] {
				kept = append(kept, name)
			}
		}
	}
	if len(kept) == 0 {
		delete(header, trailerHeader)
		return
	}
	header[trailerHeader] = []string{strings.Join(kept, ", ")}
}

// StripQuery returns the raw query without credential parameters. Other parameters keep their order and
// spelling. A parameter that cannot be decoded is removed, because it cannot be checked.
func (r *Keyring) StripQuery(raw string) string {
	if raw == "" {
		return ""
	}
	var kept strings.Builder
	for part := range strings.FieldsFuncSeq(raw, isQuerySeparator) {
		if r.isCredentialParameter(part) {
			continue
		}
		if kept.Len() > 0 {
			kept.WriteByte('&')
		}
		kept.WriteString(part)
	}
	return kept.String()
}

// isQuerySeparator includes ";", because some servers still split queries at it.
func isQuerySeparator(c rune) bool { return c == '&' || c == ';' }

func (r *Keyring) isCredentialParameter(part string) bool {
	rawName, rawValue, _ := strings.Cut(part, "=")
	name, err := url.QueryUnescape(rawName)
	if err != nil {
		return true
	}
	value, err := url.QueryUnescape(rawValue)
	if err != nil {
		return true
	}
	return credentialParameters[canonicalName(name)] || r.ContainsKey(value) || r.ContainsKey(name)
}

func (r *Keyring) anyContainsKey(values []string) bool {
	for _, value := range values {
		if r.ContainsKey(value) {
			return true
		}
	}
	return false
}

// ContainsKey reports whether text contains a configured key anywhere, for example in a path or in the query of a
// Referer field.
func (r *Keyring) ContainsKey(text string) bool {
	for from := 0; ; {
		at := strings.IndexByte(text[from:], separator)
		if at < 0 {
			return false
		}
		at += from
		from = at + 1
		if r.hasKeyAt(text, at) {
			return true
		}
	}
}

// hasKeyAt reports whether a configured key has its separator at the index at. Other id characters may come directly
// before the id, for example in "bearer%20id.secret" with its escaped space, so every possible start of the id is
// checked.
func (r *Keyring) hasKeyAt(text string, at int) bool {
	end := at + 1
	for end < len(text) && end-at <= maxCredentialLength && isSecretByte(text[end]) {
		end++
	}
	if end == at+1 {
		return false
	}
	for start := at - 1; start >= 0 && at-start <= maxIDLength && isIDByte(text[start]); start-- {
		if entry, ok := r.keys[text[start:at]]; ok && entry.hash.matches(text[at+1:end]) {
			return true
		}
	}
	return false
}
