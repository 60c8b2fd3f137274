// Package coldstart holds the state and the rules of one limiter's start, among hundreds that may start within the
// same second with nothing but the list of their configuration. It does no I/O: the caller tells what happened with
// the clock in nanoseconds, and reads off when to ask the list service, whether clients may come, and what share to
// send.
//
// What all limiters do together is bounded without a word between them. All read one clock, so it is cut into periods
// of the same length at all of them, and each limiter owns one slot of a period, by its place. It calls the list
// service at that slot or not at all. How often limiters are killed and started again adds nothing: whoever comes
// back finds its own slot. (docs/coldstart.md has the options weighed and the arithmetic.)
package coldstart

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Settings are what a start is computed from; times are nanoseconds. Every other figure here is a ratio to one of them.
type Settings struct {
	Limiters        int
	Position        int     // this limiter's number among them, from 0; below 0 where it is not given
	Jitter          float64 // in [0, 1), drawn at the start, in the place of a number that is not given
	DialTimeout     int64
	PollInterval    int64 // the longest time between calls where lists are asked for, 0 where they are pushed
	ColdCapacity    float64
	SlowStartWindow int64
	// what a silent list service has to tell counts as notified so long after the silence began
	NotificationDeadline int64
	ReadinessDeadline    int64 // a limiter that is not ready by then after its start has failed
	CeilingLeadTime      int64 // how long this limiter's parts of the ceilings fill before clients should come
	// calls a second that the list service bears from all limiters, 0 where that is not stated
	CallRate float64
	// new connections a second that a server bears from all limiters, 0 where that is not stated
	ConnectionRate float64
}

const (
	// answerDialTimeouts is how many dial time-outs after a call's slot its answer has come, where all is well.
	answerDialTimeouts = 2
	// minPeriodDialTimeouts: a period is so many dial time-outs at least. However much is borne, more brings no news.
	minPeriodDialTimeouts = 1
	// initialSpreadPeriods is the number of periods from which the next slot is drawn: less than one, so that a single call
	// that is throttled changes nothing.
	initialSpreadPeriods = 1. / 2
	// maxSpreadPeriods bounds that number, which doubles with each throttled call in a row.
	maxSpreadPeriods = 4
	// spreadDecay is the factor on that number for each call that is answered.
	spreadDecay = 7. / 8
	// holdDeadlineDivisor: what a call that may be held missed counts as notified this part of the notification deadline
	// after its hold, if that is later.
	holdDeadlineDivisor = 3
	// timeoutMarginDivisor: a call is given up this part of the resume lead before a slot.
	timeoutMarginDivisor = 8
	// maxMissedSlots: after so many missed slots in a row a limiter calls however late it is.
	maxMissedSlots = 4
	// resumeDialDivisor: a held call comes back this part of a dial time-out before the next slot,
	resumeDialDivisor = 1
	// resumePeriodDivisor: or this part of a period if that is less, so that the next call goes on with the watch.
	resumePeriodDivisor = 4
	// maxHold is the longest time that the protocol holds a call, nanoseconds.
	maxHold = 60e9
	// queueDialTimeouts is how many dial time-outs a call is waited for beyond its hold, where it stands in a queue.
	queueDialTimeouts = 8
	// maxReadyWaitFraction is the part of the readiness deadline after which a limiter waits for no list any more.
	maxReadyWaitFraction = 2. / 3
	// setbackThreshold: with less than this share of what its servers can do for sure a limiter goes back to warming.
	setbackThreshold = 7. / 8
)

// Phase is how far a start has come.
type Phase uint8

// The phases of a start.
const (
	// Starting is not ready.
	Starting Phase = iota
	// Syncing is ready with a list that nobody has confirmed, or whose service has gone silent.
	Syncing
	// Warming has a confirmed list, of which many servers are warming up.
	Warming
	// Steady has a confirmed list, whose servers have their whole capacity.
	Steady
)

