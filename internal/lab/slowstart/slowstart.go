// Package slowstart tells how much a cold server bears, for the stand-ins that fall when they get more.
package slowstart

import "math"

const (
	// fewCalls: a budget below this is small enough that more of it comes together by chance.
	fewCalls = 30

	slackRoot, slackFixed       = 2, 2
	fewSlackRoot, fewSlackFixed = 3, 3
)

// Budget is how many requests of mean work a server may get within the time that its settings name, where it bears so
// many of them then: with the slack for what comes together by chance.
func Budget(borne float64) float64 {
	if borne < fewCalls {
		return borne + fewSlackRoot*math.Sqrt(borne) + fewSlackFixed
	}
	return borne + slackRoot*math.Sqrt(borne) + slackFixed
}
