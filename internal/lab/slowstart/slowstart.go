// Package slowstart tells how much a cold server bears, for the stand-ins that fall when they get more.
package slowstart

import "math"

const (
	// smallBudget: a budget below this is small enough that more of it comes together by chance.
	smallBudget = 30

	sqrtFactor, fixedMargin           = 2, 2
	smallSqrtFactor, smallFixedMargin = 3, 3
)

// Budget is how many requests of mean work a server may get within the time that its settings name, where it bears so
// many of them then: with the slack for what comes together by chance.
func Budget(expected float64) float64 {
	if expected < smallBudget {
		return expected + smallSqrtFactor*math.Sqrt(expected) + smallFixedMargin
	}
	return expected + sqrtFactor*math.Sqrt(expected) + fixedMargin
}
