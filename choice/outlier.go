package choice

const (
	// failureWeight is the weight of the latest attempt in a server's failure ratio.
	failureWeight = 0.25
	// maxFailureRatio is the failure ratio above which a server is ejected. Three failures in a row exceed it.
	maxFailureRatio = 0.55
	// maxEjectedShare is the largest share of the servers that may be ejected, so that a common cause does not take out
	// all of them.
	maxEjectedShare = 0.75
	// healthChecksToReinstate is how many health checks in a row an ejected server must pass.
	healthChecksToReinstate = 2
)

// healthState is a server's state in outlier detection, as in a circuit breaker.
type healthState uint8

const (
	healthy  healthState = iota
	halfOpen             // reinstated: it gets one request at a time until its failure ratio has fallen
	ejected              // it gets no new requests
)

// serverHealth is the outlier detection's record of a server.
type serverHealth struct {
	state         healthState
	lastSeenAlive int64   // time of its latest sign of life
	failureRatio  float64 // decaying share of its attempts that failed
	checksPassed  int     // health checks passed in a row
	ejectionTime  int64   // length of the latest ejection in nanoseconds, 0 while healthy; doubles with each ejection
	nextCheck     int64   // when it is health-checked or reinstated next
}

// outlierDetector ejects servers that fail or are silent, and reinstates them.
type outlierDetector struct {
	settings     *Settings
	effects      Effects
	servers      *serverSet
	slowStart    *slowStart
	tickInterval int64
}

// succeeded records a successful answer, and reports whether it makes the server healthy again.
func (d *outlierDetector) succeeded(now int64, s *server) (recovered bool) {
	h := &s.health
	h.lastSeenAlive = now
	h.failureRatio *= 1 - failureWeight
	if h.state == ejected || h.state == halfOpen && h.failureRatio < maxFailureRatio/2 {
		h.state = healthy
		h.ejectionTime = 0
		return true
	}
	return false
}

// failed records a failed attempt. One failed dial ejects the server at once: if each of many limiters waited for three
// failures, many requests would be lost to a server that is known to be down.
func (d *outlierDetector) failed(now int64, s *server, outcome Outcome) {
	h := &s.health
	h.failureRatio += failureWeight * (1 - h.failureRatio)
	if h.failureRatio > maxFailureRatio || outcome == ConnectFailed {
		d.eject(now, s, "fails")
	}
}

// eject keeps new requests from a server until it is reinstated or answers.
func (d *outlierDetector) eject(now int64, s *server, reason string) {
	h := &s.health
	if h.state == ejected || float64(d.servers.index.ejected()+1) > float64(d.servers.ready())*maxEjectedShare {
		return
	}
	d.effects.Log("server " + s.id + " " + reason + ", ejected")
	h.ejectionTime = min(max(2*h.ejectionTime, d.tickInterval*ticksPerObjective), d.settings.SlowStartWindow)
	h.state = ejected
	h.checksPassed = 0
	h.nextCheck = now + h.ejectionTime
	d.servers.reindex(now, s)
}

// checkEjected health-checks an ejected server whose ejection time is over, or reinstates it if there are no health
// checks.
func (d *outlierDetector) checkEjected(now int64, s *server) {
	if now < s.health.nextCheck {
		return
	}
	if !d.settings.HealthChecks {
		d.reinstate(now, s)
		return
	}
	d.effects.HealthCheck(s.id)
	s.health.nextCheck = now + max(s.health.ejectionTime, d.settings.DialTimeout)
}

// checkSilent ejects a server that has shown no sign of life for too long while attempts are in flight there: for the
// latency objective of the oldest attempt, or two thirds of it if there are several, since a single attempt may just be
// a long one.
func (d *outlierDetector) checkSilent(now int64, s *server) {
	if len(s.attempts) == 0 {
		return
	}
	oldest := s.attempts[0]
	silenceTimeout := oldest.request.class.LatencyObjective
	if len(s.attempts) > 1 {
		silenceTimeout = silenceTimeout * 2 / 3
	}
	if now-max(s.health.lastSeenAlive, oldest.sentAt) > silenceTimeout {
		d.eject(now, s, "is silent")
	}
}

// healthCheckDone records the outcome of a health check.
func (d *outlierDetector) healthCheckDone(now int64, s *server, outcome Outcome) {
	if s.health.state != ejected {
		return
	}
	if outcome != Succeeded {
		s.health.checksPassed = 0
		return
	}
	s.health.checksPassed++
	if s.health.checksPassed >= healthChecksToReinstate {
		d.reinstate(now, s)
	}
}

// reinstate makes an ejected server half-open. One that failed may be a new process that the endpoint list does not
// show yet, so it warms up.
func (d *outlierDetector) reinstate(now int64, s *server) {
	s.health.state = halfOpen
	s.health.lastSeenAlive = now
	if s.health.failureRatio > maxFailureRatio {
		s.startedAt = now
		s.credit.slowStart = d.slowStart.initialCredit(s.ringHash, d.servers.count(), d.servers.subsetSize())
	}
}
