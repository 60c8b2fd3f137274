package limiter

// Answers go out in the order of a client's commands. One that is ready would be late behind a request that has more
// time, so the requests ahead of it are ended as its own time runs out. Each client has one timer for that.

// answerMarginTicks is how long before a deadline an answer goes out at the latest, in ticks of the timers; it is what the
// controller leaves, too.
const answerMarginTicks = 2

// addAnswer makes the place of the present command's answer.
func (cl *client) addAnswer() *answer {
	pending := &answer{deadline: cl.commandDeadline}
	cl.answers = append(cl.answers, pending)
	if len(cl.answers) > 1 && pending.deadline != 0 {
		cl.scheduleExpiry(cl.limiter.sendBy(pending))
	}
	return pending
}

// sendBy is when an answer has to go out at the latest.
func (l *Limiter) sendBy(pending *answer) int64 {
	return pending.deadline - answerMarginTicks*l.settings.TimerResolution
}

// scheduleExpiry has the requests ahead of answers that are due ended at a time, if that is not set to happen before.
func (cl *client) scheduleExpiry(at int64) {
	timers := &cl.limiter.timers
	if cl.expiryTimer != nil && cl.expiryTimer.index >= 0 {
		if cl.expiryTimer.at <= at {
			return
		}
		timers.cancel(cl.expiryTimer)
	}
	cl.expiryTimer = timers.add(at, cl.expireBlocking)
}

// expireBlocking ends the requests ahead of the last answer that is due now, and waits for the next one.
func (cl *client) expireBlocking() {
	l := cl.limiter
	for _, id := range cl.requestsBlockingDue() {
		l.controller.Expire(l.now, id)
	}
	next := int64(0)
	for i, pending := range cl.answers {
		if i == 0 || pending.deadline == 0 {
			continue
		}
		if at := l.sendBy(pending); at > l.now && (next == 0 || at < next) {
			next = at
		}
	}
	if next != 0 && cl.open() {
		cl.scheduleExpiry(next)
	}
}

// requestsBlockingDue are the requests that are not ended and stand ahead of the last answer that is due now.
func (cl *client) requestsBlockingDue() (ids []string) {
	lastDue := 0
	for i, pending := range cl.answers {
		if pending.deadline != 0 && cl.limiter.sendBy(pending) <= cl.limiter.now {
			lastDue = i
		}
	}
	for _, pending := range cl.answers[:lastDue] {
		if pending.request != nil && pending.request.state == stateAccepted {
			ids = append(ids, pending.request.id)
		}
	}
	return ids
}
