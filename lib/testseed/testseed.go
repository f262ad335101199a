// Package testseed fixes the seed of randomised tests, so that CI gives the same verdict on every run.
//
// Tests that use rapid import it for its effect. Another seed is given by the flag -rapid.seed; what fails under it
// becomes a test of its own.
package testseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flags that are set here
)

// seed is not zero, since rapid draws a random seed for zero.
const seed = "20261202"

func init() {
	set("rapid.seed", seed)
	set("rapid.nofailfile", "true")
}

// set panics for a flag that rapid no longer has: the tests would run unseeded without a word.
func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic("testseed: " + err.Error())
	}
}
