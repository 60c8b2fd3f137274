package choice

import "math"

const (
	// initialLimitRequests is how many of the largest requests all limiters together may have in flight at a new
	// server.
	initialLimitRequests = 3
	// limitIncreaseDivisor is how many prompt answers raise a limit by their own size.
	limitIncreaseDivisor = 8
	// serverDecreaseFactor is how many times more an overdue attempt takes from its server's limit than a prompt answer
	// adds.
	serverDecreaseFactor = 10
	// maxInFlightDecreaseFactor bounds the same for the in-flight limit, which falls the more, the more answers are
	// slow.
	maxInFlightDecreaseFactor = 4
	// overloadPerDecrease is the share of slow answers for which an attempt takes from the in-flight limit what a
	// prompt one adds.
	overloadPerDecrease = 1.0 / 32
	// overloadDecay is after how many answers an old one has lost most of its weight in the share of slow answers.
	overloadDecay = 16
	// promptDivisor: an answer within this part of the latency objective is prompt.
	promptDivisor = 2
	// residenceDecay is after how many load reports an old one has lost most of its weight: each limiter hears a few a
	// second.
	residenceDecay = 8
	// burstDeviations: the in-flight limit grows to the mean in flight and so many standard deviations.
	burstDeviations = 4
	// priorityReserve is the share of the in-flight limit that a class worth nothing does not get.
	priorityReserve = 0.8
)

// concurrencyLimits bounds the units in flight, at each server and at all together, by additive increase and
// multiplicative decrease (AIMD): limits grow while answers come well inside the latency objective. Load reports that
// show short residence times raise the limit at all servers.
type concurrencyLimits struct {
	settings        *Settings
	servers         *serverSet
	highestPriority *Class  // the class that gets the whole in-flight limit
	minServerLimit  float64 // the largest request over the number of limiters
	inFlightLimit   float64 // units that may be in flight at all servers; 0 until servers are known
	meanInFlight    float64 // units that were in flight at them, decaying over the latency objective
	overloadRatio   float64 // the decaying share of answers that were slow or rejections
	meanResidence   float64 // the decaying mean of the logarithm of the seconds that requests stay at servers
	reportedAt      int64   // when the latest load report came, 0 before the first
	halfUsed        bool    // more than half of the in-flight limit was used at the last request
}

func newConcurrencyLimits(settings *Settings, servers *serverSet) concurrencyLimits {
	return concurrencyLimits{
		settings: settings, servers: servers, highestPriority: settings.highestPriorityClass(),
		minServerLimit: settings.MaxRequestUnits / float64(settings.Limiters), overloadRatio: 1,
	}
}

// initialServerLimit is the limit of a server of which nothing is known yet.
func (l *concurrencyLimits) initialServerLimit() float64 {
	return initialLimitRequests * l.minServerLimit
}

// minInFlightLimit is the in-flight limit that is always there: the largest request at each server, over all limiters.
func (l *concurrencyLimits) minInFlightLimit() float64 {
	return l.minServerLimit * float64(l.servers.count())
}

// initializeInFlightLimit sets the in-flight limit once servers are known. The first requests of a limiter come together by chance
// as later ones do.
func (l *concurrencyLimits) initializeInFlightLimit() {
	if l.inFlightLimit == 0 {
		minimum := l.minInFlightLimit()
		l.inFlightLimit = max(
			initialLimitRequests*minimum,
			minimum+burstDeviations*math.Sqrt(minimum*l.settings.MaxRequestUnits),
		)
	}
}

// admits tells whether the in-flight limit has capacity for a request. inFlight is what is in flight at the servers
// that may get it, available their capacity in servers. What may be in flight shrinks with the servers that can be
// used.
func (l *concurrencyLimits) admits(now int64, req *request, inFlight, available float64) bool {
	inFlight += req.units
	limit := l.inFlightLimit * l.residenceFactor(now, req.class) * available / max(float64(l.servers.ready()), 1)
	limit *= 1 - priorityReserve*(1-req.class.PriorityWeight/l.highestPriority.PriorityWeight)
	l.halfUsed = inFlight > limit/2
	return inFlight <= limit || inFlight <= req.units
}

// serverHasCapacity tells whether a server's own limit has capacity for a request. slowStartWeight is the server's.
func (l *concurrencyLimits) serverHasCapacity(now int64, s *server, units, slowStartWeight float64) bool {
	return now >= s.overloadedUntil && (len(s.attempts) == 0 || s.inFlight+units <= s.limit*slowStartWeight)
}

