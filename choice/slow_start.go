package choice

import (
	"math"
	"math/rand"
)

// slowStart reduces the load of servers that have just started. The capacity of such a server grows linearly over the
// slow start window, from Settings.ColdCapacity to 1.
type slowStart struct {
	settings *Settings
	random   *rand.Rand
}

// weight is the share of its full capacity that a server is sure to have.
func (ss *slowStart) weight(now int64, s *server) float64 {
	if s.startedAt == 0 || now >= s.startedAt+ss.settings.SlowStartWindow {
		return 1
	}
	return ss.weightAt(max(0, now-s.startedAt))
}

// weightAt is the weight of a server that started to warm up age nanoseconds ago.
func (ss *slowStart) weightAt(age int64) float64 {
	minimum := ss.settings.ColdCapacity
	return minimum + (1-minimum)*float64(age)/float64(ss.settings.SlowStartWindow)
}

// warming reports whether a server has less than its full capacity.
func (ss *slowStart) warming(now int64, s *server) bool { return ss.weight(now, s) < 1 }

// initialCredit is the part of a turn that a server is owed when it starts to warm up. It is spread evenly between 0
// and 1 over the limiters that share the server, or random if this limiter has no position. servers is the number of
// all servers, subset that of this limiter's subset.
func (ss *slowStart) initialCredit(ringHash uint64, servers, subset int) float64 {
	if ss.settings.Position < 0 {
		return ss.random.Float64()
	}
	phase := math.Mod(float64(ss.settings.Position)*math.Phi, 1) * float64(servers) / float64(subset)
	return math.Mod(phase+float64(ringHash)/math.MaxUint64, 1)
}
