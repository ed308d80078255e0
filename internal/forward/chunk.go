package forward

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/engine"
)

// chunkDecoder decodes the chunks of one response. It reuses the chunk and the values of its optional fields,
// because a node decodes thousands of chunks a second.
type chunkDecoder struct {
	id           string
	chunk        engine.CompletionChunk
	choices      [1]engine.Choice
	finishReason engine.FinishReason
	tokens       int
	version      int
}

// absentTokens is the value of the tokens field that marks a chunk without that field.
const absentTokens = -1 << 31

// decode returns the chunk, which is valid until the next call. It rejects chunks of another response and values
// that would corrupt the token count.
func (d *chunkDecoder) decode(data []byte) (*engine.CompletionChunk, error) {
	d.finishReason, d.tokens, d.version = engine.FinishReasonBlank, absentTokens, 0
	d.choices[0] = engine.Choice{FinishReason: &d.finishReason}
	d.chunk = engine.CompletionChunk{Choices: d.choices[:0], Tokens: &d.tokens, WeightVersion: &d.version}
	if err := json.Unmarshal(data, &d.chunk); err != nil {
		return nil, errors.Wrap(errProtocol, "chunk is not valid JSON")
	}
	return &d.chunk, d.validate()
}

func (d *chunkDecoder) validate() error {
	chunk := &d.chunk
	if chunk.Error != nil {
		return errors.Wrap(errProtocol, "engine reported an error in its stream")
	}
	if d.id != "" && chunk.ID != d.id {
		return errors.Wrap(errProtocol, "chunk belongs to another response")
	}
	if len(chunk.Choices) > 1 || (len(chunk.Choices) == 1 && chunk.Choices[0].Index != 0) {
		return errors.Wrap(errProtocol, "engine sent several choices")
	}
	if chunk.Tokens != nil && *chunk.Tokens < 0 && *chunk.Tokens != absentTokens {
		return errors.Wrap(errProtocol, "negative number of tokens")
	}
	d.id = chunk.ID
	return nil
}

// tokenCount returns the number of tokens in a chunk. Engines that do not send the tokens field send one token per
// chunk.
func tokenCount(chunk *engine.CompletionChunk) int {
	if chunk.Tokens != nil && *chunk.Tokens != absentTokens {
		return *chunk.Tokens
	}
	if chunk.Choices[0].Text == "" {
		return 0
	}
	return 1
}
