// Package rendezvous implements rendezvous hashing: processes that know the same names agree on a choice without a
// message, and adding or removing a name changes only the choices that involve it.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Hash returns a hash of a name that is the same in every process and release.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Rank returns the weight of a pair of hashes. It is not symmetric: a is the item to be placed, b the candidate.
func Rank(a, b uint64) uint64 { return Mix(a ^ Mix(b)) }

// Mix is the finaliser of splitmix64: changing any bit of x flips about half of the result's bits.
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
