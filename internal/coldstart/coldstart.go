// Package coldstart is the state machine of one limiter's start, for fleets in which hundreds of limiters may start
// within the same second with only the endpoint list of their configuration. It does no I/O: the caller passes events
// and the time in nanoseconds, and reads when to poll discovery, whether the limiter is ready for clients, and which
// fraction of the servers' capacity is certain to be available.
//
// The load of all limiters together is bounded without communication between them. Their system clocks agree, so all
// divide time into the same periods, and each limiter owns one slot of a period, given by its position. It polls
// discovery in that slot only. Restarts add no calls, since a limiter that comes back finds the same slot.
// docs/coldstart.md compares the alternatives and derives the bounds.
package coldstart

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Settings are the parameters of a start. Times are nanoseconds. All other durations of this package are multiples or
// fractions of them.
type Settings struct {
	Limiters     int     // in the fleet
	Position     int     // this limiter's number in the fleet, from 0; negative if unknown
	Jitter       float64 // random, in [0, 1); places the limiter's slot if Position is unknown
	DialTimeout  int64
	PollInterval int64 // maximum time between polls of discovery, 0 if lists are pushed
	// ColdCapacity is the part of its capacity that a server has just after its start, in [0, 1]. It grows to the whole
	// capacity within SlowStartWindow.
	ColdCapacity    float64
	SlowStartWindow int64
	// NotificationDeadline is the time after discovery becomes unreachable at which its changes count as delivered,
	// whether they arrived or not.
	NotificationDeadline int64
	ReadinessDeadline    int64 // maximum time from start to ready; a limiter that takes longer has failed
	CeilingLeadTime      int64 // time for which this limiter's parts of the ceilings fill before it accepts clients
	// CallRate is the rate of calls that discovery sustains from all limiters, in calls per second; 0 if not stated.
	CallRate float64
	// ConnectionRate is the rate of new connections that a server sustains from all limiters, in connections per
	// second; 0 if not stated.
	ConnectionRate float64
}

const (
	// answerDialTimeouts is the time from a call's slot to its answer without faults, in dial timeouts: a dial and a
	// response.
	answerDialTimeouts = 2
	// minPeriodDialTimeouts is the minimum period, in dial timeouts. More frequent calls deliver changes no sooner,
	// whatever call rate discovery sustains.
	minPeriodDialTimeouts = 1
	// initialSpreadPeriods is the number of periods from which the next slot is drawn. It is below 1, so that a single
	// throttled call does not change the schedule.
	initialSpreadPeriods = 1. / 2
	// maxSpreadPeriods limits the number of periods from which the next slot is drawn, which doubles with each throttled
	// call.
	maxSpreadPeriods = 4
	// spreadDecay is the factor by which that number shrinks with each answered call.
	spreadDecay = 7. / 8
	// holdDeadlineDivisor: a change that a held call missed counts as delivered NotificationDeadline/holdDeadlineDivisor
	// after the end of the hold, or at the usual deadline if that is later.
	holdDeadlineDivisor = 3
	// timeoutMarginDivisor: a call times out resumeLead/timeoutMarginDivisor before a slot.
	timeoutMarginDivisor = 8
	// maxMissedSlots is the number of missed slots in a row after which a limiter calls however late it is.
	maxMissedSlots = 4
	// resumeDialDivisor and resumePeriodDivisor: a held call returns DialTimeout/resumeDialDivisor before the next slot,
	// or a period/resumePeriodDivisor if that is shorter, so that the next call can continue the watch in that slot.
	resumeDialDivisor   = 1
	resumePeriodDivisor = 4
	// maxHold is the longest hold of a call that the protocol allows, in nanoseconds.
	maxHold = 60e9
	// queueDialTimeouts is how long a call may wait in discovery's queue beyond its hold, in dial timeouts.
	queueDialTimeouts = 8
	// maxReadyWaitFraction is the part of the readiness deadline after which a limiter becomes ready without a list.
	maxReadyWaitFraction = 2. / 3
	// setbackThreshold is the fraction of the servers' full capacity below which a steady limiter returns to warming.
	setbackThreshold = 7. / 8
)

// Phase is a state of the start.
type Phase uint8

// The phases of a start.
const (
	// Starting is the phase before the limiter is ready.
	Starting Phase = iota
	// Syncing is ready, but discovery has not confirmed the list yet or has been silent past the notification deadline.
	Syncing
	// Warming has a confirmed list, many of whose servers are warming up.
	Warming
	// Steady has a confirmed list whose servers have nearly their full capacity.
	Steady
)

// String returns the phase's word in log lines.
func (p Phase) String() string { return [...]string{"starting", "syncing", "warming", "steady"}[p] }

