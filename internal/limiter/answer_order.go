package limiter

// Answers go out in the order of a client's commands. A finished answer can be stuck behind a request with a later
// deadline, so the requests ahead of it are ended when its own deadline comes near. Each client has one timer for that.

// answerMarginTicks is how long before its deadline an answer goes out at the latest, in timer ticks. The controller
// leaves the same margin.
const answerMarginTicks = 2

// addAnswer appends a pending answer for the command that is handled.
func (cl *client) addAnswer() *answer {
	pending := &answer{deadline: cl.commandDeadline}
	cl.answers = append(cl.answers, pending)
	cl.limiter.clients.pendingAnswers++
	if len(cl.answers) > 1 && pending.deadline != 0 {
		cl.scheduleExpiry(cl.limiter.sendBy(pending))
	}
	return pending
}

// sendBy is the latest time at which an answer may go out.
func (l *Limiter) sendBy(pending *answer) int64 {
	return pending.deadline - answerMarginTicks*l.settings.TimerResolution
}

// scheduleExpiry sets the timer of expireBlocking, unless it is set for that time or an earlier one.
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

// expireBlocking ends the requests ahead of the last answer that is due, and sets the timer for the next one.
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

// requestsBlockingDue lists the IDs of the open requests ahead of the last answer that is due.
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
