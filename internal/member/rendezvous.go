package member

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the live instance that owns key. It reports false when no instance is live.
func (s Snapshot) Owner(key string) (Instance, bool) {
	best := -1
	var bestWeight uint64
	for i := range s.Known {
		k := &s.Known[i]
		if k.Leaving || !s.InContact[k.ID] {
			continue
		}
		// Known is ordered by ID, so the smaller ID wins between equal weights, as in Successors.
		if w := rendezvousWeight(key, k.ID); best < 0 || w > bestWeight {
			best = i
			bestWeight = w
		}
	}
	if best < 0 {
		return Instance{}, false
	}
	return s.Known[best], true
}

// Successors returns the live instances in the order in which they own key: the owner first, then the instance that
// takes over if the owner is no longer live, and so on.
func (s Snapshot) Successors(key string) []Instance {
	live := s.Live()
	slices.SortFunc(live, compareByWeight(key))
	return live
}

// compareByWeight returns a comparison function that orders instances by their weight for key, highest first.
func compareByWeight(key string) func(a, b Instance) int {
	return func(a, b Instance) int {
		wa := rendezvousWeight(key, a.ID)
		wb := rendezvousWeight(key, b.ID)
		if wa != wb {
			if wa > wb {
				return -1
			}
			return 1
		}
		return strings.Compare(a.ID, b.ID)
	}
}

// rendezvousWeight returns the weight of an instance for key; the instance with the highest weight owns key. The start
// number is not hashed, so a restarted instance owns the same keys again.
func rendezvousWeight(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(id)
	return d.Sum64()
}
