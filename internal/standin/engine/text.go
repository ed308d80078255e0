package engine

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Stream is the token sequence of a seed and a prompt. It does not depend on the weight version or the engine,
// so that a resumed sequence can be compared with an uninterrupted one.
type Stream struct{ hash uint64 }

// NewStream returns the token sequence of a seed and a prompt.
func NewStream(seed int64, prompt string) Stream {
	var encoded [8]byte
	binary.LittleEndian.PutUint64(encoded[:], uint64(seed))
	hasher := xxhash.New()
	_, _ = hasher.Write(encoded[:])
	_, _ = hasher.WriteString(prompt)
	return Stream{hash: hasher.Sum64()}
}

// Token returns the text of the token at a position, counted from 0. The text starts with a space and contains
// the position, so that a gap or a repetition can be detected without the seed.
func (s Stream) Token(position int) string {
	var encoded [16]byte
	binary.LittleEndian.PutUint64(encoded[:8], s.hash)
	binary.LittleEndian.PutUint64(encoded[8:], uint64(position))
	hash := xxhash.Sum64(encoded[:]) & 0xffff
	return " " + strconv.Itoa(position) + "." + strconv.FormatUint(hash, 16)
}

// Text returns the tokens from one position up to, but not including, another.
func (s Stream) Text(from, to int) string {
	var text strings.Builder
	for position := from; position < to; position++ {
		text.WriteString(s.Token(position))
	}
	return text.String()
}

// Length returns the length of the sequence in tokens. It is drawn from a log-normal distribution, but is always
// the same for one seed and prompt.
func (s Stream) Length(median int, sigma float64) int {
	random := rand.New(rand.NewPCG(s.hash, 3))
	length := float64(median) * math.Exp(sigma*random.NormFloat64())
	return max(1, int(math.Round(length)))
}

// CountContiguousTokens returns the number of leading tokens with the positions 0, 1, 2 and so on, and whether the
// whole text consists of them, without a gap or repetition. It needs neither the seed nor the prompt.
func CountContiguousTokens(text string) (tokens int, whole bool) {
	for field := range strings.FieldsSeq(text) {
		position, _, found := strings.Cut(field, ".")
		if !found || position != strconv.Itoa(tokens) {
			return tokens, false
		}
		tokens++
	}
	return tokens, true
}
