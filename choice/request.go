package choice

import "fmt"

// requestState is a request's state. Only request.setState changes it.
type requestState uint8

const (
	stateAccepted   requestState = iota
	stateReserving               // waiting for the counter
	stateInFlight                // its first attempt was sent
	stateAnswered                // a server's answer was passed to the client
	stateRejected                // rejected: it had no effect
	stateFailed                  // failed: it may have had its effect
	stateClientGone              // the client has disconnected
)

// longestTimeout is how long a request may take if some class has no deadline, nanoseconds.
const longestTimeout = 60e9

// LimitTimeout returns how long a request may take if its client would wait for timeout: a request that no server
// answers holds a connection to one until then, and a shutdown waits for it as long as the longest deadline at most.
// longestDeadline is that of all classes, 0 if some class has none. All are in nanoseconds.
func LimitTimeout(timeout, longestDeadline int64) int64 {
	if longestDeadline <= 0 {
		return min(timeout, longestTimeout)
	}
	return min(timeout, longestDeadline)
}

// request is a request from its arrival until it has ended and none of its attempts is open.
type request struct {
	id      string
	timer   int64 // token of its deadline's timer
	state   requestState
	class   *Class
	account *account // nil if its plan or class is unknown
	units   float64
	// charge is what it takes from the customer's quota: its units, or 1 if the plan has no rate but caps attempts in
	// flight.
	charge           float64
	deadline         int64 // latest time for the final answer
	attempts         []*attempt
	openAttempts     int
	reachedAnyServer bool // a server received the whole request, so its units are spent
	reservation      reservation
}

// attempt is one attempt of a request at one server.
type attempt struct {
	request    *request
	server     *server
	number     int // from 0, in order of sending
	sentAt     int64
	open       bool // its end has not been reported
	mayHaveRun bool // also true while it is open
	overdue    bool // it was not answered promptly and has lowered the limits
}

func (req *request) ended() bool { return req.state >= stateAnswered }

// setState changes the request's state. It panics if the request has ended, since the end is final.
func (req *request) setState(to requestState) {
	if req.ended() {
		panic(fmt.Sprintf("request %s set to state %d after it ended in state %d", req.id, to, req.state))
	}
	req.state = to
}

// addAttempt adds an open attempt at a server.
func (req *request) addAttempt(now int64, s *server) *attempt {
	added := &attempt{request: req, server: s, number: len(req.attempts), sentAt: now, open: true, mayHaveRun: true}
	req.attempts = append(req.attempts, added)
	req.openAttempts++
	return added
}

// endAttempt records how an open attempt ended.
func (req *request) endAttempt(ended *attempt, outcome Outcome) {
	ended.open = false
	ended.mayHaveRun = outcome.mayHaveRun()
	req.openAttempts--
	req.reachedAnyServer = req.reachedAnyServer || outcome.reachedServer()
}

// openAttempt returns the attempt with the given number if it is open, otherwise nil.
func (req *request) openAttempt(number int) *attempt {
	if number < 0 || number >= len(req.attempts) || !req.attempts[number].open {
		return nil
	}
	return req.attempts[number]
}

// mayHaveRun reports whether some attempt may have run, or may still run.
func (req *request) mayHaveRun() bool {
	for _, a := range req.attempts {
		if a.mayHaveRun {
			return true
		}
	}
	return false
}

// requestTable holds the requests that have not ended or have open attempts.
type requestTable struct {
	byID      map[string]*request
	byTimer   map[int64]*request // requests that have not ended, by the token of their deadline's timer
	lastTimer int64
}

func newRequestTable() requestTable {
	return requestTable{byID: map[string]*request{}, byTimer: map[int64]*request{}}
}

// add adds a request and assigns its timer's token.
func (t *requestTable) add(req *request) {
	t.lastTimer++
	req.timer = t.lastTimer
	t.byID[req.id] = req
	t.byTimer[req.timer] = req
}

// stopTimer makes the controller ignore the request's deadline. It returns false if it did so before.
func (t *requestTable) stopTimer(req *request) bool {
	_, pending := t.byTimer[req.timer]
	delete(t.byTimer, req.timer)
	return pending
}

// remove removes a request. It returns false if the table does not hold it, such as after its ID was reused.
func (t *requestTable) remove(req *request) bool {
	if t.byID[req.id] != req {
		return false
	}
	delete(t.byID, req.id)
	return true
}

// stopTimer ends the timer of an ended request's deadline.
func (c *Controller) stopTimer(req *request) {
	if c.requests.stopTimer(req) {
		c.effects.StopTimer(req.timer)
	}
}

// removeIfDone removes an ended request once none of its attempts is open. If no server received the whole request, its
// charges are refunded.
func (c *Controller) removeIfDone(now int64, req *request) {
	c.stopTimer(req)
	if req.openAttempts > 0 || !c.requests.remove(req) {
		return
	}
	if req.account == nil {
		return
	}
	req.account.requestEnded(c.lastTick)
	if len(req.attempts) > 0 && !req.reachedAnyServer {
		req.account.refund(now, req)
		c.reservations.cancelDeferredCharge(req)
		c.reservations.release(now, req, req.charge)
	}
}
