package choice

// Idempotency says what happens when a class's request runs twice.
type Idempotency uint8

const (
	Idempotent Idempotency = iota
	IdempotentWithKey
	NonIdempotent
)

// DeduplicationScope names the servers among which a keyed request's repeats are dropped.
type DeduplicationScope uint8

const (
	ScopeAll DeduplicationScope = iota
	ScopeZone
	ScopeCell
)

// Outcome is how an attempt, a probe or a call to the counter ended.
type Outcome uint8

const (
	Succeeded Outcome = iota
	ServerError
	Overloaded
	TimedOut
	ConnectFailed
	ConnectionLost
	Cancelled
	NotAttempted
)

// RejectReason is why a request is rejected; it changes nothing, and is told to whoever looks at the limiters.
type RejectReason uint8

const (
	RejectedForPlan       RejectReason = iota // its plan or its class is not known
	RejectedForCapacity                       // no server has room
	RejectedForCeiling                        // this limiter's part of the customer's ceiling
	RejectedForQuota                          // the customer's quota, by the counter's total
	RejectedForLocalQuota                     // the customer's slice, without the counter
	RejectedForAttempts                       // its attempts came to nothing
	RejectReasons                             // the number of causes
)

func (c RejectReason) String() string {
	return [...]string{"plan", "room", "ceiling", "quota", "slice", "attempts"}[c]
}

// EndpointState is what the server list says of a server.
type EndpointState uint8

const (
	EndpointReady EndpointState = iota
	EndpointDraining
	EndpointGone
)

// Class is one kind of request; times are nanoseconds.
type Class struct {
	LatencyObjective    int64
	Idempotency         Idempotency
	DeduplicationScope  DeduplicationScope
	DeduplicationWindow int64   // how long a keyed request's repeats are dropped
	PriorityWeight      float64 // what one unit is worth, beside other classes
}

// Plan is what a customer has bought; units and units a second.
type Plan struct {
	Rate, Burst                        float64
	CeilingRate, CeilingBurst          float64
	MaxInFlight                        float64 // a request sent while so many attempts of its customer are out is beyond; 0 for no cap
	OverQuotaRevenue, OverQuotaPenalty float64 // of a request's value, when it is sent past the quota
	PriorityWeight                     float64 // what one unit of a request is worth, beside other plans
}

// Settings are fixed for an instance's life.
type Settings struct {
	Classes         map[string]*Class
	Plans           map[string]*Plan
	CounterTimeout  int64 // a call without an answer by then has failed; 0 where there is no counter
	MaxRequestUnits float64
	MaxLease        int64 // the counter keeps no name for longer
	Limiters        int
	Position        int     // this limiter's number among them, from 0; below 0 where it is not told
	ColdCapacity    float64 // the share of its capacity that a starting server has at least
	SlowStartWindow int64
	DialTimeout     int64
	MaxAttempts     int
	MaxRetryAfter   int64 // the longest retry-after that clients honour; 0 where none is passed on
	HealthChecks    bool
	CanCancel       bool
	TimerResolution int64
}

// Arrival is a request as a client sends it.
type Arrival struct {
	ID       string
	Timeout  int64
	Customer uint64
	Plan     string
	Class    string
	Units    float64
	Limiters int // the number of limiters through which the customer's requests come
}

// Endpoint is one line of the server list.
type Endpoint struct {
	ID        string
	Zone      string
	Cell      int64
	State     EndpointState
	Weight    float64
	StartedAt int64 // its latest start, 0 for long ago
}

// AttemptResult is how one attempt ended.
type AttemptResult struct {
	Request     string
	Attempt     int
	Outcome     Outcome
	Duration    int64
	Final       bool
	ActualUnits float64 // the true units where they were a guess, else 0
	InFlight    float64 // what the server's load report says it holds for all limiters, requests
	Throughput  float64 // and does, requests a second; 0 where it says nothing
	Queued      float64 // the requests that wait at it
	ServiceTime int64   // and how long its latest requests took without waiting, 0 where it says nothing
}

// Effects is what a limiter can do; each call takes effect at once.
type Effects interface {
	Send(request, server string)
	Cancel(request string, attempt int)
	Reject(request string, retryAfter int64, cause RejectReason)
	Fail(request string)
	AddToCounter(name uint64, amount float64, lifetime int64)
	HealthCheck(server string)
	SetTimer(at, token int64)
	Log(text string)
}
