package choice

import "math"

const (
	// serverPaceDecay is the number of answers after which an old one has lost most of its weight in a server's pace.
	serverPaceDecay = 40
	// fleetPaceDecay is the same for the pace of all servers together, which changes ten times as slowly.
	fleetPaceDecay = 10 * serverPaceDecay
	// maxPaceRatio bounds the ratio of a server's pace to the mean pace: it is between 1/maxPaceRatio and maxPaceRatio.
	maxPaceRatio = 3
	// minAvailableShare is the share of the subset's weight that must be eligible for a warming server to be chosen
	// with less than a whole turn of credit. It is also the share of the eligible weight from which warming servers are
	// chosen like warm ones.
	minAvailableShare = 0.5
)

// rotation distributes requests over servers by smooth weighted round robin. A server's weight depends on its nominal
// weight, the pace of its answers, its failure ratio and its slow start.
type rotation struct {
	slowStart    *slowStart
	subsetWeight float64     // total weight of the subset at the last tick
	fleetPace    servicePace // of all servers together
}

// weight returns a server's weight in the rotation.
func (r *rotation) weight(now int64, s *server) float64 {
	pace := 1.0
	if s.pace.units > 0 && r.fleetPace.units > 0 {
		pace = (r.fleetPace.seconds / r.fleetPace.units) / (s.pace.seconds / s.pace.units)
		pace = math.Min(maxPaceRatio, max(1.0/maxPaceRatio, pace))
	}
	if s.nominalWeight > 0 {
		pace *= s.nominalWeight
	}
	return pace * r.slowStart.weight(now, s) * (1 - s.health.failureRatio)
}

// observe records how long a server took for a request of the given units.
func (r *rotation) observe(s *server, duration int64, units float64) {
	took := seconds(duration)
	s.pace.seconds = s.pace.seconds*(1-1.0/serverPaceDecay) + took
	s.pace.units = s.pace.units*(1-1.0/serverPaceDecay) + units
	r.fleetPace.seconds = r.fleetPace.seconds*(1-1.0/fleetPaceDecay) + took
	r.fleetPace.units = r.fleetPace.units*(1-1.0/fleetPaceDecay) + units
}

// updateSubsetWeight sums the weights of the ready servers of the subset that are not ejected.
func (r *rotation) updateSubsetWeight(now int64, servers *serverSet) {
	r.subsetWeight = 0
	remaining := servers.subsetSize()
	for _, s := range servers.ring {
		if remaining <= 0 {
			return
		}
		if s.state == EndpointReady && s.health.state != ejected {
			r.subsetWeight += r.weight(now, s)
			remaining--
		}
	}
}

// next returns the server for the next request of the given units, nil if there is none. It skips servers that have
// more than their weighted share of the units in flight.
func (r *rotation) next(now int64, eligible []*server, units float64) *server {
	inFlight := units
	totalWeight := 0.0
	warming := 0.0
	for _, s := range eligible {
		weight := r.weight(now, s)
		inFlight += s.inFlight
		totalWeight += weight
		if r.slowStart.warming(now, s) {
			warming += weight
		}
	}
	var best *server
	contendingWeight := 0.0
	bestScore := 0.0
	for _, s := range eligible {
		weight := r.weight(now, s)
		preference, skip := r.addSlowStartCredit(now, s, weight, totalWeight, warming)
		if skip || s.inFlight/weight > inFlight/totalWeight {
			continue
		}
		contendingWeight += weight
		s.credit.current += weight
		score := preference + s.credit.current
		if best == nil || score > bestScore {
			best = s
			bestScore = score
		}
	}
	if best != nil {
		best.credit.current -= contendingWeight
		best.credit.slowStart--
	}
	return best
}

// addSlowStartCredit adds a warming server's part of a turn to its slow-start credit. It returns the server's
// preference over the others (among enough warm servers +Inf with a whole turn of credit and -Inf with less, otherwise
// 0), or tells to skip the server. totalWeight and warming are the weights of all eligible servers and of those that
// are warming up.
func (r *rotation) addSlowStartCredit(
	now int64, s *server, weight, totalWeight, warming float64,
) (preference float64, skip bool) {
	if !r.slowStart.warming(now, s) {
		return 0, false
	}
	// The weight of the whole subset bounds a warming server to its share of turns even if no other server has capacity
	// or few servers are eligible.
	rotationWeight := max(r.subsetWeight, totalWeight, math.SmallestNonzeroFloat64)
	s.credit.slowStart = math.Min(1, s.credit.slowStart+weight/rotationWeight)
	if s.credit.slowStart < 1 && totalWeight < r.subsetWeight*minAvailableShare {
		return 0, true
	}
	// Among enough warm servers it is chosen as soon as it has a whole turn of credit: turns that are saved up could
	// all be used together. With less credit it is chosen only if no warm server can be.
	if warming < totalWeight*minAvailableShare {
		return math.Copysign(math.Inf(1), s.credit.slowStart-1), false
	}
	return 0, false
}
