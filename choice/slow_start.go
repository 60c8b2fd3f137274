package choice

import (
	"math"
	"math/rand"
)

// slowStart gives servers that have just started less to do. The capacity of such a server grows evenly over the
// window, from a least share on.
type slowStart struct {
	settings *Settings
	random   *rand.Rand
}

// weight is the share of its capacity that a server is sure to have.
func (ss *slowStart) weight(now int64, s *server) float64 {
	if s.startedAt == 0 || now >= s.startedAt+ss.settings.SlowStartWindow {
		return 1
	}
	return ss.weightAt(max(0, now-s.startedAt))
}

// weightAt is the weight of a server so long after it began to warm up, in nanoseconds.
func (ss *slowStart) weightAt(age int64) float64 {
	minimum := ss.settings.ColdCapacity
	return minimum + (1-minimum)*float64(age)/float64(ss.settings.SlowStartWindow)
}

// warming tells whether a server has less than its full capacity.
func (ss *slowStart) warming(now int64, s *server) bool { return ss.weight(now, s) < 1 }

// initialCredit is what a warming server is owed of its first turn: the limiters that share it stand evenly over it.
// servers is the number of all servers, subset that of this limiter's.
func (ss *slowStart) initialCredit(ringHash uint64, servers, subset int) float64 {
	if ss.settings.Position < 0 {
		return ss.random.Float64()
	}
	phase := math.Mod(float64(ss.settings.Position)*math.Phi, 1) * float64(servers) / float64(subset)
	return math.Mod(phase+float64(ringHash)/math.MaxUint64, 1)
}