// transitions lists the phases that may follow each phase. None returns to Starting: a limiter that has reported ready
// stays ready, and a restarted one creates a new Start.
var transitions = [...][]Phase{
	Starting: {Syncing},
	Syncing:  {Warming},
	Warming:  {Steady, Syncing},
	Steady:   {Warming, Syncing},
}

// Kind is the kind of an event.
type Kind uint8

// The kinds of events.
const (
	TimePassed     Kind = iota // nothing but the time has changed
	ListRestored               // a list was read from the configuration or a snapshot; it may be outdated
	CallMade                   // a call was sent to discovery
	ListReceived               // discovery answered with a list, which may have no changes
	CallThrottled              // discovery rejected the call because it is overloaded
	CallFailed                 // the call got no answer, or one that cannot be parsed
	DiscoveryMoved             // discovery has a new address
	SlotMissed                 // the slot of the next call has passed, see MissedSlot
)

// Server is a server of the list.
type Server struct {
	ID        string
	StartedAt int64 // time of its latest start in nanoseconds, 0 if that is long ago or unknown
	Draining  bool  // it is draining or gone and must get no new requests
}

// Event is the input of Step. Only ListRestored and ListReceived have a list.
type Event struct {
	Kind     Kind
	Complete bool // Servers is the complete list: servers missing from it are removed. False for changes only.
	Servers  []Server
}

// Start is the state of one limiter's start. It is not safe for concurrent use.
type Start struct {
	settings        Settings
	period          int64 // length of a period, 0 if lists are pushed
	slotOffset      int64 // start of this limiter's slot within a period
	startedAt       int64
	phase           Phase
	servers         []Server // sorted by ID
	hasList         bool     // servers is not empty
	answered        bool     // discovery has answered since the start
	nextSlot        int64    // time of the next call
	lastCall        int64    // time of the latest call, or the start before the first call
	retrying        bool     // no answer has come since a call failed
	completedCalls  int      // calls that have ended, with or without an answer
	missedSlots     int      // in a row
	spreadPeriods   float64  // number of periods from which the next slot is drawn
	unansweredSince int64    // time since which an answer is overdue, 0 if none is
	share           float64  // see Share
	Setbacks        int      // number of times the share was reduced by a new list
}

// New returns the state of a start at now. Errors: *SettingError.
func New(now int64, set Settings) (*Start, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	s := &Start{
		settings:      set,
		period:        set.Period(),
		startedAt:     now,
		share:         1,
		spreadPeriods: initialSpreadPeriods,
		lastCall:      now - 1,
	}
	s.slotOffset = int64(set.positionFraction() * float64(s.period))
	if set.PollInterval == 0 {
		s.nextSlot = now // polling the local agent costs nothing
		return s, nil
	}
	s.nextSlot = s.slotAtOrAfter(now)
	return s, nil
}

// positionFraction returns the offset of this limiter's slot as a fraction of a period, in [0, 1). Positions are
// ordered by the fractional part of their multiples of the golden ratio: limiters with adjacent positions, which share
// customers and are restarted together, poll far apart. The rank in that order is used rather than the fractional part
// itself, so that slots are evenly spaced for any fleet size.
func (s *Settings) positionFraction() float64 {
	if s.Position < 0 {
		return s.Jitter
	}
	golden := func(i int) float64 { _, fraction := math.Modf(float64(i) * math.Phi); return fraction }
	rank := 0
	for i := range s.Limiters {
		if golden(i) < golden(s.Position) {
			rank++
		}
	}
	return float64(rank) / float64(s.Limiters)
}

// Period returns the time in which each limiter may poll once, in nanoseconds: the number of limiters divided by the
// stated call rate. Without a stated rate it is the poll interval, divided by a whole number if the notification
// deadline requires more frequent polls. It is 0 if lists are pushed.
func (s *Settings) Period() int64 {
	switch {
	case s.PollInterval == 0:
		return 0
	case s.CallRate > 0:
		return max(int64(math.Ceil(float64(s.Limiters)/s.CallRate*1e9)), minPeriodDialTimeouts*s.DialTimeout)
	}
	answerBudget := s.NotificationDeadline - answerDialTimeouts*s.DialTimeout
	return s.PollInterval / ((s.PollInterval + answerBudget - 1) / answerBudget)
}

// slotAtOrAfter returns this limiter's first slot that is not before earliest. All limiters must use a clock with the
// same epoch, such as the system time.
func (s *Start) slotAtOrAfter(earliest int64) int64 {
	elapsed := (earliest - s.slotOffset) % s.period
	if elapsed < 0 {
		elapsed += s.period
	}
	if elapsed == 0 {
		return earliest
	}
	return earliest - elapsed + s.period
}

