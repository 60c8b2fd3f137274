package choice

import "fmt"

// requestState is where a request stands; request.move is the only function that changes it.
type requestState uint8

const (
	stateAccepted   requestState = iota
	stateReserving               // it waits for the counter
	stateInFlight                // its first attempt was sent
	stateAnswered                // a server's answer went to the client
	stateRejected                // rejected: it had no effect
	stateFailed                  // failed: it may have had its effect
	stateClientGone              // the client has left
)

// request is one request from its arrival until nothing of it is out any more.
type request struct {
	id      string
	timer   int64 // the token of its deadline's timer
	state   requestState
	class   *Class
	account *account // nil where its plan or class is unknown
	units   float64
	// what it takes from its customer's quota: its units, or 1 where the plan caps attempts in flight
	charge           float64
	deadline         int64 // the last moment for a final answer
	attempts         []*attempt
	openAttempts     int
	reachedAnyServer bool // a server got it whole, so that its units are spent
	reservation      reservation
}

// attempt is one try of a request at one server.
type attempt struct {
	request    *request
	server     *server
	number     int
	sentAt     int64
	open       bool
	mayHaveRun bool // true also while it is open
	overdue    bool // it has lowered its server's limit
}

func (req *request) ended() bool { return req.state >= stateAnswered }

// setState changes the request's state. An ended request keeps its end.
func (req *request) setState(to requestState) {
	if req.ended() {
		panic(fmt.Sprintf("request %s moved to %d after its end %d", req.id, to, req.state))
	}
	req.state = to
}

// addAttempt begins an attempt at a server.
func (req *request) addAttempt(now int64, s *server) *attempt {
	added := &attempt{request: req, server: s, number: len(req.attempts), sentAt: now, open: true, mayHaveRun: true}
	req.attempts = append(req.attempts, added)
	req.openAttempts++
	return added
}

// endAttempt notes how an open attempt ended.
func (req *request) endAttempt(ended *attempt, outcome Outcome) {
	ended.open = false
	ended.mayHaveRun = outcome.mayHaveRun()
	req.openAttempts--
	req.reachedAnyServer = req.reachedAnyServer || outcome.reachedServer()
}

// openAttempt is the attempt of a number, nil where there is none that is open.
func (req *request) openAttempt(number int) *attempt {
	if number < 0 || number >= len(req.attempts) || !req.attempts[number].open {
		return nil
	}
	return req.attempts[number]
}

// mayHaveRun tells whether some attempt may have run, or may still run.
func (req *request) mayHaveRun() bool {
	for _, a := range req.attempts {
		if a.mayHaveRun {
			return true
		}
	}
	return false
}

// requestTable holds the requests that are not forgotten yet.
type requestTable struct {
	byID      map[string]*request
	byTimer   map[int64]*request // those that are not ended, by the token of their deadline's timer
	lastTimer int64
}

func newRequestTable() requestTable {
	return requestTable{byID: map[string]*request{}, byTimer: map[int64]*request{}}
}

// add takes a request in and gives it a timer's token.
func (t *requestTable) add(req *request) {
	t.lastTimer++
	req.timer = t.lastTimer
	t.byID[req.id] = req
	t.byTimer[req.timer] = req
}

// stopTimer lets the request's deadline pass unnoticed.
func (t *requestTable) stopTimer(req *request) { delete(t.byTimer, req.timer) }

// remove forgets a request; false where it was not held, as after its id was taken by another.
func (t *requestTable) remove(req *request) bool {
	if t.byID[req.id] != req {
		return false
	}
	delete(t.byID, req.id)
	return true
}
