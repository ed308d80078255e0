package weights

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/egretspar/egretspar/internal/live"
)

// Assign distributes the engines of one service among its models. No model gets more than an equal share, rounded
// up. The result depends only on the IDs of the engines and the names of the models, and adding or removing one engine
// reassigns few others.
func Assign(engines []live.Target, models []string) map[string]string {
	assigned := make(map[string]string, len(engines))
	if len(models) == 0 {
		return assigned
	}
	sorted := slices.Clone(engines)
	slices.SortFunc(sorted, func(a, b live.Target) int { return cmp.Compare(a.ID, b.ID) })
	maxPerModel := (len(sorted) + len(models) - 1) / len(models)
	counts := map[string]int{}
	for _, e := range sorted {
		model := preferredModel(e.ID, models, counts, maxPerModel)
		counts[model]++
		assigned[e.ID] = model
	}
	return assigned
}

// preferredModel returns the model with the highest rendezvous hash among those with fewer than maxPerModel engines.
func preferredModel(id string, models []string, counts map[string]int, maxPerModel int) string {
	best, highestHash := "", uint64(0)
	for _, m := range models {
		if counts[m] >= maxPerModel {
			continue
		}
		if hash := xxhash.Sum64String(id + "/" + m); best == "" || hash > highestHash {
			best, highestHash = m, hash
		}
	}
	return best
}
