// Package slowstart computes how many requests a server that is warming up can take. The lab's emulated servers crash
// when they get more.
package slowstart

import "math"

const (
	// smallBudget is the number of requests below which random clustering is large relative to the budget, so that the
	// larger margin applies.
	smallBudget = 30

	sqrtFactor, fixedMargin           = 2, 2
	smallSqrtFactor, smallFixedMargin = 3, 3
)

// Budget returns the largest number of requests of mean work that a server may get within its configured interval, if
// it can take the expected number in that interval. The margin above expected allows for requests that cluster at
// random; it grows with the square root, like the standard deviation of a random count.
func Budget(expected float64) float64 {
	if expected < smallBudget {
		return expected + smallSqrtFactor*math.Sqrt(expected) + smallFixedMargin
	}
	return expected + sqrtFactor*math.Sqrt(expected) + fixedMargin
}
