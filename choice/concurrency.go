package choice

import "math"

const (
	// initialLimitRequests is how many of the largest requests all limiters together may have in flight at a new
	// server.
	initialLimitRequests = 3
	// limitIncreaseDivisor divides a request's units to give what its prompt answer adds to a limit.
	limitIncreaseDivisor = 8
	// serverDecreaseFactor is the ratio of what an overdue attempt takes from its server's limit to what a prompt
	// answer adds.
	serverDecreaseFactor = 10
	// maxInFlightDecreaseFactor bounds the same ratio for the in-flight limit, which falls faster the more answers are
	// slow.
	maxInFlightDecreaseFactor = 4
	// overloadPerDecrease is the share of slow answers at which the ratio for the in-flight limit is 1.
	overloadPerDecrease = 1.0 / 32
	// overloadDecay is the number of answers after which an old one has lost most of its weight in the share of slow
	// answers.
	overloadDecay = 16
	// promptDivisor divides the latency objective to give the time within which an answer is prompt.
	promptDivisor = 2
	// residenceDecay is the number of load reports after which an old one has lost most of its weight in the mean
	// residence time. Each limiter receives a few reports a second.
	residenceDecay = 8
	// burstDeviations is how many standard deviations above the mean in flight the in-flight limit may grow.
	burstDeviations = 4
	// priorityReserve is the share of the in-flight limit that is withheld from a class with a priority weight of 0.
	priorityReserve = 0.8
)

// concurrencyLimits bounds the units in flight, at each server and at all servers together, by additive increase and
// multiplicative decrease (AIMD): limits grow while answers arrive well inside the latency objective. Load reports with
// short residence times raise the limit for all servers together.
type concurrencyLimits struct {
	settings        *Settings
	servers         *serverSet
	highestPriority *Class  // the class that may use the whole in-flight limit
	minServerLimit  float64 // units of the largest request divided by the number of limiters
	inFlightLimit   float64 // units that may be in flight at all servers together; 0 until servers are known
	meanInFlight    float64 // decaying mean of the units in flight, over one latency objective
	overloadRatio   float64 // decaying share of answers that were slow or rejections
	meanResidence   float64 // decaying mean of the logarithm of the seconds that requests stay at servers
	reportedAt      int64   // time of the latest load report, 0 before the first
	halfUsed        bool    // the latest request found more than half of the in-flight limit in use
}

func newConcurrencyLimits(settings *Settings, servers *serverSet) concurrencyLimits {
	return concurrencyLimits{
		settings: settings, servers: servers, highestPriority: settings.highestPriorityClass(),
		minServerLimit: settings.MaxRequestUnits / float64(settings.Limiters), overloadRatio: 1,
	}
}

// initialServerLimit is the limit of a new server, in units.
func (l *concurrencyLimits) initialServerLimit() float64 {
	return initialLimitRequests * l.minServerLimit
}

// minInFlightLimit is the lower bound of the in-flight limit: this limiter's part of one largest request at each
// server.
func (l *concurrencyLimits) minInFlightLimit() float64 {
	return l.minServerLimit * float64(l.servers.count())
}

// initializeInFlightLimit sets the in-flight limit once servers are known. It leaves capacity for a burst: the first
// requests of a limiter coincide by chance as often as later ones.
func (l *concurrencyLimits) initializeInFlightLimit() {
	if l.inFlightLimit == 0 {
		minimum := l.minInFlightLimit()
		l.inFlightLimit = max(
			initialLimitRequests*minimum,
			minimum+burstDeviations*math.Sqrt(minimum*l.settings.MaxRequestUnits),
		)
	}
}

// admits reports whether the in-flight limit has capacity for a request. inFlight is the units in flight at the servers
// that may receive it, available the sum of these servers' slow-start weights. The limit shrinks in proportion to the
// servers that are unavailable. A request that would be the only one in flight is always admitted.
func (l *concurrencyLimits) admits(now int64, req *request, inFlight, available float64) bool {
	inFlight += req.units
	limit := l.inFlightLimit * l.residenceFactor(now, req.class) * available / max(float64(l.servers.ready()), 1)
	limit *= 1 - priorityReserve*(1-req.class.PriorityWeight/l.highestPriority.PriorityWeight)
	l.halfUsed = inFlight > limit/2
	return inFlight <= limit || inFlight <= req.units
}

