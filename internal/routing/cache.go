package routing

const (
	waysPerBucket   = 4
	holdersPerBlock = 4
	// defaultCacheBuckets gives an index of 64 Ki blocks, which takes 4 MB.
	defaultCacheBuckets = 1 << 14
	// The first denselyIndexedBlocks blocks of a prompt are all indexed, then every sparseIndexStep-th one
	// up to maxIndexedBlocks. The positions do not depend on the prompt's length, so prompts that share a
	// prefix share entries.
	denselyIndexedBlocks = 16
	sparseIndexStep      = 8
	maxIndexedBlocks     = 160
	// maxEventLagMs is the assumed maximum delay of a cache event. An eviction event that arrives within this
	// time after an entry was confirmed may describe an earlier state of the cache and is ignored.
	maxEventLagMs = 1000
	// holderTTLMs is the time after which an entry expires if it is not confirmed again.
	holderTTLMs = 10 * 60 * 1000
)

// blockHolder is a target that probably holds a block. The zero value refers to no target.
type blockHolder struct {
	memberIndex int32
	generation  uint32
	// confirmedAtMs is the time of the last confirmation, by a request or a cache event, in ms since Router.epoch.
	confirmedAtMs uint32
}

// cacheBucket holds the blocks whose hashes select the bucket. A way with usedAtMs 0 is empty.
type cacheBucket struct {
	blocks   [waysPerBucket]uint64
	usedAtMs [waysPerBucket]uint32
	holders  [waysPerBucket][holdersPerBlock]blockHolder
}

// cacheIndex records which targets probably hold which prompt prefix blocks. It is a set-associative table
// of fixed size, so that its memory does not depend on the traffic and lookups do not allocate.
type cacheIndex struct {
	buckets []cacheBucket
	mask    uint64
}

func newCacheIndex(buckets int) cacheIndex {
	return cacheIndex{buckets: make([]cacheBucket, buckets), mask: uint64(buckets - 1)}
}

// hashMultiplier is 2^64 divided by the golden ratio (Fibonacci hashing); the high bits of the product
// select the bucket.
const hashMultiplier = 0x9e3779b97f4a7c15

func hashBlock(block uint64) uint64 {
	block *= hashMultiplier
	return block ^ block>>29
}

func (c *cacheIndex) bucket(block uint64) *cacheBucket {
	return &c.buckets[hashBlock(block)>>16&c.mask]
}

// find returns the holders of a block, or nil if the block is not indexed.
func (c *cacheIndex) find(block uint64) *[holdersPerBlock]blockHolder {
	b := c.bucket(block)
	for way := range b.blocks {
		if b.blocks[way] == block && b.usedAtMs[way] != 0 {
			return &b.holders[way]
		}
	}
	return nil
}

// add records that a target holds a block. If there is no room, it replaces the least recently used block
// of the bucket or the least recently confirmed holder of the block.
func (c *cacheIndex) add(block uint64, h blockHolder) {
	b := c.bucket(block)
	way := 0
	for i := range b.blocks {
		if b.blocks[i] == block && b.usedAtMs[i] != 0 {
			way = i
			break
		}
		if b.usedAtMs[i] < b.usedAtMs[way] {
			way = i
		}
	}
	if b.blocks[way] != block {
		b.blocks[way] = block
		b.holders[way] = [holdersPerBlock]blockHolder{}
	}
	b.usedAtMs[way] = h.confirmedAtMs
	holders := &b.holders[way]
	position := 0
	for i := range holders {
		if holders[i].memberIndex == h.memberIndex {
			position = i
			break
		}
		if holders[i].confirmedAtMs < holders[position].confirmedAtMs {
			position = i
		}
	}
	holders[position] = h
}

// remove handles an eviction event: it removes a holder of a block, unless the holder was confirmed so
// recently that the eviction may have happened before.
func (c *cacheIndex) remove(block uint64, memberIndex int32, nowMs uint32) {
	holders := c.find(block)
	if holders == nil {
		return
	}
	for i := range holders {
		if holders[i].memberIndex == memberIndex && nowMs-holders[i].confirmedAtMs > maxEventLagMs {
			holders[i] = blockHolder{}
		}
	}
}

// isIndexed reports whether blocks at this position of a prompt are indexed.
func isIndexed(position int) bool {
	return position < denselyIndexedBlocks || position < maxIndexedBlocks && position%sparseIndexStep == sparseIndexStep-1
}
