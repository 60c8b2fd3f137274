package limiter

import (
	"io"
	"log"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/pollpacer"
)

// fault is how discovery fails while it is down.
type fault uint8

const (
	refusing    fault = iota // dials are refused
	unanswering              // dials are never answered
	turning                  // calls are answered with 503
	cutting                  // answers are broken off in the middle
	stopping                 // answers stop behind their headers
	ignoring                 // calls are not answered, until the limiter gives them up
	hanging                  // the watch is broken off, and then calls are not answered
)

func (f fault) String() string {
	return [...]string{"refusing", "unanswering", "turning", "cutting", "stopping", "ignoring", "hanging"}[f]
}

const (
	downFrom    = second / 2 // when the outage begins
	offset      = second / 10
	never       = 1000 * second
	outageGrace = second / 4 // what the agent on the own machine has is acted on within this
)

// outage is a stand-in for discovery on a virtual clock. It fails from downFrom until some time near a retry of the
// limiter, and has its one server drain from then on. Calls from before that are never answered.
type outage struct {
	l     *Limiter
	w     *fakeSockets
	fault fault
	// the retry, counted from 1, near which discovery comes back; 0 is soon after the outage began, below 0 none
	retry  int
	shift  int64 // so long after that retry is due it does, where above 0, or before it
	moves  int   // the retry before which discovery moves by SIGHUP, 0 for never
	movers bool  // and the new address is not down
	back   int64
	moved  int64
	failed int    // retries that have come to be due
	again  *timer // the latest of them
	last   ConnID // the latest connection that was looked at
	open   map[ConnID]*held
	ended  bool // the outage has ended a watch
}

// play runs the limiter until it has acted on the drain, and tells when that was.
func (o *outage) play() int64 {
	o.back, o.moved = never, never
	if o.retry == 0 {
		o.back = downFrom + offset
	}
	broken := false
	for now := int64(0); now < never; now = max(now, min(o.w.wake, o.next(now))) {
		o.l.Step(now, TimersDue{})
		if now >= o.moved {
			o.move(now)
		}
		o.accept(now)
		if now >= downFrom && !broken {
			broken = true
			o.breakWatch(now)
		}
		for _, id := range o.ids() {
			o.serve(now, id)
		}
		o.accept(now)
		o.look(now)
		if o.l.servers.pools["s"] == nil || o.l.servers.pools["s"].draining {
			return now
		}
	}
	return never
}

func (o *outage) down(now int64) bool { return now >= downFrom && now < o.back }

// next is when the stand-in has something to do.
func (o *outage) next(now int64) int64 {
	at := never
	for _, t := range []int64{downFrom, o.back, o.moved} {
		if t > now {
			at = min(at, t)
		}
	}
	for _, id := range o.ids() {
		if h := o.open[id]; h.due > now {
			at = min(at, h.due)
		}
	}
	return at
}

