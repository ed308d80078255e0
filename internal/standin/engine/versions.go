package engine

import (
	"strings"
	"sync"
)

// identifyingTokens is the number of leading tokens that identify a sequence. Each token contains 16 bits of
// a hash of its sequence and position, so 4 of them tell sequences apart.
const identifyingTokens = 4

// VersionLog records which weight version generated each token. Several engines can share a log. Tests and
// experiments compare the version labels of samples with it.
type VersionLog struct {
	mu            sync.Mutex
	spansByPrefix map[string][]versionSpan
}

// versionSpan is the range [from, to) of token positions that one weight version generated.
type versionSpan struct{ from, to, version int }

// NewVersionLog returns an empty log.
func NewVersionLog() *VersionLog { return &VersionLog{spansByPrefix: map[string][]versionSpan{}} }

func (l *VersionLog) record(s Stream, from, to, version int) {
	key := s.Text(0, identifyingTokens)
	l.mu.Lock()
	defer l.mu.Unlock()
	spans := l.spansByPrefix[key]
	if last := len(spans) - 1; last >= 0 && spans[last].to == from && spans[last].version == version {
		spans[last].to = to
		return
	}
	l.spansByPrefix[key] = append(spans, versionSpan{from, to, version})
}

// GeneratedBy reports whether the version generated every token of the text at the positions [from, to). A text of
// fewer than 4 tokens cannot be identified; GeneratedBy returns true for it.
func (l *VersionLog) GeneratedBy(text string, from, to, version int) bool {
	fields := strings.Fields(text)
	if len(fields) < identifyingTokens {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	// The text of a sequence starts with a space.
	spans := l.spansByPrefix[" "+strings.Join(fields[:identifyingTokens], " ")]
	for position := from; position < to; {
		next := position
		for _, span := range spans {
			if span.version == version && span.from <= position && position < span.to {
				next = max(next, span.to)
			}
		}
		if next == position {
			return false
		}
		position = next
	}
	return true
}
