package choice

import "math"

const (
	// serverPaceDecay is after how many answers an old one has lost most of its weight in a server's pace.
	serverPaceDecay = 40
	// fleetPaceDecay is the same for the pace of all servers: it changes ten times as slowly.
	fleetPaceDecay = 10 * serverPaceDecay
	// maxPaceRatio bounds how many times a server's pace may count the mean, or how small a part of it.
	maxPaceRatio = 3
	// minAvailableShare: with a smaller part of the subset to choose from, a warming server must be owed a turn.
	minAvailableShare = 0.5
)

// rotation deals requests out to servers by smooth weighted round robin. The weights follow the servers' nominal
// weight, the pace that their answers have shown, their failures and their slow start.
type rotation struct {
	slowStart    *slowStart
	subsetWeight float64     // the weight of all servers in the subset, as of the last tick
	fleetPace    servicePace // of all servers together
}

// weight is a server's weight.
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

// observe takes in how long a server took for some units.
func (r *rotation) observe(s *server, duration int64, units float64) {
	took := seconds(duration)
	s.pace.seconds = s.pace.seconds*(1-1.0/serverPaceDecay) + took
	s.pace.units = s.pace.units*(1-1.0/serverPaceDecay) + units
	r.fleetPace.seconds = r.fleetPace.seconds*(1-1.0/fleetPaceDecay) + took
	r.fleetPace.units = r.fleetPace.units*(1-1.0/fleetPaceDecay) + units
}

// updateSubsetWeight sums the weight of the servers of the subset that are not ejected.
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

// next is the server that gets the next request of some units, nil for none. Servers that hold more than their share
// of what is in flight are passed over.
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

// addSlowStartCredit credits a warming server with its part of a turn. It gives a preference over the other servers, which
// is infinite for a server that is owed a whole turn, or tells to skip the server. total and warming are the weights
// of all eligible servers and of those that warm up.
func (r *rotation) addSlowStartCredit(
	now int64, s *server, weight, totalWeight, warming float64,
) (preference float64, skip bool) {
	if !r.slowStart.warming(now, s) {
		return 0, false
	}
	// Where no other has capacity, or in a small group, a warming server gets no more than its turns either.
	rotationWeight := max(r.subsetWeight, totalWeight, math.SmallestNonzeroFloat64)
	s.credit.slowStart = math.Min(1, s.credit.slowStart+weight/rotationWeight)
	if s.credit.slowStart < 1 && totalWeight < r.subsetWeight*minAvailableShare {
		return 0, true
	}
	// Beside enough warm servers it gets its turns at once: turns that are kept could all come together. Before that
	// it is chosen only where no warm server can be.
	if warming < totalWeight*minAvailableShare {
		return math.Copysign(math.Inf(1), s.credit.slowStart-1), false
	}
	return 0, false
}