// residenceFactor raises the in-flight limit while load reports show that requests, of whatever limiter, stay at the
// servers for well inside the latency objective. One limiter among many cannot tell a few heavy requests of its own
// from servers that fill up. Old reports say nothing.
func (l *concurrencyLimits) residenceFactor(now int64, class *Class) float64 {
	if l.reportedAt == 0 || now-l.reportedAt > class.LatencyObjective {
		return 1
	}
	// no class may fill the servers for a dearer one
	objective := min(class.LatencyObjective, l.highestPriority.LatencyObjective)
	return max(1, seconds(objective)/promptDivisor/math.Exp(l.meanResidence))
}

// observeLoad takes in a load report.
func (l *concurrencyLimits) observeLoad(now int64, report *LoadReport) {
	reported := report.residenceSeconds()
	if reported <= 0 {
		return
	}
	residence := math.Log(reported) // a few servers that are stuck do not make a mean of logarithms
	if l.reportedAt == 0 {
		l.meanResidence = residence
	}
	l.meanResidence += (residence - l.meanResidence) / residenceDecay
	l.reportedAt = now
}

// decayMean begins a tick's sample of the units in flight; sample adds a server's.
func (l *concurrencyLimits) decayMean()       { l.meanInFlight -= l.meanInFlight / ticksPerObjective }
func (l *concurrencyLimits) sample(s *server) { l.meanInFlight += s.inFlight / ticksPerObjective }

// checkOverdue lowers a server's limit for an attempt that is not answered well inside the latency objective, without
// waiting for the answer: servers that slow down together would fill up until then.
func (l *concurrencyLimits) checkOverdue(now int64, a *attempt) {
	if !a.overdue && now-a.sentAt > a.request.class.LatencyObjective/promptDivisor {
		a.overdue = true
		a.server.limit = max(a.server.limit-a.request.units*serverDecreaseFactor/limitIncreaseDivisor, l.minServerLimit)
		l.decreaseInFlightLimit(a.request.units)
	}
}

// decreaseInFlightLimit takes from the in-flight limit for an attempt that is overdue or was rejected. One limiter among hundreds
// sees a server too seldom to learn its limit in time; all together soon tell that the servers fill up. Where answers
// are prompt the rest are silent, not overloaded, and it takes no more than a prompt answer adds.
func (l *concurrencyLimits) decreaseInFlightLimit(units float64) {
	factor := max(1, math.Min(maxInFlightDecreaseFactor, l.overloadRatio/overloadPerDecrease))
	l.inFlightLimit = max(l.inFlightLimit-units*factor/limitIncreaseDivisor, l.minInFlightLimit())
}

// succeeded takes in an answer with a value. The attempt has been taken out of its server already.
func (l *concurrencyLimits) succeeded(a *attempt) {
	s, units := a.server, a.request.units
	l.overloadRatio -= l.overloadRatio / overloadDecay
	if a.overdue {
		l.overloadRatio += 1.0 / overloadDecay
		return
	}
	if s.inFlight+units > s.limit/2 || l.halfUsed {
		s.limit += units / limitIncreaseDivisor
	}
	// The limit is what can come together by chance, not the load: few requests in flight swing the most.
	if l.inFlightLimit < l.meanInFlight+burstDeviations*math.Sqrt(l.meanInFlight*l.settings.MaxRequestUnits) {
		l.inFlightLimit += units / limitIncreaseDivisor
	}
}

// rejected takes in a server's word that it is overloaded, which holds until a time.
func (l *concurrencyLimits) rejected(a *attempt, until int64) {
	s := a.server
	s.overloadedUntil = until
	s.limit = math.Min(s.limit, s.inFlight)
	l.overloadRatio += (1 - l.overloadRatio) / overloadDecay
	l.decreaseInFlightLimit(a.request.units)
}

// applyMinLimit keeps a server's limit at its least.
func (l *concurrencyLimits) applyMinLimit(s *server) { s.limit = max(s.limit, l.minServerLimit) }

// answersArePrompt tells whether the servers that answer do so in time.
func (l *concurrencyLimits) answersArePrompt() bool {
	return l.overloadRatio < maxInFlightDecreaseFactor*overloadPerDecrease
}
