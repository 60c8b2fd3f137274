// Package coldstart holds the state and the rules of one limiter's start, among hundreds that may start within the same
// second with nothing but the list of their configuration. It does no I/O: the caller tells what happened with the clock
// in nanoseconds, and reads off when to ask the list service, whether clients may come, and what share to send.
//
// What all limiters do together is bounded without a word between them. All read one clock, so it is cut into rounds of
// the same length at all of them, and each limiter owns one instant of a round, by its place. It calls the list service at
// that instant or not at all. How often limiters are killed and started again adds nothing: whoever comes back finds its
// own instant. (docs/coldstart.md has the options weighed and the arithmetic.)
package coldstart

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Settings are what a start is computed from; times are nanoseconds. Every other figure here is a ratio to one of them.
type Settings struct {
	Limiters             int
	Position             int     // this limiter's number among them, from 0; below 0 where it is not told
	Jitter               float64 // in [0, 1), drawn at the start, in the place of a number that is not told
	DialTimeout          int64
	PollInterval         int64 // the longest time between calls where lists are asked for, 0 where they are pushed
	ColdCapacity         float64
	SlowStartWindow      int64
	NotificationDeadline int64   // what a silent list service has to tell counts as told so long after the silence began
	ReadinessDeadline    int64   // a limiter that is not ready by then after its start has failed
	CeilingLeadTime      int64   // how long this limiter's parts of the ceilings fill before clients should come
	CallRate             float64 // calls a second that the list service bears from all limiters, 0 where that is not stated
	ConnectionRate       float64 // new connections a second that a server bears from all limiters, 0 where that is not stated
}

const (
	answerTime   = 2      // dial time-outs from a call's instant until its answer has come, where all is well
	leastRound   = 1      // a round is so many dial time-outs at least: however much is borne, more brings no news
	spreadFrom   = 1. / 2 // one call that is turned away changes nothing,
	spreadMost   = 4      // after further ones in a row the next instant is drawn from so many rounds at most,
	spreadLess   = 7. / 8 // and from so much less with each call that is answered
	toldWait     = 3      // what a call that may wait missed counts as told this part of told after its wait, if that is later
	early        = 8      // a call is given up this part of what a held one comes back before an instant before that instant
	missedMost   = 4      // after so many instants slept through a limiter calls however late it is
	resume       = 1      // a held call comes back this part of a dial time-out before the next instant, or a quarter
	resumeMost   = 4      // of a round if that is less, so that the next call goes on with the watch
	mostHold     = 60e9   // the protocol holds no call for longer
	queue        = 8      // dial time-outs for which a call is waited for beyond its hold: it stands in a queue
	readyMost    = 2. / 3 // of the time in which it has to be ready it waits no longer than this part
	setbackBelow = 7. / 8 // with less than this share of what its servers can do for sure a limiter is thrown back
)

// Phase is how far a start has come.
type Phase uint8

const (
	Starting Phase = iota // not ready
	Syncing               // ready with a list that nobody has confirmed, or whose service has gone silent
	Warming               // the list is confirmed, and many of its servers are cold
	Steady                // the list is confirmed, and its servers can do what they are there for
)

func (p Phase) String() string { return [...]string{"starting", "syncing", "warming", "steady"}[p] }

// edges are the only ways from phase to phase. Nothing leads back to starting: a limiter that has said that it is ready
// stays so, and one that was killed begins a new Start.
var edges = [...][]Phase{Starting: {Syncing}, Syncing: {Warming}, Warming: {Steady, Syncing}, Steady: {Warming, Syncing}}

// Kind says what happened.
type Kind uint8

const (
	TimePassed     Kind = iota // time has passed
	ListRestored               // a list from the configuration or the disk, which may be old
	CallMade                   // a call has gone out to the list service
	ListReceived               // with a list, perhaps with no changes
	CallThrottled              // turned away: the service has too much to do
	CallFailed                 // no answer, or one that cannot be read
	DiscoveryMoved             // the service has moved to another address
	SlotMissed                 // the instant of a call has passed, see Overslept
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
	set      Settings
	round    int64
	offset   int64 // of this limiter's instant in a round
	began    int64
	phase    Phase
	servers  []Server // by ID
	listed   bool     // some list is held
	heard    bool     // the service has answered since the start
	next     int64    // the instant of the next call
	last     int64    // the instant of the latest call, the start before there is one
	retry    bool     // no answer has come since a call failed
	calls    int      // that have ended
	missed   int      // instants in a row that were slept through
	spread   float64  // the rounds from which the next instant is drawn
	silent   int64    // since when the service owes an answer, 0 while it does not
	share    float64  // while Warming, as of the latest Step
	Setbacks int      // how often a list has thrown the share back
}