// serverHasCapacity reports whether a server's own limit has capacity for the units. slowStartWeight is the server's.
func (l *concurrencyLimits) serverHasCapacity(now int64, s *server, units, slowStartWeight float64) bool {
	return now >= s.overloadedUntil && (len(s.attempts) == 0 || s.inFlight+units <= s.limit*slowStartWeight)
}

// residenceFactor raises the in-flight limit while load reports show that requests, of any limiter, stay at the servers
// for well below the latency objective. One limiter among many cannot tell a few heavy requests of its own from servers
// that are filling up. Reports older than the latency objective are ignored.
func (l *concurrencyLimits) residenceFactor(now int64, class *Class) float64 {
	if l.reportedAt == 0 || now-l.reportedAt > class.LatencyObjective {
		return 1
	}
	// A class must not fill the servers at the cost of one with a higher priority.
	objective := min(class.LatencyObjective, l.highestPriority.LatencyObjective)
	return max(1, seconds(objective)/promptDivisor/exponential(l.meanResidence))
}

// observeLoad updates the mean residence time from a load report.
func (l *concurrencyLimits) observeLoad(now int64, report *LoadReport) {
	reported := report.residenceSeconds()
	if reported <= 0 {
		return
	}
	residence := math.Log(reported) // a few stuck servers hardly change a mean of logarithms
	if l.reportedAt == 0 {
		l.meanResidence = residence
	}
	l.meanResidence += (residence - l.meanResidence) / residenceDecay
	l.reportedAt = now
}

// decayMean starts a tick's sample of the units in flight; sample adds the units of one server.
func (l *concurrencyLimits) decayMean()       { l.meanInFlight -= l.meanInFlight / ticksPerObjective }
func (l *concurrencyLimits) sample(s *server) { l.meanInFlight += s.inFlight / ticksPerObjective }

// checkOverdue lowers the limits for an attempt that is not answered promptly. It does not wait for the answer: servers
// that slow down together would fill up until then.
func (l *concurrencyLimits) checkOverdue(now int64, a *attempt) {
	if !a.overdue && now-a.sentAt > a.request.class.LatencyObjective/promptDivisor {
		a.overdue = true
		a.server.limit = max(a.server.limit-a.request.units*serverDecreaseFactor/limitIncreaseDivisor, l.minServerLimit)
		l.decreaseInFlightLimit(a.request.units)
	}
}

// decreaseInFlightLimit lowers the in-flight limit for an attempt that is overdue or was rejected. One limiter among
// hundreds uses a server too seldom to learn its limit in time; all servers together soon show that they are filling
// up. While most answers are prompt, the other servers are silent rather than overloaded, and the limit falls by no
// more than a prompt answer adds.
func (l *concurrencyLimits) decreaseInFlightLimit(units float64) {
	factor := max(1, math.Min(maxInFlightDecreaseFactor, l.overloadRatio/overloadPerDecrease))
	l.inFlightLimit = max(l.inFlightLimit-units*factor/limitIncreaseDivisor, l.minInFlightLimit())
}

// succeeded records a successful answer. The attempt has already been removed from its server.
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
	// The limit covers what coincides by chance, not the mean load: the fewer requests in flight, the more they vary.
	if l.inFlightLimit < l.meanInFlight+burstDeviations*math.Sqrt(l.meanInFlight*l.settings.MaxRequestUnits) {
		l.inFlightLimit += units / limitIncreaseDivisor
	}
}

// rejected records that a server rejected an attempt and counts as overloaded until the given time.
func (l *concurrencyLimits) rejected(a *attempt, until int64) {
	s := a.server
	s.overloadedUntil = until
	s.limit = math.Min(s.limit, s.inFlight)
	l.overloadRatio += (1 - l.overloadRatio) / overloadDecay
	l.decreaseInFlightLimit(a.request.units)
}

// applyMinLimit raises a server's limit to the minimum if it is below.
func (l *concurrencyLimits) applyMinLimit(s *server) { s.limit = max(s.limit, l.minServerLimit) }

// answersArePrompt reports whether the servers that answer do so promptly.
func (l *concurrencyLimits) answersArePrompt() bool {
	return l.overloadRatio < maxInFlightDecreaseFactor*overloadPerDecrease
}
