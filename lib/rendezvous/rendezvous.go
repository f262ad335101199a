// Package rendezvous ranks pairs of names, so that processes which know the same names agree on a choice without a
// message, and one name that comes or goes changes only its own choices.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Hash is the stable hash of a name. It is the same in every process and release.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Rank is the weight of a pair of hashes. It is not symmetric: a is what is placed, b the candidate.
func Rank(a, b uint64) uint64 { return Mix(a ^ Mix(b)) }

// Mix is the finaliser of splitmix64: all bits of x change about half of the result's.
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