// Step applies one event at now. It is the only method that changes a Start.
func (s *Start) Step(now int64, e Event) {
	switch e.Kind {
	case ListRestored:
		s.mergeList(e)
	case SlotMissed:
		s.missedSlots, s.nextSlot = s.missedSlots+1, s.slotAtOrAfter(now)
	case CallMade:
		s.lastCall = now
		s.missedSlots = 0
		if hold, grace := s.HoldTime(now); s.unansweredSince == 0 {
			s.unansweredSince = now + hold + grace
		}
	case ListReceived:
		s.answered, s.unansweredSince, s.spreadPeriods, s.retrying = true, 0, max(
			initialSpreadPeriods,
			s.spreadPeriods*spreadDecay,
		), false
		s.mergeList(e)
		s.nextSlot = s.slotAfter(now)
	case CallThrottled:
		s.spreadPeriods = min(2*s.spreadPeriods, maxSpreadPeriods)
		s.callFailed(now)
	case CallFailed:
		s.callFailed(now)
	case DiscoveryMoved: // the notification deadline after a move is short, but a stated call rate takes precedence
		s.nextSlot = now
		if s.settings.PollInterval > 0 && s.settings.CallRate > 0 {
			s.nextSlot = s.slotAfter(now)
		}
	}
	s.advance(now)
}

// callFailed records a call without an answer. From then on the list may lack changes that count as delivered.
func (s *Start) callFailed(now int64) {
	s.unansweredSince = min(s.unansweredSince, now)
	if s.unansweredSince == 0 {
		s.unansweredSince = now
	}
	s.retrying = true
	s.nextSlot = s.slotAfter(now)
}

// retryPeriods returns the number of periods, at least 1, within which a retry must be sent so that the changes that
// discovery has when it recovers arrive by the notification deadline. LateNotificationError reports settings for which
// even 1 period is too long.
func (s *Settings) retryPeriods() int64 {
	return max(1, (s.NotificationDeadline-answerDialTimeouts*s.DialTimeout)/s.Period())
}

// slotAfter returns the time of the next call after one that has ended. If lists are polled that is a slot of this
// limiter after the one of the latest call. Repeated throttling shows that discovery sustains fewer calls than stated
// or implied; the slot is then drawn from several periods, by position and number of calls, so that fewer limiters call
// in each period, and different ones. With a stated call rate the slot is never so late that a retry would miss the
// notification deadline.
func (s *Start) slotAfter(now int64) int64 {
	if s.settings.PollInterval == 0 {
		return now
	}
	s.completedCalls++
	_, fraction := math.Modf(s.settings.positionFraction() + float64(s.completedCalls)*math.Phi)
	slot, spread := s.slotAtOrAfter(max(now, s.lastCall+1)), s.spreadPeriods
	if s.settings.CallRate > 0 {
		periods := (s.lastCall+s.settings.retryPeriods()*s.period-slot)/s.period + 1
		spread = min(spread, float64(max(1, periods)))
	}
	return slot + int64(fraction*spread)*s.period
}

// mergeList updates the servers from a list. The latest known start of a server is kept if the list has an earlier one.
func (s *Start) mergeList(e Event) {
	if e.Complete {
		listed := map[string]bool{}
		for _, v := range e.Servers {
			listed[v.ID] = true
		}
		s.servers = slices.DeleteFunc(s.servers, func(v Server) bool { return !listed[v.ID] })
	}
	for _, v := range e.Servers {
		i, found := slices.BinarySearchFunc(
			s.servers,
			v.ID,
			func(a Server, id string) int { return cmp.Compare(a.ID, id) },
		)
		switch {
		case found && v.Draining:
			s.servers = slices.Delete(s.servers, i, i+1)
		case found:
			s.servers[i].StartedAt = max(s.servers[i].StartedAt, v.StartedAt)
		case !v.Draining:
			s.servers = slices.Insert(s.servers, i, v)
		}
	}
	s.hasList = len(s.servers) > 0
}

// advance updates the phase and the share to now.
func (s *Start) advance(now int64) {
	if s.phase == Starting && now >= s.ReadyAt() {
		s.transitionTo(Syncing)
	}
	if s.phase == Starting {
		return
	}
	stale := !s.answered || s.unansweredSince != 0 && now > s.unansweredSince+s.settings.NotificationDeadline
	capacity := s.capacityFraction(now)
	switch {
	case stale && s.phase != Syncing:
		s.transitionTo(Syncing)
	case !stale && s.phase == Syncing:
		s.transitionTo(Warming)
	case !stale && s.phase == Steady && capacity < setbackThreshold:
		s.transitionTo(Warming)
	}
	if s.phase == Steady {
		capacity = 1 // the rotation already gives the few cold servers fewer turns
	}
	if capacity < s.share {
		s.Setbacks++
	}
	s.share = capacity
	if s.phase == Warming && capacity == 1 {
		s.transitionTo(Steady)
	}
}