// New begins a start at now. Errors: see Settings.Check.
func New(now int64, set Settings) (*Start, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	s := &Start{set: set, round: set.Period(), began: now, share: 1, spread: spreadFrom, last: now - 1}
	s.offset = int64(set.fraction() * float64(s.round))
	if set.PollInterval == 0 {
		s.next = now // the agent is asked at no cost
		return s, nil
	}
	s.next = s.instant(now)
	return s, nil
}

// fraction is this limiter's place in a round, in [0, 1). Places go by steps of the golden section, so that limiters next
// to each other in number, which share customers and are restarted together, ask far apart; they go by rank among
// those of all limiters, so that they are evenly apart at every size.
func (s *Settings) fraction() float64 {
	if s.Position < 0 {
		return s.Jitter
	}
	golden := func(i int) float64 { _, part := math.Modf(float64(i) * math.Phi); return part }
	rank := 0
	for i := range s.Limiters {
		if golden(i) < golden(s.Position) {
			rank++
		}
	}
	return float64(rank) / float64(s.Limiters)
}

// Period is the time in which each limiter may call once, 0 where lists are pushed: limiters over budget. Where no budget is
// stated it is what the settings imply: limiters over ask-every, or a whole number of times that where the list's clock asks
// for more.
func (s *Settings) Period() int64 {
	switch {
	case s.PollInterval == 0:
		return 0
	case s.CallRate > 0:
		return max(int64(math.Ceil(float64(s.Limiters)/s.CallRate*1e9)), leastRound*s.DialTimeout)
	}
	in := s.NotificationDeadline - answerTime*s.DialTimeout
	return s.PollInterval / ((s.PollInterval + in - 1) / in)
}

// instant is the first of this limiter's instants that is not before a time. What the caller's clock counts from must be
// the same at all limiters: the system's time is.
func (s *Start) instant(from int64) int64 {
	in := (from - s.offset) % s.round
	if in < 0 {
		in += s.round
	}
	if in == 0 {
		return from
	}
	return from - in + s.round
}

// Step takes one event. It is the only function that changes a Start.
func (s *Start) Step(now int64, e Event) {
	switch e.Kind {
	case ListRestored:
		s.take(e)
	case SlotMissed:
		s.missed, s.next = s.missed+1, s.instant(now)
	case CallMade:
		s.last = now
		s.missed = 0
		if hold, more := s.HoldTime(now); s.silent == 0 {
			s.silent = now + hold + more
		}
	case ListReceived:
		s.heard, s.silent, s.spread, s.retry = true, 0, max(spreadFrom, s.spread*spreadLess), false
		s.take(e)
		s.next = s.after(now)
	case CallThrottled:
		s.spread = min(2*s.spread, spreadMost)
		s.fail(now)
	case CallFailed:
		s.fail(now)
	case DiscoveryMoved: // what the new address has to tell counts as told soon; a stated budget goes before that
		s.next = now
		if s.set.PollInterval > 0 && s.set.CallRate > 0 {
			s.next = s.after(now)
		}
	}
	s.proceed(now)
}

// fail notes a call without an answer: since its service owes one, the list may be older than it counts as told.
func (s *Start) fail(now int64) {
	s.silent = min(s.silent, now)
	if s.silent == 0 {
		s.silent = now
	}
	s.retry = true
	s.next = s.after(now)
}

// retryRounds is the number of rounds within which a call behind a failed one has to go out, 1 at least: then what the service has
// when it can be reached again is here before it counts as told, unless the settings are Late.
func (s *Settings) retryRounds() int64 {
	return max(1, (s.NotificationDeadline-answerTime*s.DialTimeout)/s.Period())
}

// after is when the next call goes out behind one that has ended. Where lists are asked for that is an instant of this
// limiter's behind that of the latest call. Calls that are turned away again and again say that the service bears less than
// was stated or implied: then it is drawn from several rounds, by place, so that fewer limiters ask in a round, and others
// in each. Where a budget is stated that is from no more rounds than keep the deadline of what the service has.
func (s *Start) after(now int64) int64 {
	if s.set.PollInterval == 0 {
		return now
	}
	s.calls++
	_, part := math.Modf(s.set.fraction() + float64(s.calls)*math.Phi)
	at, spread := s.instant(max(now, s.last+1)), s.spread
	if s.set.CallRate > 0 {
		rounds := (s.last+s.set.retryRounds()*s.round-at)/s.round + 1
		spread = min(spread, float64(max(1, rounds)))
	}
	return at + int64(part*spread)*s.round
}

// take draws a list in. A server of which a later start is known than the list tells keeps that.
func (s *Start) take(e Event) {
	if e.Whole {
		named := map[string]bool{}
		for _, v := range e.Servers {
			named[v.ID] = true
		}
		s.servers = slices.DeleteFunc(s.servers, func(v Server) bool { return !named[v.ID] })
	}
	for _, v := range e.Servers {
		i, found := slices.BinarySearchFunc(s.servers, v.ID, func(a Server, id string) int { return cmp.Compare(a.ID, id) })
		switch {
		case found && v.Leaving:
			s.servers = slices.Delete(s.servers, i, i+1)
		case found:
			s.servers[i].StartedAt = max(s.servers[i].StartedAt, v.StartedAt)
		case !v.Leaving:
			s.servers = slices.Insert(s.servers, i, v)
		}
	}
	s.listed = len(s.servers) > 0
}

