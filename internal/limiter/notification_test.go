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

// fault is a way in which discovery fails during an outage.
type fault uint8

const (
	refusingDials         fault = iota // dials are refused
	ignoringDials                      // dials are never answered
	throttlingCalls                    // calls are answered with 503
	truncatingAnswers                  // the connection is reset in the middle of the answer
	sendingHeadersOnly                 // nothing follows the headers of an answer
	ignoringCalls                      // calls are not answered
	resettingThenIgnoring              // the watch is reset, later calls are not answered
)

func (f fault) String() string {
	return [...]string{
		"dials refused", "dials ignored", "calls throttled", "answers truncated", "headers only", "calls ignored",
		"watch reset, calls ignored",
	}[f]
}

const (
	outageStart = second / 2    // when the outage starts
	retryOffset = second / 10   // how long before or after a retry discovery recovers
	never       = 1000 * second // later than all events of a run
	pushGrace   = second / 4    // how soon a change that the local discovery agent pushes must be applied
)

// outage simulates discovery on a virtual clock. It fails from outageStart until some time near a retry of the limiter,
// and lists its one server as draining from then on. Calls made before the recovery are never answered.
type outage struct {
	l     *Limiter
	w     *fakeSockets
	fault fault
	// retry is the retry, counted from 1, near which discovery recovers. At 0 it recovers retryOffset after the start of
	// the outage, below 0 not by itself.
	retry        int
	shift        int64 // how long after that retry it recovers, negative before it
	changeRetry  int   // the retry before which a reload changes discovery's address, 0 for never
	newAddressUp bool  // the new address works at once
	recoveredAt  int64
	changeAt     int64
	retriesSeen  int    // how many retries were scheduled since the outage started
	latestRetry  *timer // the timer of the latest retry
	last         ConnID // the latest dial that was handled
	serviceConns map[ConnID]*serviceConn
	endedWatch   bool // the start of the outage closed a watch
}

// run runs the limiter until it has applied the change to draining, and returns when it did; never if it did not.
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

// isDown tells whether discovery fails at a time.
func (o *outage) isDown(now int64) bool { return now >= outageStart && now < o.recoveredAt }

// nextEvent returns when the simulated discovery acts next.
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

// connIDs returns the open connections in the order of their ids.
func (o *outage) connIDs() (connIDs []ConnID) {
	for id := range o.serviceConns {
		if !slices.Contains(o.w.closed, id) {
			connIDs = append(connIDs, id)
		}
	}
	slices.Sort(connIDs)
	return connIDs
}

// answerDials accepts, refuses or ignores the new dials.
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

// failWatch ends the watch that is open when the outage starts: with a reset, or with the fault's answer if it has one.
func (o *outage) failWatch(now int64) {
	for _, id := range o.connIDs() {
		if o.serviceConns[id].answerAt = 0; o.fault == refusingDials || o.fault == ignoringDials ||
			o.fault == resettingThenIgnoring {
			delete(o.serviceConns, id)
			o.endedWatch = true
			o.l.Step(now, ConnClosed{Conn: id, Reason: PeerReset})
		} else {
			o.failCall(now, id)
		}
	}
}

// failCall answers a call according to the fault.
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

// serve reads a call and answers calls that are due.
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

// observeRetry counts the retries as they are scheduled and sets the recovery or the change of address relative to
// them.
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

// changeAddress reloads the configuration with another address of discovery.
func (o *outage) changeAddress(now int64) {
	config := *o.l.config
	config.Discovery = "disco 2"
	o.l.Step(now, ConfigReloaded{Config: &config})
	if o.newAddressUp {
		o.recoveredAt = now
	}
	o.changeAt = never
}

// TestNotification: discovery fails in each way and recovers just before or after each of the limiter's first retries,
// with a change that is already due. Each limiter must apply the change within 6 s of the recovery. Where changes are
// pushed it is applied within pushGrace of the recovery, or within 6 s if the agent had left a dial or call unanswered.
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
							limit = pollLimit // the agent does not answer
						}
						// the first watch is not answered, and no call has failed
						if retry == 0 && f == ignoringCalls && pollInterval > 0 {
							limit = outageStart + 12*second
						}
						require.LessOrEqual(
							t,
							at,
							limit,
							"%s, polled every %d s, limiter %d, recovered %d ns from retry %d, at %d",
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
			t.Logf("%s, polled every %d s: at most %.3f s after the recovery", f, pollInterval/second, float64(slowest)/1e9)
		}
	}
}

// TestNotificationAfterAddressChange: the same with a change of discovery's address during the outage. If the new
// address works, the change is applied within 4 s of the change of address, otherwise within 6 s of the recovery.
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
						"%s, polled every %d s, limiter %d, address changed before retry %d at %d",
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
								"%s, polled every %d s, limiter %d, address changed before retry %d, recovered at %d",
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

// newOutage returns an outage for the limiter at the given position. A poll interval of 0 means pushed changes.
func newOutage(t *testing.T, pollInterval int64, position int) *outage {
	t.Helper()
	l, w := newPollingLimiter(t, pollInterval, 0)
	l.discovery.pacer = pollpacer.New(0, l.settings.DialTimeout, position, pollInterval)
	return &outage{l: l, w: w, serviceConns: map[ConnID]*serviceConn{discoveryConn: {}}, last: counterConnID}
}

// newOutageWithCallRate returns an outage for a limiter whose operator sets discovery's call rate, so that each limiter
// has one scheduled poll in each round. round is in nanoseconds.
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

// TestNotificationWithCallRate: the same with a sufficient call rate set by the operator. A limiter polls only at its
// scheduled times and still applies the change within 6 s of the recovery, whatever failed before.
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
						// the first watch may not be answered, and no call has failed
						if retry == 0 && f >= ignoringCalls && !o.endedWatch {
							limit = o.recoveredAt + 12*second
						}
						require.LessOrEqual(
							t,
							at,
							limit,
							"%s, rounds of %d s, limiter %d, recovered %d ns from retry %d, at %d",
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
			t.Logf("%s, rounds of %d s: at most %.3f s after the recovery", f, round/second, float64(slowest)/1e9)
		}
	}
}
