package length_test

import (
	"fmt"

	"anvilwick.example/anvilwick/lib/length"
)

// A planner's outputs are either short answers or long narratives. An output that has passed the length of the short ones will be long.
func Example() {
	est := length.New(length.Options{})
	planner := est.Group("council", "planner")
	for range 200 {
		est.Observe(planner, 40)
		est.Observe(planner, 2000)
	}
	curve := est.Curve(planner)
	fmt.Printf("chance of more than 500 tokens, at the start: %.1f\n", curve.Survival(0, 500))
	fmt.Printf("and after 100 tokens: %.2f\n", curve.Survival(100, 400))
	// Output:
	// chance of more than 500 tokens, at the start: 0.5
	// and after 100 tokens: 1.00
}
