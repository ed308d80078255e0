// Package engine emulates a model engine: continuous batching, prompt prefix cache, priorities, resume,
// cancel on disconnect, weight loads and swaps, crashes and restarts. The text of each token follows
// from seed, prompt and position, so that a judge can find lost and doubled tokens.
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

// Options configure an Engine. All times may be 0.
type Options struct {
	// ID names the engine in its answers.
	ID string
	// Model is the model that requests have to name; empty accepts every model.
	Model string
	// Slots is the largest batch; 0 means 16.
	Slots int
	// MaxWaiting bounds the queue; more requests are refused with 429 before they run. 0 means 4096.
	MaxWaiting int
	// Seed makes seeds of unseeded requests and lost cache events repeatable.
	Seed uint64

	// TokenTime is the time of one decoding step; BatchTime is added for each sequence in the batch.
	TokenTime time.Duration
	BatchTime time.Duration
	// PrefillTime is the time of one prompt token that is not in the prefix cache.
	PrefillTime time.Duration
	// ChunkTokens is the number of tokens in a streamed chunk; 0 means 4.
	ChunkTokens int

	// LengthMedian and LengthSigma state the log-normal distribution of lengths; a sigma of 1 gives a
	// mean of 1.6 medians and a 99th percentile of 10 medians. A median of 0 means 64.
	LengthMedian int
	LengthSigma  float64

	// CacheBlocks is the capacity of the prefix cache in blocks of BlockBytes; 0 means 4096.
	CacheBlocks int
	// CacheEventDelay and CacheEventLoss are the lag of cache events and the share that is never sent.
	CacheEventDelay time.Duration
	CacheEventLoss  float64
	// LoadLag is the largest age of a load report.
	LoadLag time.Duration

	// Version is the weight version at the start.
	Version int
	// Versions records which version produced each token; it may be nil and may be shared by engines.
	Versions *VersionLog
	// HideVersion makes the engine report no version.
	HideVersion bool
	// LoadTime and SwapTime are the times of the phases of a weight change; generation stands still
	// during the swap.
	LoadTime time.Duration
	SwapTime time.Duration
	// Fencing makes the engine refuse weight orders with an old term.
	Fencing bool

	// PoisonMarker is text in a prompt that crashes the engine when it runs; empty means none.
	PoisonMarker string
	// RestartAfter is the time from a crash to the restart; 0 means no restart by itself.
	RestartAfter time.Duration
	// RestartVersion is the weight version after a restart; 0 means Version.
	RestartVersion int

	// Secrets are texts that must not reach the engine, such as callers' keys.
	Secrets []string
}

// ShortestStep is the shortest time in which engines with these options could produce samples: the longest one
// alone, or all tokens at full batches.
func (o Options) ShortestStep(engines, tokens, longest int) time.Duration {
	alone := time.Duration(longest) * (o.TokenTime + o.BatchTime)
	batch := time.Duration(o.Slots)
	batched := time.Duration(tokens) * (o.TokenTime + batch*o.BatchTime) / (time.Duration(engines) * batch)
	return max(alone, batched)
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
