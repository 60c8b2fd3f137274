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
func (w *slowStart) weight(now int64, s *server) float64 {
	if s.startedAt == 0 || now >= s.startedAt+w.settings.SlowStartWindow {
		return 1
	}
	return w.weightAt(max(0, now-s.startedAt))
}

// weightAt is the weight of a server so long after it began to warm up, in nanoseconds.
func (w *slowStart) weightAt(age int64) float64 {
	least := w.settings.ColdCapacity
	return least + (1-least)*float64(age)/float64(w.settings.SlowStartWindow)
}

// warming tells whether a server has less than its full capacity.
func (w *slowStart) warming(now int64, s *server) bool { return w.weight(now, s) < 1 }

// firstTurns is what a warming server is owed of its first turn: the limiters that share it stand evenly over it.
// servers is the number of all servers, subset that of this limiter's.
func (w *slowStart) firstTurns(ringHash uint64, servers, subset int) float64 {
	if w.settings.Position < 0 {
		return w.random.Float64()
	}
	place := math.Mod(float64(w.settings.Position)*math.Phi, 1) * float64(servers) / float64(subset)
	return math.Mod(place+float64(ringHash)/math.MaxUint64, 1)
}
