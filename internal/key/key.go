// Package key authenticates callers by the keys of the live configuration and strips their credentials from the
// requests that are forwarded to targets. A key is "<id>.<secret>"; the configuration holds only the SHA-256 hash
// of the secret.
package key

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"io"
	"strings"

	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/config"
)

const (
	authScheme = "bearer"
	separator  = '.'
	// idBytes gives 16 hexadecimal characters, which fits the id pattern of the configuration.
	idBytes = 8
	// secretBytes is the size of the random secret. With 256 bits, an unsalted hash of it is safe to publish.
	secretBytes = 32
	// maxCredentialLength limits the work that an unauthenticated caller can cause.
	maxCredentialLength = 512
	maxIDLength         = 32
)

type digest [sha256.Size]byte

// Generated is a new key. Only Bearer contains the secret, which is shown to the operator once.
type Generated struct {
	// Bearer is the "<id>.<secret>" that the caller sends.
	Bearer string
	// Entry is the configuration entry of the key.
	Entry config.Key
}

// Generate returns a new key for team. It reads random bytes from random.
func Generate(random io.Reader, team string) (Generated, error) {
	var raw [idBytes + secretBytes]byte
	if _, err := io.ReadFull(random, raw[:]); err != nil {
		return Generated{}, errors.Wrap(err, "read random bytes for a key")
	}
	id := hex.EncodeToString(raw[:idBytes])
	secret := base64.RawURLEncoding.EncodeToString(raw[idBytes:])
	entry := config.Key{ID: id, Team: team, Hash: Hash(secret)}
	return Generated{Bearer: id + string(separator) + secret, Entry: entry}, nil
}

// Hash returns the hash of a secret in the format of the configuration.
func Hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

func parseDigest(text string) (digest, bool) {
	var d digest
	if len(text) != hex.EncodedLen(len(d)) {
		return d, false
	}
	_, err := hex.Decode(d[:], []byte(text))
	return d, err == nil
}

func (d *digest) matches(secret string) bool {
	sum := sha256.Sum256([]byte(secret))
	return subtle.ConstantTimeCompare(sum[:], d[:]) == 1
}

// parseAuthorization splits the value of an Authorization header into the id and the secret of a key.
func parseAuthorization(header string) (id, secret string, ok bool) {
	if len(header) > maxCredentialLength {
		return "", "", false
	}
	name, credential, found := strings.Cut(header, " ")
	if !found || !strings.EqualFold(name, authScheme) {
		return "", "", false
	}
	id, secret, found = strings.Cut(strings.Trim(credential, " "), string(separator))
	if !found || !isValidID(id) || !isValidSecret(secret) {
		return "", "", false
	}
	return id, secret, true
}

func isValidID(id string) bool {
	if id == "" || len(id) > maxIDLength {
		return false
	}
	for i := range len(id) {
		if !isIDByte(id[i]) {
			return false
		}
	}
	return true
}

func isValidSecret(secret string) bool {
	if secret == "" {
		return false
	}
	for i := range len(secret) {
		if !isSecretByte(secret[i]) {
			return false
		}
	}
	return true
}

func isIDByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
}

// isSecretByte accepts the token68 characters of RFC 9110 without the separator.
func isSecretByte(c byte) bool {
	return isIDByte(c) || c >= 'A' && c <= 'Z' || strings.IndexByte("-_~+/=", c) >= 0
}
