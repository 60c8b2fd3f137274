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
	refusingDials         fault = iota // dials are refused
	ignoringDials                      // dials are never answered
	throttlingCalls                    // calls are answered with 503
	truncatingAnswers                  // answers are broken off in the middle
	sendingHeadersOnly                 // answers stop behind their headers
	ignoringCalls                      // calls are not answered, until the limiter gives them up
	resettingThenIgnoring              // the watch is broken off, and then calls are not answered
)

func (f fault) String() string {
	return [...]string{"refusing", "unanswering", "turning", "cutting", "stopping", "ignoring", "hanging"}[f]
}

const (
	outageStart = second / 2 // when the outage begins
	retryOffset = second / 10
	never       = 1000 * second
	pushGrace   = second / 4 // what the agent on the own machine has is acted on within this
)

// outage is a stand-in for discovery on a virtual clock. It fails from downFrom until some time near a retry of the
// limiter, and has its one server drain from then on. Calls from before that are never answered.
type outage struct {
	l     *Limiter
	w     *fakeSockets
	fault fault
	// the retry, counted from 1, near which discovery comes back; 0 is soon after the outage began, below 0 none
	retry        int
	shift        int64 // so long after that retry is due it does, where above 0, or before it
	changeRetry  int   // the retry before which discovery moves by SIGHUP, 0 for never
	newAddressUp bool  // and the new address is not down
	recoveredAt  int64
	changeAt     int64
	retriesSeen  int    // retries that have come to be due
	latestRetry  *timer // the latest of them
	last         ConnID // the latest connection that was looked at
	serviceConns map[ConnID]*serviceConn
	endedWatch   bool // the outage has ended a watch
}

// run runs the limiter until it has acted on the drain, and tells when that was.
func (o *outage) run() int64 {
	o.recoveredAt, o.changeAt = never, never
	if o.retry == 0 {
		o.recoveredAt = outageStart + retryOffset
	}
	started := false
	for now := int64(0); now < never; now = max(now, min(o.w.timerAt, o.nextEvent(now))) {
		o.l.Step(now, TimersDue{})
		if now >= o.changeAt {
			o.changeAddress(now)
		}
		o.answerDials(now)
		if now >= outageStart && !started {
			started = true
			o.failWatch(now)
		}
		for _, id := range o.connIDs() {
			o.serve(now, id)
		}
		o.answerDials(now)
		o.observeRetry(now)
		if o.l.servers.pools["s"] == nil || o.l.servers.pools["s"].draining {
			return now
		}
	}
	return never
}

func (o *outage) isDown(now int64) bool { return now >= outageStart && now < o.recoveredAt }

// nextEvent is when the stand-in has something to do.
func (o *outage) nextEvent(now int64) int64 {
	at := never
	for _, t := range []int64{outageStart, o.recoveredAt, o.changeAt} {
		if t > now {
			at = min(at, t)
		}
	}
	for _, id := range o.connIDs() {
		if h := o.serviceConns[id]; h.answerAt > now {
			at = min(at, h.answerAt)
		}
	}
	return at
}

// connIDs are the connections that are up, in order.
func (o *outage) connIDs() (connIDs []ConnID) {
	for id := range o.serviceConns {
		if !slices.Contains(o.w.closed, id) {
			connIDs = append(connIDs, id)
		}
	}
	slices.Sort(connIDs)
	return connIDs
}

// answerDials answers the dials.
func (o *outage) answerDials(now int64) {
	for o.last < o.w.last {
		o.last++
		switch id := o.last; {
		case !strings.HasPrefix(o.w.dialed[id], "disco"):
		case o.isDown(now) && o.fault == refusingDials:
			o.l.Step(now, ConnClosed{Conn: id, Reason: ConnRefused})
		case o.isDown(now) && o.fault == ignoringDials:
		default:
			o.serviceConns[id] = &serviceConn{}
			o.l.Step(now, Connected{Conn: id})
		}
	}
}

// failWatch ends the watch that is out as the outage begins, where the fault does not answer it.
func (o *outage) failWatch(now int64) {
	for _, id := range o.connIDs() {
		if o.serviceConns[id].answerAt = 0; o.fault == refusingDials || o.fault == ignoringDials || o.fault == resettingThenIgnoring {
			delete(o.serviceConns, id)
			o.endedWatch = true
			o.l.Step(now, ConnClosed{Conn: id, Reason: PeerReset})
		} else {
			o.failCall(now, id)
		}
	}
}

