package length

import "math/bits"

const (
	subBuckets = 8   // buckets in each doubling of length
	numBuckets = 128 // lengths up to 2^18-1 tokens; longer ones share the last bucket
	minOctave  = 4   // bits of the first length that shares a bucket width above 1
)

// MaxLength is the largest length that is distinguished; longer ones share the last bucket.
const MaxLength = 1<<18 - 1

// bucketOf returns the bucket of a length: exact below 16, then eight buckets per doubling.
func bucketOf(n int) int {
	if n < 0 {
		return 0
	}
	if n > MaxLength {
		return numBuckets - 1
	}
	shift := max(bits.Len(uint(n))-minOctave, 0)
	return shift*subBuckets + n>>shift
}

// lowerEdge returns the shortest length of bucket b.
func lowerEdge(b int) int {
	if b < subBuckets {
		return b
	}
	shift := b/subBuckets - 1
	return (subBuckets + b%subBuckets) << shift
}

// edges holds lowerEdge of every bucket, and one past the last.
var edges = func() (e [numBuckets + 1]float32) {
	for b := range e {
		e[b] = float32(lowerEdge(b))
	}
	return e
}()
