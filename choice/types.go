package choice

// Effect says what happens when a class's request runs twice.
type Effect uint8

const (
	Idempotent Effect = iota
	Keyed
	NonIdempotent
)

// Group names the servers among which a keyed request's repeats are dropped.
type Group uint8

const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Outcome is how an attempt, a probe or a call to the counter ended.
type Outcome uint8

const (
	Succeeded Outcome = iota
	Broke
	Full
	TimedOut
	Unconnected
	Reset
	Cancelled
	Moot
)

// Cause is why a request is rejected; it changes nothing, and is told to whoever looks at the limiters.
type Cause uint8

const (
	ForPlan     Cause = iota // its plan or its class is not known
	ForRoom                  // no server has room
	ForCeiling               // this limiter's part of the customer's ceiling
	ForQuota                 // the customer's quota, by the counter's total
	ForSlice                 // the customer's slice, without the counter
	ForAttempts              // its attempts came to nothing
	Causes                   // the number of causes
)

func (c Cause) String() string {
	return [...]string{"plan", "room", "ceiling", "quota", "slice", "attempts"}[c]
}

// Listing is what the server list says of a server.
type Listing uint8

const (
	Ready Listing = iota
	Draining
	Gone
)

// Class is one kind of request; times are nanoseconds.
type Class struct {
	Target  int64
	Effect  Effect
	Group   Group
	Repeats int64   // how long a keyed request's repeats are dropped
	Value   float64 // what one unit is worth, beside other classes
}

// Plan is what a customer has bought; units and units a second.
type Plan struct {
	Rate, Burst               float64
	CeilingRate, CeilingBurst float64
	Open                      float64 // a request sent while so many attempts of its customer are out is beyond; 0 for no cap
	BeyondEarns, BeyondCosts  float64 // of a request's value, when it is sent past the quota
	Value                     float64 // what one unit of a request is worth, beside other plans
}

// Settings are fixed for an instance's life.
type Settings struct {
	Classes      map[string]*Class
	Plans        map[string]*Plan
	CounterWait  int64 // a call without an answer by then has failed; 0 where there is no counter
	MostUnits    float64
	LongestLease int64 // the counter keeps no name for longer
	Limiters     int
	Position     int     // this limiter's number among them, from 0; below 0 where it is not told
	ColdFrom     float64 // the share of its capacity that a starting server has at least
	WarmWithin   int64
	DialTimeout  int64
	MostAttempts int
	MostAdvice   int64 // the longest retry-after that clients honour; 0 where none is passed on
	Probes       bool
	Cancelling   bool
	Granularity  int64
}

// Arrival is a request as a client sends it.
type Arrival struct {
	ID       string
	Budget   int64
	Customer uint64
	Plan     string
	Class    string
	Units    float64
	Spread   int // the number of limiters through which the customer's requests come
}

// Entry is one line of the server list.
type Entry struct {
	ID      string
	Zone    string
	Cell    int64
	Listing Listing
	Hint    float64
	Since   int64 // its latest start, 0 for long ago
}

// Reply is how one attempt ended.
type Reply struct {
	Request string
	Attempt int
	Outcome Outcome
	Took    int64
	Final   bool
	Units   float64 // the true units where they were a guess, else 0
	Held    float64 // what the server's load report says it holds for all limiters, requests
	Pace    float64 // and does, requests a second; 0 where it says nothing
	Queue   float64 // the requests that wait at it
	Work    int64   // and how long its latest requests took without waiting, 0 where it says nothing
}

// Effects is what a limiter can do; each call takes effect at once.
type Effects interface {
	Send(request, server string)
	Cancel(request string, attempt int)
	Reject(request string, retryAfter int64, cause Cause)
	Fail(request string)
	Count(name uint64, amount float64, lifetime int64)
	Probe(server string)
	Wake(at, token int64)
	Log(text string)
}
