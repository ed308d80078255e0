// Package engine defines the messages that instances exchange with model engines, and the input and output of one
// generation.
package engine

import "github.com/cespare/xxhash/v2"

// DoneMarker is the data of the server-sent event that ends a stream. A stream that ends without it is truncated.
const DoneMarker = "[DONE]"

// Generation describes one sequence to generate.
type Generation struct {
	Team        string
	Service     string
	Prompt      string
	MaxTokens   int
	Temperature float64
	Seed        int64
	// ResumeText is the text that was already generated, after which the generation continues, and ResumeTokens its
	// number of tokens.
	ResumeText   string
	ResumeTokens int
	// MinVersion is the oldest weight version that may serve the request; 0 means any.
	MinVersion int
	// Exclude lists targets that must not be used.
	Exclude []string
	// Prefix holds the prompt's hashes from PrefixHashes. Fingerprint identifies the prompt across instances.
	Prefix      []uint64
	Fingerprint uint64
}

// Chunk is a sequence of tokens that one weight version of one target generated.
type Chunk struct {
	Text   string
	Tokens int
	// Version is the weight version that the engine reported; 0 means that it reported none.
	Version int
	Target  string
}

const (
	// PrefixBlockBytes is the size of one block of a prompt for prefix hashes and cache events.
	PrefixBlockBytes = 256
	// maxPrefixBlocks limits the work for one prompt; hashes of longer prefixes hardly change the choice of a target.
	maxPrefixBlocks = 160
)

// PrefixHashes returns the hashes that cache events use for the leading blocks of a prompt, up to maxPrefixBlocks.
// Each hash covers the prompt from its start to the end of one block; the shortest prefix comes first. A prompt that is
// shorter than a block has one hash of the whole prompt, because a request without hashes is routed as if it had no
// prompt.
func PrefixHashes(prompt string) []uint64 {
	if len(prompt) < PrefixBlockBytes {
		return []uint64{xxhash.Sum64String(prompt) >> 1}
	}
	return BlockHashes(prompt[:min(len(prompt), maxPrefixBlocks*PrefixBlockBytes)])
}

// BlockHashes returns the prefix hashes of all whole blocks of a prompt, however many there are.
func BlockHashes(prompt string) []uint64 {
	blocks := len(prompt) / PrefixBlockBytes
	hashes := make([]uint64, 0, blocks)
	digest := xxhash.New()
	for n := range blocks {
		_, _ = digest.WriteString(prompt[n*PrefixBlockBytes : (n+1)*PrefixBlockBytes])
		// Cache events carry hashes as non-negative JSON integers, hence 63 bits.
		hashes = append(hashes, digest.Sum64()>>1)
	}
	return hashes
}

// These estimate the cost of a request: English text has about 4 bytes per token, and generating a token takes as long
// as prefilling several.
const (
	BytesPerToken      = 4
	generatedTokenCost = 4
)

// Cost returns the cost of a generation, in units of the cost of one prompt token.
func Cost(promptTokens, generatedTokens int) int64 {
	return int64(promptTokens) + generatedTokenCost*int64(generatedTokens)
}
