package retry

import "github.com/cespare/xxhash/v2"

// Multipliers of the MurmurHash3 finalizer, which spreads each input bit over all bits.
const (
	finalizerMultiplier1 = 0xff51afd7ed558ccd
	finalizerMultiplier2 = 0xc4ceb9fe1a85ec53
)

// RendezvousHash returns the hash of a name for Rendezvous.
func RendezvousHash(name string) uint64 { return xxhash.Sum64String(name) }

// Rendezvous returns the rendezvous hashing score of a name for a fingerprint; nameHash is its RendezvousHash.
// All instances that know the same names agree on the one with the highest score.
func Rendezvous(fingerprint, nameHash uint64) uint64 {
	x := nameHash ^ fingerprint
	x = (x ^ x>>33) * finalizerMultiplier1
	x = (x ^ x>>33) * finalizerMultiplier2
	return x ^ x>>33
}
