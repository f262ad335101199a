// Package ids defines the identifiers that cross process boundaries.
package ids

import (
	"encoding/hex"
	"errors"
	"math/rand/v2"
)

// Size is the length of a Generation in bytes.
const Size = 16

// ErrBadGeneration is returned by Parse for anything but 32 hexadecimal digits.
var ErrBadGeneration = errors.New("generation id must be 32 hexadecimal digits")

// Generation identifies one logical answer for its lifetime, across attempts, targets and entries.
type Generation [Size]byte

// New returns a random Generation from the process-wide generator. It only has to be unique; it is not a secret.
func New() Generation {
	return From(rand.Uint64(), rand.Uint64())
}

// From builds a Generation from two 64-bit words, for seeded tests.
func From(hi, lo uint64) Generation {
	var g Generation
	for i := range 8 {
		g[i] = byte(hi >> (56 - 8*i))
		g[8+i] = byte(lo >> (56 - 8*i))
	}
	return g
}

// Parse decodes the form that String returns.
func Parse(s string) (Generation, error) {
	var g Generation
	if len(s) != hex.EncodedLen(Size) {
		return g, ErrBadGeneration
	}
	if _, err := hex.Decode(g[:], []byte(s)); err != nil {
		return Generation{}, ErrBadGeneration
	}
	return g, nil
}

// FromBytes copies b, which must hold exactly Size bytes.
func FromBytes(b []byte) (Generation, error) {
	var g Generation
	if len(b) != Size {
		return g, ErrBadGeneration
	}
	copy(g[:], b)
	return g, nil
}

// String returns the identifier as 32 lower-case hexadecimal digits.
func (g Generation) String() string { return hex.EncodeToString(g[:]) }

// IsZero reports whether g was never set.
func (g Generation) IsZero() bool { return g == Generation{} }