func (s *Start) transitionTo(to Phase) {
	if !slices.Contains(transitions[s.phase], to) {
		panic(fmt.Sprintf("coldstart: invalid transition from %s to %s", s.phase, to))
	}
	s.phase = to
}

// capacityFraction returns the capacity that the listed servers are certain to have at now, as a fraction of their
// capacity when warm. All limiters apply the same fraction, so a fleet that starts together does not exceed the
// capacity of its servers; if all servers are cold the fraction is ColdCapacity. It is 1 if there are no servers.
func (s *Start) capacityFraction(now int64) float64 {
	sum := 0.0
	for _, v := range s.servers {
		if v.StartedAt == 0 || now >= v.StartedAt+s.settings.SlowStartWindow {
			sum++
			continue
		}
		fraction := float64(max(0, now-v.StartedAt)) / float64(s.settings.SlowStartWindow)
		sum += s.settings.ColdCapacity + (1-s.settings.ColdCapacity)*fraction
	}
	if len(s.servers) == 0 || sum == float64(len(s.servers)) {
		return 1
	}
	return sum / float64(len(s.servers))
}

// Phase returns the phase as of the latest Step.
func (s *Start) Phase() Phase { return s.phase }

// Share returns the part of the servers' warm capacity that is certain to be available, in (0, 1], as of the latest
// Step. It is 1 in Steady.
func (s *Start) Share() float64 { return s.share }

// NextSlot returns the time of the next call to discovery. It has no meaning while a call is in flight or if lists are
// pushed.
func (s *Start) NextSlot() int64 { return s.nextSlot }

// MissedSlot reports whether the slot of the next call has passed by more than its length, so that a call at now would
// fall into the slot of another limiter. Limiters that were suspended and resume together would otherwise all call at
// once. After maxMissedSlots missed slots in a row it returns false, so that a limiter that is always late still calls.
func (s *Start) MissedSlot(now int64) bool {
	return s.settings.PollInterval > 0 && s.missedSlots < maxMissedSlots &&
		now > s.nextSlot+s.period/int64(s.settings.Limiters)
}

// HoldTime returns how long discovery may hold a call that is sent at now, and how much longer its answer may take, in
// nanoseconds. A call is held until shortly before this limiter's last slot within the poll interval, or its next slot
// if that is later. A change ends the hold at once; without one the next call continues the watch. A retry is held only
// as long as the notification deadline for changes made before discovery recovered allows.
func (s *Start) HoldTime(now int64) (hold, grace int64) {
	if s.settings.PollInterval == 0 || !s.hasList {
		return 0, queueDialTimeouts * s.settings.DialTimeout
	}
	within := s.settings.PollInterval
	if s.retrying && s.settings.CallRate > 0 {
		within = min(within, s.settings.NotificationDeadline-answerDialTimeouts*s.settings.DialTimeout)
	}
	until := s.slotAtOrAfter(now + 1 + max(0, within-s.period))
	return max(0, min(until-now-s.resumeLead(), maxHold)), queueDialTimeouts * s.settings.DialTimeout
}

// resumeLead returns how long before a slot a held call returns.
func (s *Start) resumeLead() int64 {
	return min(s.settings.DialTimeout/resumeDialDivisor, s.period/resumePeriodDivisor)
}

// ResponseTimeout returns the response timeout of a call that is sent at now and may be held for hold, in nanoseconds.
// The call times out just before the last slot in which the next call still delivers the changes missed by this one
// before the notification deadline. If there is no such slot after the hold, it times out just before the first slot
// after the hold.
func (s *Start) ResponseTimeout(now, hold int64) int64 {
	notifiedAt := now + s.settings.NotificationDeadline
	if hold > 0 && !s.retrying {
		notifiedAt = max(notifiedAt, now+hold+s.settings.NotificationDeadline/holdDeadlineDivisor)
	}
	margin := s.resumeLead() / timeoutMarginDivisor
	lastSlot := s.slotAtOrAfter(notifiedAt-answerDialTimeouts*s.settings.DialTimeout+1) - s.period
	return max(lastSlot, s.slotAtOrAfter(now+hold+margin+1)) - margin - now
}

// ReadyAt returns the time at which the limiter becomes ready, as far as is known now. With a list, however old, it
// waits until its parts of the ceilings are filled, and for the first answer of discovery for up to a dial timeout.
// Without a list it could only reject requests, so it waits for one until maxReadyWaitFraction of the readiness
// deadline.
func (s *Start) ReadyAt() int64 {
	deadline := s.startedAt + int64(maxReadyWaitFraction*float64(s.settings.ReadinessDeadline))
	if s.answered {
		return min(s.startedAt+s.settings.CeilingLeadTime, deadline)
	}
	if s.hasList {
		return min(s.startedAt+max(s.settings.CeilingLeadTime, s.settings.DialTimeout), deadline)
	}
	return deadline
}