// failCall answers a call as the fault has it.
func (o *outage) failCall(now int64, id ConnID) {
	switch answer := httpAnswer(inServiceList); o.fault {
	case throttlingCalls:
		o.w.receive(o.l, now, id, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	case truncatingAnswers:
		o.w.receive(o.l, now, id, answer[:len(answer)-20])
		delete(o.serviceConns, id)
		o.l.Step(now, ConnClosed{Conn: id, Reason: PeerReset})
	case sendingHeadersOnly:
		o.w.receive(o.l, now, id, answer[:strings.Index(answer, "\r\n\r\n")+4])
	}
}

func (o *outage) serve(now int64, id ConnID) {
	h := o.serviceConns[id]
	if request := o.w.wrote[id][h.readBytes:]; request != "" {
		h.readBytes = len(o.w.wrote[id])
		if o.isDown(now) {
			o.failCall(now, id)
			return
		}
		h.answerAt = max(now, retryOffset)
		if match := watchQuery.FindStringSubmatch(request); match != nil && now > 0 {
			hold, _ := strconv.ParseInt(match[2], 10, 64)
			h.answerAt = now + hold*1e6
		}
		h.awaitsChange = true
	}
	if changed := now >= o.recoveredAt && h.awaitsChange; h.answerAt == 0 || now < h.answerAt && !changed {
		return
	}
	h.answerAt, h.awaitsChange = 0, false
	body := `{"generation":7,"instances":[]}`
	if now >= o.recoveredAt {
		body = drainingList
	}
	o.w.receive(o.l, now, id, httpAnswer(body))
}

// observeRetry notes each retry as it comes to be due, and has discovery come back near one, or move before it.
func (o *outage) observeRetry(now int64) {
	latestRetry := o.l.discovery.retryTimer
	if latestRetry == nil || latestRetry == o.latestRetry || latestRetry.index < 0 {
		return
	}
	if o.latestRetry = latestRetry; now < outageStart {
		return
	}
	o.retriesSeen++
	if o.retriesSeen == o.changeRetry {
		o.changeAt = max(now, latestRetry.at-retryOffset)
	}
	if o.retriesSeen == o.retry {
		o.recoveredAt = max(now, latestRetry.at+o.shift)
	}
}

// changeAddress is SIGHUP with another address of discovery.
func (o *outage) changeAddress(now int64) {
	config := *o.l.config
	config.Discovery = "disco 2"
	o.l.Step(now, ConfigReloaded{Config: &config})
	if o.newAddressUp {
		o.recoveredAt = now
	}
	o.changeAt = never
}

// TestNotification: discovery fails in each way and comes back just before or just after each of the limiter's first
// retries, with news that it has had for long. The news is acted on within 6 s of the return, at each place; where
// lists are pushed, within the grace from the agent's return, or when the call that the agent has left unanswered is
// given up.
func TestNotification(t *testing.T) {
	const places, retries = 24, 6
	log.SetOutput(io.Discard)
	t.Cleanup(func() { log.SetOutput(os.Stderr) })
	for _, pollInterval := range []int64{10 * second, 0} {
		for f := refusingDials; f <= resettingThenIgnoring; f++ {
			slowest := int64(0)
			for position := range places {
				for retry := range retries {
					for _, shift := range []int64{-retryOffset, second / 1000, retryOffset} {
						o := newOutage(t, pollInterval, position)
						o.fault, o.retry, o.shift = f, retry, shift
						at := o.run()
						pollLimit, limit := o.recoveredAt+6*second, o.recoveredAt+pushGrace
						if pollInterval > 0 || f == ignoringDials || f >= sendingHeadersOnly {
							limit = pollLimit // the agent is silent
						}
						// the first watch fell silent, and no call has failed
						if retry == 0 && f == ignoringCalls && pollInterval > 0 {
							limit = outageStart + 12*second
						}
						require.LessOrEqual(
							t,
							at,
							limit,
							"%s, asked every %d s, limiter %d, back %d ns from retry %d, at %d",
							f,
							pollInterval/second,
							position,
							shift,
							retry,
							o.recoveredAt,
						)
						slowest = max(slowest, at-o.recoveredAt)
					}
				}
			}
			t.Logf("%s, asked every %d s: at most %.3f s after the return", f, pollInterval/second, float64(slowest)/1e9)
		}
	}
}

// TestNotificationAfterAddressChange: the same with a move by SIGHUP in the middle of the outage. Where the new address is not down
// its news is acted on within 4 s of the move; where it is, within 6 s of the return.
func TestNotificationAfterAddressChange(t *testing.T) {
	const places, retries = 24, 4
	log.SetOutput(io.Discard)
	t.Cleanup(func() { log.SetOutput(os.Stderr) })
	for _, pollInterval := range []int64{10 * second, 0} {
		for f := refusingDials; f <= resettingThenIgnoring; f++ {
			for position := range places {
				for changeRetry := 1; changeRetry < retries; changeRetry++ {
					o := newOutage(t, pollInterval, position)
					o.fault, o.retry, o.changeRetry, o.newAddressUp = f, -1, changeRetry, true
					at := o.run()
					require.LessOrEqual(
						t,
						at,
						o.recoveredAt+4*second,
						"%s, asked every %d s, limiter %d, moved before retry %d at %d",
						f,
						pollInterval/second,
						position,
						changeRetry,
						o.recoveredAt,
					)
					for retry := changeRetry + 1; retry <= retries; retry++ {
						for _, shift := range []int64{-retryOffset, retryOffset} {
							o := newOutage(t, pollInterval, position)
							o.fault, o.retry, o.shift, o.changeRetry = f, retry, shift, changeRetry
							at := o.run()
							require.LessOrEqual(
								t,
								at,
								o.recoveredAt+6*second,
								"%s, asked every %d s, limiter %d, moved before retry %d, back at %d",
								f,
								pollInterval/second,
								position,
								changeRetry,
								o.recoveredAt,
							)
						}
					}
				}
			}
		}
	}
}

// newOutage is an outage before one of 24 limiters.
func newOutage(t *testing.T, pollInterval int64, position int) *outage {
	t.Helper()
	l, w := newPollingLimiter(t, pollInterval, 0)
	l.discovery.pacer = pollpacer.New(0, l.settings.DialTimeout, position, pollInterval)
	return &outage{l: l, w: w, serviceConns: map[ConnID]*serviceConn{discoveryConn: {}}, last: counterConnID}
}

// newOutageWithCallRate is an outage before a limiter whose operator states what the list service bears: one of so many places in a
// round.
func newOutageWithCallRate(t *testing.T, limiters, position int, round int64) *outage {
	t.Helper()
	template, w := newPollingLimiter(t, 10*second, position)
	template.settings.Limiters = limiters
	*w = fakeSockets{dialed: map[ConnID]string{}, wrote: map[ConnID]string{}, kernelAccepted: map[ConnID]int64{}}
	l, err := NewWithOptions(
		0,
		template.config,
		OperatorOptions{DiscoveryCallRate: float64(limiters) * 1e9 / float64(round)},
		w,
	)
	require.NoError(t, err)
	w.limiter = l
	return &outage{l: l, w: w, serviceConns: map[ConnID]*serviceConn{}}
}

// TestNotificationWithCallRate: the same where the operator states a budget that is enough: a limiter that calls at its own
// instants only acts on the news within 6 s of the return, whatever failed before.
func TestNotificationWithCallRate(t *testing.T) {
	const places, retries = 24, 5
	log.SetOutput(io.Discard)
	t.Cleanup(func() { log.SetOutput(os.Stderr) })
	for _, round := range []int64{5 * second, 2 * second} {
		for f := refusingDials; f <= resettingThenIgnoring; f++ {
			slowest := int64(0)
			for position := range places {
				for retry := range retries {
					for _, shift := range []int64{-retryOffset, second / 1000, retryOffset} {
						o := newOutageWithCallRate(t, places, position, round)
						o.fault, o.retry, o.shift = f, retry, shift
						at := o.run()
						limit := o.recoveredAt + 6*second
						// the first watch may have fallen silent, and no call has failed
						if retry == 0 && f >= ignoringCalls && !o.endedWatch {
							limit = o.recoveredAt + 12*second
						}
						require.LessOrEqual(
							t,
							at,
							limit,
							"%s, a round of %d s, limiter %d, back %d ns from retry %d, at %d",
							f,
							round/second,
							position,
							shift,
							retry,
							o.recoveredAt,
						)
						slowest = max(slowest, at-o.recoveredAt)
					}
				}
			}
			t.Logf("%s, a round of %d s: at most %.3f s after the return", f, round/second, float64(slowest)/1e9)
		}
	}
}