// proceed moves along the edges as far as things stand now.
func (s *Start) proceed(now int64) {
	if s.phase == Starting && now >= s.ReadyAt() {
		s.move(Syncing)
	}
	if s.phase == Starting {
		return
	}
	gone := !s.heard || s.silent != 0 && now > s.silent+s.set.NotificationDeadline
	sure := s.sure(now)
	switch {
	case gone && s.phase != Syncing:
		s.move(Syncing)
	case !gone && s.phase == Syncing:
		s.move(Warming)
	case !gone && s.phase == Steady && sure < setbackBelow:
		s.move(Warming)
	}
	if s.phase == Steady {
		sure = 1 // a few cold servers are the rotation's matter: their turns are fewer
	}
	if sure < s.share {
		s.Setbacks++
	}
	s.share = sure
	if s.phase == Warming && sure == 1 {
		s.move(Steady)
	}
}

func (s *Start) move(to Phase) {
	if !slices.Contains(edges[s.phase], to) {
		panic(fmt.Sprintf("a start goes from %s to %s", s.phase, to))
	}
	s.phase = to
}

// sure is the share of what the listed servers can do warm that they can do for sure at a time. A server that is cold
// when all limiters begin gets its part of the sum of them all: with all of them cold each limiter begins with cold-from.
func (s *Start) sure(now int64) float64 {
	sum := 0.0
	for _, v := range s.servers {
		if v.StartedAt == 0 || now >= v.StartedAt+s.set.SlowStartWindow {
			sum++
			continue
		}
		part := float64(max(0, now-v.StartedAt)) / float64(s.set.SlowStartWindow)
		sum += s.set.ColdCapacity + (1-s.set.ColdCapacity)*part
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

// NextSlot is when the list service is to be asked next; while a call is out, and where lists are pushed, it tells nothing.
func (s *Start) NextSlot() int64 { return s.next }

// MissedSlot tells whether the instant of the next call has passed so long ago that a call now would be at another's. All that
// were stopped for a while and go on together would call at once. One that is always late calls late, once it has missed a few.
func (s *Start) MissedSlot(now int64) bool {
	return s.set.PollInterval > 0 && s.missed < missedMost && now > s.next+s.round/int64(s.set.Limiters)
}

// HoldTime is how long a call that goes out at now lets the service hold it, and how long after that it is given up.
// It is held up to the last instant of this limiter within ask-every, or to the next one if that is later: news comes at
// once meanwhile, and where there is none the next call goes on with the watch. A retry is held within the deadline of what the
// service has when it can be reached again.
func (s *Start) HoldTime(now int64) (hold, more int64) {
	if s.set.PollInterval == 0 || !s.listed {
		return 0, queue * s.set.DialTimeout
	}
	within := s.set.PollInterval
	if s.retry && s.set.CallRate > 0 {
		within = min(within, s.set.NotificationDeadline-answerTime*s.set.DialTimeout)
	}
	until := s.instant(now + 1 + max(0, within-s.round))
	return max(0, min(until-now-s.lead(), mostHold)), queue * s.set.DialTimeout
}

// lead is how long before an instant a held call comes back.
func (s *Start) lead() int64 { return min(s.set.DialTimeout/resume, s.round/resumeMost) }

// ResponseTimeout is after how long a call that goes out at now and may wait for hold is given up if it is still unanswered: just before the
// last instant from which the next call brings what this one missed before it counts as told, or before the first instant behind the
// hold where that one is too late as well.
func (s *Start) ResponseTimeout(now, hold int64) int64 {
	told := now + s.set.NotificationDeadline
	if hold > 0 && !s.retry {
		told = max(told, now+hold+s.set.NotificationDeadline/toldWait)
	}
	spare := s.lead() / early
	last := s.instant(told-answerTime*s.set.DialTimeout+1) - s.round
	return max(last, s.instant(now+hold+spare+1)) - spare - now
}

// ReadyAt is when the limiter says that it is ready, as things stand. With a list, however old, it waits for its parts of the
// ceilings and for its first word from the list service, which it does not wait for longer than a connection takes;
// with none it would only turn requests away, so it waits for one, though not for ever.
func (s *Start) ReadyAt() int64 {
	bound := s.began + int64(readyMost*float64(s.set.ReadinessDeadline))
	if s.heard {
		return min(s.began+s.set.CeilingLeadTime, bound)
	}
	if s.listed {
		return min(s.began+max(s.set.CeilingLeadTime, s.set.DialTimeout), bound)
	}
	return bound
}
