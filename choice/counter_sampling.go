package choice

import (
	"math"
	"math/rand"
)

const (
	// samplingDecrease is the factor on the sampling rate for each call to the counter that fails.
	samplingDecrease = 0.75
	// minSamplingRate is the minimum share of requests for which the counter is called.
	minSamplingRate = 1.0 / 16
	// samplingIncrease is what each answer adds to the sampling rate, times the number of answers since the last
	// failure.
	samplingIncrease = 1.0 / 256
	// penaltyDecay is the number of requests after which an old one has lost most of its weight in the mean over-quota
	// penalty.
	penaltyDecay = 40
)

// counterSampling decides for which requests the counter is called. A counter that is down or overloaded is called for
// fewer requests, so that they do not wait in vain and the counter can work off its queue. The rate rises again in
// steps, so that the counter's recovery does not cause a burst of calls.
type counterSampling struct {
	random        *rand.Rand
	rate          float64 // share of requests for which the counter is called
	answers       float64 // calls answered since the last failure
	sustainedRate float64 // rate at the first of the latest consecutive failures; answers restore it quickly
	meanPenalty   float64 // decaying mean of the penalty for a request past the quota, over the plans of requests
}

func newCounterSampling(random *rand.Rand) counterSampling {
	return counterSampling{random: random, rate: 1}
}

// reduced reports whether the counter is called for only some requests.
func (s *counterSampling) reduced() bool { return s.rate < 1 }

// everAnswered reports whether the counter has answered since this process started.
func (s *counterSampling) everAnswered() bool { return s.answers+s.sustainedRate != 0 }

// includes reports whether the counter is called for a request of the customer while the rate is reduced. It always is
// for some customers, the same at all limiters, because the count of only a part of the use says little; the more a
// request past the quota costs, the more customers these are. A few requests of the other customers probe whether the
// counter has recovered.
func (s *counterSampling) includes(acct *account) bool {
	penalty := max(0, acct.plan.OverQuotaPenalty-acct.plan.OverQuotaRevenue) * acct.plan.PriorityWeight
	s.meanPenalty += (penalty - s.meanPenalty) / penaltyDecay
	share := (s.rate - minSamplingRate) / (1 - s.rate) * penalty / s.meanPenalty
	return acct.window.customerHash() < share || s.random.Float64() < minSamplingRate
}

// answered records a call that was answered.
func (s *counterSampling) answered() {
	s.answers++
	regained := math.Min(2*s.rate, s.sustainedRate)
	s.rate = math.Min(1, max(s.rate+samplingIncrease*s.answers, regained))
}

// failed records a call that was not answered. A malformed answer (ServerError) says nothing about the counter's load.
func (s *counterSampling) failed(outcome Outcome) {
	if outcome == ServerError {
		return
	}
	s.rate *= samplingDecrease
	if s.answers > 0 {
		s.sustainedRate = s.rate
	}
	s.rate = max(s.rate, minSamplingRate)
	s.answers = 0
}