// String gives the word for log lines.
func (p Phase) String() string { return [...]string{"starting", "syncing", "warming", "steady"}[p] }

// transitions are the only ways from phase to phase. Nothing leads back to starting: a limiter that has said that it is ready
// stays so, and one that was killed begins a new Start.
var transitions = [...][]Phase{
	Starting: {Syncing},
	Syncing:  {Warming},
	Warming:  {Steady, Syncing},
	Steady:   {Warming, Syncing},
}

// Kind says what happened.
type Kind uint8

// The kinds of events.
const (
	TimePassed     Kind = iota // time has passed
	ListRestored               // a list from the configuration or the disk, which may be old
	CallMade                   // a call has gone out to the list service
	ListReceived               // with a list, perhaps with no changes
	CallThrottled              // turned away: the service has too much to do
	CallFailed                 // no answer, or one that cannot be read
	DiscoveryMoved             // the service has moved to another address
	SlotMissed                 // the slot of a call has passed, see MissedSlot
)

// Server is what a start knows of one server.
type Server struct {
	ID        string
	StartedAt int64 // its latest start, 0 for long ago
	Leaving   bool  // it is to get no more requests
}

// Event is what has happened; Servers and Whole go with lists: only with Whole is what a list does not name gone.
type Event struct {
	Kind    Kind
	Whole   bool
	Servers []Server
}

// Start is the state of one limiter's start. It is not safe for concurrent use.
type Start struct {
	settings        Settings
	period          int64
	slotOffset      int64 // of this limiter's slot in a period
	startedAt       int64
	phase           Phase
	servers         []Server // by ID
	hasList         bool     // some list is held
	answered        bool     // the service has answered since the start
	nextSlot        int64    // the slot of the next call
	lastCall        int64    // the slot of the latest call, the start before there is one
	retrying        bool     // no answer has come since a call failed
	completedCalls  int      // that have ended
	missedSlots     int      // slots in a row that were slept through
	spreadPeriods   float64  // the periods from which the next slot is drawn
	unansweredSince int64    // since when the service owes an answer, 0 while it does not
	share           float64  // while Warming, as of the latest Step
	Setbacks        int      // how often a list has thrown the share back
}

// New begins a start at now. Errors: see Settings.Check.
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
		s.nextSlot = now // the agent is asked at no cost
		return s, nil
	}
	s.nextSlot = s.slotAtOrAfter(now)
	return s, nil
}

// positionFraction is this limiter's place in a period, in [0, 1). Places go by steps of the golden section, so that
// limiters next to each other in number, which share customers and are restarted together, ask far apart; they go by
// rank among those of all limiters, so that they are evenly apart at every size.
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

// Period is the time in which each limiter may call once, 0 where lists are pushed: limiters over budget. Where no
// budget is stated it is what the settings imply: limiters over ask-every, or a whole number of times that where the
// list's clock asks for more.
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

// slotAtOrAfter is the first of this limiter's slots that is not before a time. What the caller's clock counts from must
// be the same at all limiters: the system's time is.
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

// Step takes one event. It is the only function that changes a Start.
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
	case DiscoveryMoved: // what the new address has to tell counts as notified soon; a stated budget goes before that
		s.nextSlot = now
		if s.settings.PollInterval > 0 && s.settings.CallRate > 0 {
			s.nextSlot = s.slotAfter(now)
		}
	}
	s.advance(now)
}

// callFailed notes a call without an answer: since its service owes one, the list may be older than it counts as
// notified.
func (s *Start) callFailed(now int64) {
	s.unansweredSince = min(s.unansweredSince, now)
	if s.unansweredSince == 0 {
		s.unansweredSince = now
	}
	s.retrying = true
	s.nextSlot = s.slotAfter(now)
}

// retryPeriods is the number of periods within which a call behind a failed one has to go out, 1 at least: then what
// the service has when it can be reached again is here before it counts as notified, unless LateNotificationError says
// otherwise.
func (s *Settings) retryPeriods() int64 {
	return max(1, (s.NotificationDeadline-answerDialTimeouts*s.DialTimeout)/s.Period())
}

