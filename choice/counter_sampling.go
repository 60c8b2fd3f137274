package choice

import (
	"math"
	"math/rand"
)

const (
	// samplingDecrease is the factor on the sampling rate for each call to the counter that failed.
	samplingDecrease = 0.75
	// minSamplingRate is the least share of requests for which the counter is asked.
	minSamplingRate = 1.0 / 16
	// samplingIncrease is added to the sampling rate for each answer, times the answers since the last failure.
	samplingIncrease = 1.0 / 256
	// penaltyDecay is after how many requests an old one has lost most of its weight in the mean over-quota penalty.
	penaltyDecay = 40
)

// counterSampling decides for which requests the counter is asked. A counter that is down or overloaded is asked for
// fewer, so that nothing waits for it in vain and it can work off its queue, and for more again step by step, so that
// its return brings no rush.
type counterSampling struct {
	random        *rand.Rand
	rate          float64 // share of requests for which the counter is asked
	answers       float64 // calls answered since the last that was not
	sustainedRate float64 // the rate that it bore before the first of the latest failures in a row
	meanPenalty   float64 // what a request past the quota costs, a decaying mean over the plans of requests
}

func newCounterSampling(random *rand.Rand) counterSampling {
	return counterSampling{random: random, rate: 1}
}

// reduced tells whether the counter is asked for some requests only.
func (s *counterSampling) reduced() bool { return s.rate < 1 }

// everAnswered tells whether the counter has answered in this process's life.
func (s *counterSampling) everAnswered() bool { return s.answers+s.sustainedRate != 0 }

// includes tells whether the counter is asked for a request of the customer while the rate is reduced: always for some
// customers, the same at all limiters (the count of a part of the use says little), and for more where going past the
// quota costs more. A few requests of the others see whether the counter is back.
func (s *counterSampling) includes(acct *account) bool {
	penalty := max(0, acct.plan.OverQuotaPenalty-acct.plan.OverQuotaRevenue) * acct.plan.PriorityWeight
	s.meanPenalty += (penalty - s.meanPenalty) / penaltyDecay
	share := (s.rate - minSamplingRate) / (1 - s.rate) * penalty / s.meanPenalty
	return acct.window.customerHash() < share || s.random.Float64() < minSamplingRate
}

// answered notes that a call was answered.
func (s *counterSampling) answered() {
	s.answers++
	regained := math.Min(2*s.rate, s.sustainedRate)
	s.rate = math.Min(1, max(s.rate+samplingIncrease*s.answers, regained))
}

// failed notes that a call was not answered. One whose answer alone was malformed says nothing of the counter's load.
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
