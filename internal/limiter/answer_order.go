package limiter

// Answers go out in the order of a client's commands. One that is ready would be late behind a request that has more
// time, so the requests ahead of it are ended as its own time runs out. Each client has one timer for that.

// answerMarginTicks is how long before a deadline an answer goes out at the latest, in ticks of the timers; it is what the
// controller leaves, too.
const answerMarginTicks = 2

// addPlace makes the place of the present command's answer.
func (cl *client) addPlace() *answer {
	place := &answer{deadline: cl.commandDeadline}
	cl.answers = append(cl.answers, place)
	if len(cl.answers) > 1 && place.deadline != 0 {
		cl.expireBy(cl.limiter.sendBy(place))
	}
	return place
}

// sendBy is when an answer has to go out at the latest.
func (l *Limiter) sendBy(place *answer) int64 {
	return place.deadline - answerMarginTicks*l.settings.TimerResolution
}

// expireBy has the requests ahead of answers that are due ended at a time, if that is not set to happen before.
func (cl *client) expireBy(at int64) {
	timers := &cl.limiter.timers
	if cl.expiry != nil && cl.expiry.index >= 0 {
		if cl.expiry.at <= at {
			return
		}
		timers.cancel(cl.expiry)
	}
	cl.expiry = timers.add(at, cl.expireAhead)
}

// expireAhead ends the requests ahead of the last answer that is due now, and waits for the next one.
func (cl *client) expireAhead() {
	l := cl.limiter
	for _, id := range cl.aheadOfDue() {
		l.controller.Expire(l.now, id)
	}
	next := int64(0)
	for i, place := range cl.answers {
		if i == 0 || place.deadline == 0 {
			continue
		}
		if at := l.sendBy(place); at > l.now && (next == 0 || at < next) {
			next = at
		}
	}
	if next != 0 && cl.open() {
		cl.expireBy(next)
	}
}

// aheadOfDue are the requests that are not ended and stand ahead of the last answer that is due now.
func (cl *client) aheadOfDue() (ids []string) {
	due := 0
	for i, place := range cl.answers {
		if place.deadline != 0 && cl.limiter.sendBy(place) <= cl.limiter.now {
			due = i
		}
	}
	for _, place := range cl.answers[:due] {
		if place.request != nil && place.request.state == stateAccepted {
			ids = append(ids, place.request.id)
		}
	}
	return ids
}