// slotAfter is when the next call goes out behind one that has ended. Where lists are asked for that is a slot of this
// limiter's behind that of the latest call. Calls that are throttled again and again say that the service bears less
// than was stated or implied: then it is drawn from several periods, by place, so that fewer limiters ask in a period,
// and others in each. Where a budget is stated that is from no more periods than keep the deadline of what the service
// has.
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

// mergeList draws a list in. A server of which a later start is known than the list tells keeps that.
func (s *Start) mergeList(e Event) {
	if e.Whole {
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
		case found && v.Leaving:
			s.servers = slices.Delete(s.servers, i, i+1)
		case found:
			s.servers[i].StartedAt = max(s.servers[i].StartedAt, v.StartedAt)
		case !v.Leaving:
			s.servers = slices.Insert(s.servers, i, v)
		}
	}
	s.hasList = len(s.servers) > 0
}

// advance moves along the edges as far as things stand now.
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
		capacity = 1 // a few cold servers are the rotation's matter: their turns are fewer
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
		panic(fmt.Sprintf("a start goes from %s to %s", s.phase, to))
	}
	s.phase = to
}

// capacityFraction is the share of what the listed servers can do warm that they can do for sure at a time. A server that
// is cold when all limiters begin gets its part of the sum of them all: with all of them cold each limiter begins with
// cold-from.
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

// Phase is how far the start has come, as of the latest Step.
func (s *Start) Phase() Phase { return s.phase }

// Share is the share of its part that the limiter sends, in (0, 1], as of the latest Step.
func (s *Start) Share() float64 { return s.share }

// NextSlot is when the list service is to be asked next; while a call is out, and where lists are pushed, it tells
// nothing.
func (s *Start) NextSlot() int64 { return s.nextSlot }

// MissedSlot tells whether the slot of the next call has passed so long ago that a call now would be at another's.
// All that were stopped for a while and go on together would call at once. One that is always late calls late, once it
// has missed a few.
func (s *Start) MissedSlot(now int64) bool {
	return s.settings.PollInterval > 0 && s.missedSlots < maxMissedSlots &&
		now > s.nextSlot+s.period/int64(s.settings.Limiters)
}

// HoldTime is how long a call that goes out at now lets the service hold it, and how long after that it is given up.
// It is held up to the last slot of this limiter within ask-every, or to the next one if that is later: news comes
// at once meanwhile, and where there is none the next call goes on with the watch. A retry is held within the deadline
// of what the service has when it can be reached again.
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

// resumeLead is how long before a slot a held call comes back.
func (s *Start) resumeLead() int64 {
	return min(s.settings.DialTimeout/resumeDialDivisor, s.period/resumePeriodDivisor)
}

// ResponseTimeout is after how long a call that goes out at now and may wait for hold is given up if it is still
// unanswered: just before the last slot from which the next call brings what this one missed before it counts as
// told, or before the first slot behind the hold where that one is too late as well.
func (s *Start) ResponseTimeout(now, hold int64) int64 {
	notifiedAt := now + s.settings.NotificationDeadline
	if hold > 0 && !s.retrying {
		notifiedAt = max(notifiedAt, now+hold+s.settings.NotificationDeadline/holdDeadlineDivisor)
	}
	margin := s.resumeLead() / timeoutMarginDivisor
	lastSlot := s.slotAtOrAfter(notifiedAt-answerDialTimeouts*s.settings.DialTimeout+1) - s.period
	return max(lastSlot, s.slotAtOrAfter(now+hold+margin+1)) - margin - now
}

// ReadyAt is when the limiter says that it is ready, as things stand. With a list, however old, it waits for its parts
// of the ceilings and for its first word from the list service, which it does not wait for longer than a connection
// takes; with none it would only turn requests away, so it waits for one, though not for ever.
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