// ids are the connections that are up, in order.
func (o *outage) ids() (ids []ConnID) {
	for id := range o.open {
		if !slices.Contains(o.w.closed, id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// accept answers the dials.
func (o *outage) accept(now int64) {
	for o.last < o.w.last {
		o.last++
		switch id := o.last; {
		case !strings.HasPrefix(o.w.dialed[id], "disco"):
		case o.down(now) && o.fault == refusing:
			o.l.Step(now, ConnClosed{Conn: id, Reason: ConnRefused})
		case o.down(now) && o.fault == unanswering:
		default:
			o.open[id] = &held{}
			o.l.Step(now, Connected{Conn: id})
		}
	}
}

// breakWatch ends the watch that is out as the outage begins, where the fault does not answer it.
func (o *outage) breakWatch(now int64) {
	for _, id := range o.ids() {
		if o.open[id].due = 0; o.fault == refusing || o.fault == unanswering || o.fault == hanging {
			delete(o.open, id)
			o.ended = true
			o.l.Step(now, ConnClosed{Conn: id, Reason: PeerReset})
		} else {
			o.fail(now, id)
		}
	}
}

// fail answers a call as the fault has it.
func (o *outage) fail(now int64, id ConnID) {
	switch whole := httpAnswer(before); o.fault {
	case turning:
		o.w.say(o.l, now, id, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	case cutting:
		o.w.say(o.l, now, id, whole[:len(whole)-20])
		delete(o.open, id)
		o.l.Step(now, ConnClosed{Conn: id, Reason: PeerReset})
	case stopping:
		o.w.say(o.l, now, id, whole[:strings.Index(whole, "\r\n\r\n")+4])
	}
}

func (o *outage) serve(now int64, id ConnID) {
	h := o.open[id]
	if asked := o.w.wrote[id][h.wrote:]; asked != "" {
		h.wrote = len(o.w.wrote[id])
		if o.down(now) {
			o.fail(now, id)
			return
		}
		h.due = max(now, offset)
		if m := asksFor.FindStringSubmatch(asked); m != nil && now > 0 {
			hold, _ := strconv.ParseInt(m[2], 10, 64)
			h.due = now + hold*1e6
		}
		h.whole = true
	}
	if news := now >= o.back && h.whole; h.due == 0 || now < h.due && !news {
		return
	}
	h.due, h.whole = 0, false
	body := `{"generation":7,"instances":[]}`
	if now >= o.back {
		body = after
	}
	o.w.say(o.l, now, id, httpAnswer(body))
}

// look notes each retry as it comes to be due, and has discovery come back near one, or move before it.
func (o *outage) look(now int64) {
	again := o.l.discovery.retryTimer
	if again == nil || again == o.again || again.index < 0 {
		return
	}
	if o.again = again; now < downFrom {
		return
	}
	o.failed++
	if o.failed == o.moves {
		o.moved = max(now, again.at-offset)
	}
	if o.failed == o.retry {
		o.back = max(now, again.at+o.shift)
	}
}

// move is SIGHUP with another address of discovery.
func (o *outage) move(now int64) {
	config := *o.l.config
	config.Discovery = "disco 2"
	o.l.Step(now, ConfigReloaded{Config: &config})
	if o.movers {
		o.back = now
	}
	o.moved = never
}

// TestNotification: discovery fails in each way and comes back just before or just after each of the limiter's first
// retries, with news that it has had for long. The news is acted on within 6 s of the return, at each place; where
// lists are pushed, within the grace from the agent's return, or when the call that the agent has left unanswered is
// given up.
func TestNotification(t *testing.T) {
	const places, retries = 24, 6
	log.SetOutput(io.Discard)
	t.Cleanup(func() { log.SetOutput(os.Stderr) })
	for _, every := range []int64{10 * second, 0} {
		for f := refusing; f <= hanging; f++ {
			slowest := int64(0)
			for position := range places {
				for retry := range retries {
					for _, shift := range []int64{-offset, second / 1000, offset} {
						o := outageOf(t, every, position)
						o.fault, o.retry, o.shift = f, retry, shift
						at := o.play()
						told, by := o.back+6*second, o.back+outageGrace
						if every > 0 || f == unanswering || f >= stopping {
							by = told // the agent is silent
						}
						// the first watch fell silent, and no call has failed
						if retry == 0 && f == ignoring && every > 0 {
							by = downFrom + 12*second
						}
						require.LessOrEqual(
							t,
							at,
							by,
							"%s, asked every %d s, limiter %d, back %d ns from retry %d, at %d",
							f,
							every/second,
							position,
							shift,
							retry,
							o.back,
						)
						slowest = max(slowest, at-o.back)
					}
				}
			}
			t.Logf("%s, asked every %d s: at most %.3f s after the return", f, every/second, float64(slowest)/1e9)
		}
	}
}

// TestNotificationMoved: the same with a move by SIGHUP in the middle of the outage. Where the new address is not down
// its news is acted on within 4 s of the move; where it is, within 6 s of the return.
func TestNotificationMoved(t *testing.T) {
	const places, retries = 24, 4
	log.SetOutput(io.Discard)
	t.Cleanup(func() { log.SetOutput(os.Stderr) })
	for _, every := range []int64{10 * second, 0} {
		for f := refusing; f <= hanging; f++ {
			for position := range places {
				for moves := 1; moves < retries; moves++ {
					o := outageOf(t, every, position)
					o.fault, o.retry, o.moves, o.movers = f, -1, moves, true
					at := o.play()
					require.LessOrEqual(
						t,
						at,
						o.back+4*second,
						"%s, asked every %d s, limiter %d, moved before retry %d at %d",
						f,
						every/second,
						position,
						moves,
						o.back,
					)
					for retry := moves + 1; retry <= retries; retry++ {
						for _, shift := range []int64{-offset, offset} {
							o := outageOf(t, every, position)
							o.fault, o.retry, o.shift, o.moves = f, retry, shift, moves
							at := o.play()
							require.LessOrEqual(
								t,
								at,
								o.back+6*second,
								"%s, asked every %d s, limiter %d, moved before retry %d, back at %d",
								f,
								every/second,
								position,
								moves,
								o.back,
							)
						}
					}
				}
			}
		}
	}
}

// outageOf is an outage before one of 24 limiters.
func outageOf(t *testing.T, every int64, position int) *outage {
	t.Helper()
	l, w := newPollingLimiter(t, every, 0)
	l.discovery.pacer = pollpacer.New(0, l.settings.DialTimeout, position, every)
	return &outage{l: l, w: w, open: map[ConnID]*held{discoveryConn: {}}, last: counterConnID}
}

// budgeted is an outage before a limiter whose operator states what the list service bears: one of so many places in a
// round.
func budgeted(t *testing.T, limiters, position int, round int64) *outage {
	t.Helper()
	made, w := newPollingLimiter(t, 10*second, position)
	made.settings.Limiters = limiters
	*w = fakeSockets{dialed: map[ConnID]string{}, wrote: map[ConnID]string{}, kernel: map[ConnID]int64{}}
	l, err := NewWithOptions(
		0,
		made.config,
		OperatorOptions{DiscoveryCallRate: float64(limiters) * 1e9 / float64(round)},
		w,
	)
	require.NoError(t, err)
	w.limiter = l
	return &outage{l: l, w: w, open: map[ConnID]*held{}}
}

// TestNotificationBudget: the same where the operator states a budget that is enough: a limiter that calls at its own
// instants only acts on the news within 6 s of the return, whatever failed before.
func TestNotificationBudget(t *testing.T) {
	const places, retries = 24, 5
	log.SetOutput(io.Discard)
	t.Cleanup(func() { log.SetOutput(os.Stderr) })
	for _, round := range []int64{5 * second, 2 * second} {
		for f := refusing; f <= hanging; f++ {
			slowest := int64(0)
			for position := range places {
				for retry := range retries {
					for _, shift := range []int64{-offset, second / 1000, offset} {
						o := budgeted(t, places, position, round)
						o.fault, o.retry, o.shift = f, retry, shift
						at := o.play()
						by := o.back + 6*second
						// the first watch may have fallen silent, and no call has failed
						if retry == 0 && f >= ignoring && !o.ended {
							by = o.back + 12*second
						}
						require.LessOrEqual(
							t,
							at,
							by,
							"%s, a round of %d s, limiter %d, back %d ns from retry %d, at %d",
							f,
							round/second,
							position,
							shift,
							retry,
							o.back,
						)
						slowest = max(slowest, at-o.back)
					}
				}
			}
			t.Logf("%s, a round of %d s: at most %.3f s after the return", f, round/second, float64(slowest)/1e9)
		}
	}
}
