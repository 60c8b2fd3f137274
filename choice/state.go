package choice

import (
	"fmt"
	"hash/fnv"
	"math"
)

// requestState is where a request stands; move is the only function that changes it.
type requestState uint8

const (
	Accepted requestState = iota
	stateReserving
	InFlight
	Answered
	Rejected
	Failed
	ClientGone // the client has left
)

type request struct {
	id       string
	token    int64
	state    requestState
	class    *Class
	account  *account
	units    float64
	charge   float64 // what it takes from its customer's store: units, or one place under a cap
	end      int64   // the last moment for a final answer
	attempts []*attempt
	open     int // attempts that are out
	reserved bool
	spent    bool    // a server got it whole, so its units are taken
	weight   float64 // what one unit weighs in the window that has the reservation, or is owed it
	name     uint64  // the count that holds the reservation, or is owed it
	lease    int64   // when that count is forgotten
}

type attempt struct {
	request *request
	server  *server
	number  int
	at      int64
	open    bool
	maybe   bool // it may have run
	late    bool // it has lowered its server's limit
}

type server struct {
	id             string
	place          uint64 // on the ring of all servers, the same at all limiters
	zone           string
	cell           int64
	listing        EndpointState
	hint           float64
	warmFrom       int64 // when it began to warm up, 0 for long ago
	health         health
	attempts       []*attempt
	out            float64 // units out
	limit          float64 // units that may be out
	took           float64 // fading sums of time and units over its answers
	did            float64
	heard          int64   // its last sign of life
	bad            float64 // the fading share of its attempts that came to nothing
	probes         int     // probes answered in a row
	next           int64   // when it is probed or tried next
	rest           int64
	fullTill       int64   // it has turned a request away and gets none until then
	credit         float64 // its claim on the next turn
	slowStartTurns float64 // while it is cold: the turns that it is owed
	position       int     // in the order of the ring, from this limiter's place on
	indexRecord
}

// indexRecord is where a serverIndex holds a server.
type indexRecord struct {
	group   group
	slot    int   // its place in the group's list
	indexed int64 // warmFrom, as the group warming has it
	counted bool  // it is in ready
	leaving bool  // it is in gone
}

type health uint8

const (
	healthy health = iota
	trial
	ejected
)

// store is a bucket of units.
type store struct {
	level, depth, rate float64
	spilt              float64 // what it could not hold since this was last cleared
	at                 int64
}

type account struct {
	id                uint64
	plan              *Plan
	phase             int64
	window            int64   // the window that total belongs to
	total             float64 // the window's last seen total
	quota             store   // the customer's store as far as the totals have shown it
	known             bool    // a total has been seen
	looked            int64   // and when last
	slice             store   // this limiter's part of it: decides when no total comes
	part              float64 // the number of limiters that share the customer
	most              float64 // the most that one request can take from its store
	pendingAdjustment float64 // what is still to be added to the counter, weighted as of its time
	unsure            float64 // what calls without an answer may have added
	idle              float64 // the part of them that was never sent
	ceiling           store   // this limiter's part of the hard ceiling
	used              int64
	held              int // its requests that are known
}

type call struct {
	request *request
	account *account
	amount  float64
	back    bool // no request waits for it: it adds back or settles
}

// fill adds what has come in since the last call and tells the level.
func (s *store) fill(now int64) float64 {
	s.level += s.rate * seconds(now-s.at)
	s.spilt += max(0, s.level-s.depth)
	s.level, s.at = math.Min(s.depth, s.level), now
	return s.level
}

func seconds(ns int64) float64 { return float64(ns) / 1e9 }

func nanos(s float64) int64 { return int64(s * 1e9) }

// mix spreads a number over all bits, so that names of different windows and customers do not meet.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// placed spreads servers over the ring by their ids.
func placed(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return mix(h.Sum64())
}

func (l *Controller) log(form string, args ...any) { l.effects.Log(fmt.Sprintf(form, args...)) }

// stay is how long requests stay at the server by its load report, in seconds, 0 where it does not tell: what
// it holds over what it does a second, or else the work itself and what waits over that pace.
func (r *AttemptResult) stay() float64 {
	switch {
	case r.InFlight > 0 && r.Throughput > 0:
		return r.InFlight / r.Throughput
	case r.ServiceTime > 0 && r.Throughput > 0:
		return seconds(r.ServiceTime) + r.Queued/r.Throughput
	}
	return seconds(r.ServiceTime)
}

func (a *account) name() uint64 { return mix(mix(a.id)^uint64(a.window)) >> 1 }

func (q *request) ended() bool { return q.state >= Answered }

// move is the only place where a request changes its state; an ended request keeps its end.
func (l *Controller) move(q *request, to requestState) {
	if q.ended() {
		panic(fmt.Sprintf("request %s moved to %d after its end %d", q.id, to, q.state))
	}
	q.state = to
}

// overCeiling is how long this limiter's part of the ceiling must fill before it holds the units.
func (a *account) overCeiling(now int64, units float64) int64 {
	if a.plan.CeilingRate <= 0 || a.ceiling.fill(now) >= units {
		return 0
	}
	return 1 + nanos((units-a.ceiling.level)/a.ceiling.rate)
}

// count makes a call; what a reservation carries along may bring its amount below 0.
func (l *Controller) count(q *request, amount float64, back bool) {
	l.calls[q.name] = append(l.calls[q.name], call{q, q.account, amount, back})
	l.effects.AddToCounter(q.name, amount, 2*l.span(q.account))
}
