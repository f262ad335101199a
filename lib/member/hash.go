package member

import "github.com/cespare/xxhash/v2"

// nameHash places a name on the ring.
func nameHash(s string) uint64 { return xxhash.Sum64String(s) }

// mix is the finaliser of splitmix64: all bits of x change about half of the result's.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
