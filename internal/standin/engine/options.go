// Package engine emulates a model engine: continuous batching, prompt prefix cache, priorities, resume,
// cancel on disconnect, weight loads and swaps, crashes and restarts. The text of each token is a function of
// seed, prompt and position, so that tests and experiments can detect lost and duplicated tokens.
package engine

import "time"

const (
	defaultSlots        = 16
	defaultChunkTokens  = 4
	defaultCacheBlocks  = 4096
	defaultLengthMedian = 64
	defaultMaxTokens    = 4096
	defaultMaxWaiting   = 4096
)

// Options configure an Engine. All durations may be 0.
type Options struct {
	// ID is the name of the engine in its responses.
	ID string
	// Model is the model that requests must name; empty accepts any model.
	Model string
	// Slots is the largest number of sequences in a batch; 0 means 16.
	Slots int
	// MaxWaiting limits the queue. Further requests are refused with status 429 and do not run. 0 means 4096.
	MaxWaiting int
	// Seed makes the seeds of requests without a seed and the loss of cache events reproducible.
	Seed uint64

	// TokenTime is the base time of one decoding step; BatchTime is added for each sequence in the batch.
	TokenTime time.Duration
	BatchTime time.Duration
	// PrefillTime is the time to prefill one prompt token that is not in the prefix cache.
	PrefillTime time.Duration
	// ChunkTokens is the number of tokens in a streamed chunk; 0 means 4.
	ChunkTokens int

	// LengthMedian and LengthSigma define the log-normal distribution of sequence lengths in tokens. A sigma of 1
	// gives a mean of 1.6 medians and a 99th percentile of 10 medians. A median of 0 means 64.
	LengthMedian int
	LengthSigma  float64

	// CacheBlocks is the capacity of the prefix cache in blocks of BlockBytes; 0 means 4096.
	CacheBlocks int
	// CacheEventDelay is the delay of cache events; CacheEventLoss is the fraction that is lost.
	CacheEventDelay time.Duration
	CacheEventLoss  float64
	// LoadLag is the maximum age of a load report.
	LoadLag time.Duration

	// Version is the initial weight version.
	Version int
	// Versions records which weight version generated each token. It may be nil, and several engines may share it.
	Versions *VersionLog
	// HideVersion makes the engine omit its weight version from load reports and completions.
	HideVersion bool
	// LoadTime and SwapTime are the durations of the two phases of a weight change. The swap pauses generation.
	LoadTime time.Duration
	SwapTime time.Duration
	// Fencing makes the engine refuse weight orders with a stale term.
	Fencing bool

	// PoisonMarker is a text that crashes the engine when a prompt that contains it runs; empty means none.
	PoisonMarker string
	// RestartAfter is the time from a crash to the automatic restart; 0 means no automatic restart.
	RestartAfter time.Duration
	// RestartVersion is the weight version after an automatic restart; 0 means Version.
	RestartVersion int

	// Secrets are strings that must not reach the engine, such as clients' keys. The recorder counts the
	// requests that contain one.
	Secrets []string
}

// MinStepDuration returns a lower bound of the time in which engines with these options can generate the samples of
// a training step: the time of the longest sample alone in a batch, or that of all tokens in full batches,
// whichever is larger.
func (o Options) MinStepDuration(engines, tokens, longest int) time.Duration {
	longestAlone := time.Duration(longest) * (o.TokenTime + o.BatchTime)
	slots := time.Duration(o.Slots)
	fullBatches := time.Duration(tokens) * (o.TokenTime + slots*o.BatchTime) / (time.Duration(engines) * slots)
	return max(longestAlone, fullBatches)
}

func (o Options) withDefaults() Options {
	o.Slots = orDefault(o.Slots, defaultSlots)
	o.MaxWaiting = orDefault(o.MaxWaiting, defaultMaxWaiting)
	o.ChunkTokens = orDefault(o.ChunkTokens, defaultChunkTokens)
	o.CacheBlocks = orDefault(o.CacheBlocks, defaultCacheBlocks)
	o.LengthMedian = orDefault(o.LengthMedian, defaultLengthMedian)
	o.RestartVersion = orDefault(o.RestartVersion, o.Version)
	return o
}

func orDefault(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}
