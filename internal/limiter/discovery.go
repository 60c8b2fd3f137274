package limiter

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http"

	"ospreycroft/internal/coldstart"
	"ospreycroft/internal/discovery"
	"ospreycroft/internal/hint"
	"ospreycroft/internal/pollpacer"
)

var errThrottled = errors.New("discovery has turned the call away")

// failureLogInterval is how far apart lines on a failing discovery are in the log, nanoseconds.
const failureLogInterval = 1e9

// discoveryClient is the connection to discovery.
type discoveryClient struct {
	limiter          *Limiter
	conn             *conn
	version          int64
	completeLists    int64  // whole lists that were taken in
	versionKnown     bool   // a list is held whose version discovery knows: what is newer is enough
	responseTimer    *timer // until when the call that is out must be answered
	responseReceived bool   // the connection has brought an answer
	retryTimer       *timer // when it is dialled next, while it waits for that
	pacer            *pollpacer.Pacer
	lastFailure      pollpacer.Failure // how the latest call ended, where it brought no list
	revalidating     bool              // the process stood still: what there is has to be told at once
	partialResponse  bool              // an answer has begun
	confirmedAt      int64             // when the latest list, or word that nothing has changed, came; 0 before the first
	serviceClock     int64             // the list service's clock in the answer that is taken, 0 where it does not tell
	failureLoggedAt  int64             // when a failure was last logged
	// no call is out on the connection: with a stated budget the next one goes out at its time
	awaitingSlot bool
}

// newDiscoveryClient makes the client, which makes its first call in start.
func newDiscoveryClient(l *Limiter) discoveryClient {
	pacer := pollpacer.New(l.now, l.settings.DialTimeout, max(l.settings.Position, 0), l.settings.PollInterval)
	pacer.SetNotificationBound(l.settings.DrainGrace)
	return discoveryClient{limiter: l, pacer: pacer}
}

// start makes the first call, or plans it.
func (d *discoveryClient) start() {
	if d.limiter.coldStart.hasCallRate() {
		d.scheduleSlot()
		return
	}
	delay := d.pacer.FirstDelay()
	if delay > 0 && d.versionKnown {
		d.retryTimer = d.limiter.schedule(d.limiter.now+delay, d.connect)
		return
	}
	d.connect()
}

// restore takes the list of the configuration, which may be old.
func (d *discoveryClient) restore(text []byte) error {
	if len(text) == 0 || string(text) == "null" {
		return d.restoreList(nil)
	}
	list, err := discovery.DecodeList(text)
	var refused *discovery.ListRefusedError
	if errors.As(err, &refused) && refused.Key == "instances" && refused.Server == "" {
		return d.restoreList(nil) // no server is known yet, which ends no start: discovery is asked
	}
	if err != nil {
		return fmt.Errorf("known: %w", err)
	}
	return d.restoreList(list)
}

// restoreList begins with a list, nil for none.
func (d *discoveryClient) restoreList(list *discovery.List) error {
	versionValid := list != nil
	if d.limiter.coldStart != nil {
		list, versionValid = d.limiter.coldStart.chooseList(list)
	}
	if list != nil {
		list.Complete = true
		d.versionKnown = versionValid // what is newer is enough: a whole list costs discovery as much as several watches
		d.applyList(list, coldstart.ListRestored)
	}
	return nil
}

// scheduleSlot makes the next call when a stated budget allows it.
func (d *discoveryClient) scheduleSlot() {
	d.limiter.timers.cancel(d.retryTimer)
	if at := d.limiter.coldStart.start.NextSlot(); at > d.limiter.now {
		d.retryTimer = d.limiter.schedule(at, d.onSlot)
		return
	}
	d.onSlot()
}

// onSlot: it is time for a call, or long past it.
func (d *discoveryClient) onSlot() {
	if d.limiter.coldStart.start.MissedSlot(d.limiter.now) {
		d.limiter.coldStart.step(coldstart.Event{Kind: coldstart.SlotMissed})
		d.scheduleSlot()
		return
	}
	d.limiter.coldStart.step(coldstart.Event{Kind: coldstart.CallMade})
	if d.awaitingSlot {
		d.awaitingSlot = false
		d.poll()
		return
	}
	d.connect()
}

func (d *discoveryClient) connect() {
	d.responseReceived = false
	d.lastFailure = pollpacer.Failed
	d.conn = d.limiter.dial(d, d.limiter.config.Discovery, d.pacer.DialTimeout())
}

func (d *discoveryClient) onConnected() { d.poll() }

// poll calls for the whole list first and then waits for what is newer.
func (d *discoveryClient) poll() {
	l := d.limiter
	var hold, timeout int64
	if !l.coldStart.hasCallRate() {
		hold, timeout = d.pacer.NextPoll(l.now, !d.versionKnown)
	} else {
		d.responseReceived = false
		d.lastFailure = pollpacer.Failed // each call counts for itself
		if d.versionKnown {
			hold, _ = l.coldStart.start.HoldTime(l.now)
		}
		timeout = l.coldStart.start.ResponseTimeout(l.now, hold)
	}
	l.coldStart.pollMade()
	if d.revalidating && hold > 0 {
		hold, timeout = 1e6, timeout-hold
	}
	if d.versionKnown {
		l.scratch.write = discovery.AppendWatch(l.scratch.write[:0], l.config.Discovery, d.version, hold)
	} else {
		l.scratch.write = discovery.AppendFetch(l.scratch.write[:0], l.config.Discovery)
	}
	l.write(d.conn, l.scratch.write)
	d.partialResponse = false
	d.setResponseTimeout(l.now + timeout)
}

// setResponseTimeout gives the call that is out up at a time.
func (d *discoveryClient) setResponseTimeout(at int64) {
	d.limiter.timers.cancel(d.responseTimer)
	d.responseTimer = d.limiter.schedule(at, func() { d.limiter.closeConn(d.conn, NoResponse) })
}

// logFailure logs a failure, if none was lately: an agent on the own machine is asked again many times a second.
func (d *discoveryClient) logFailure(event string, attrs ...any) {
	if d.failureLoggedAt == 0 || d.limiter.now-d.failureLoggedAt >= failureLogInterval {
		d.failureLoggedAt = d.limiter.now
		slog.Warn(event, attrs...)
	}
}

func (d *discoveryClient) onData(b []byte) (int, error) {
	if d.awaitingSlot && len(b) > 0 {
		return 0, errUnexpectedResponse
	}
	response, n, err := discovery.ReadResponse(b)
	if err == nil && n == 0 && len(b) > 0 && !d.partialResponse {
		// The rest of an answer is right behind; one that stops there would hide its news for the whole wait.
		d.partialResponse = true
		d.setResponseTimeout(min(d.responseTimer.at, d.limiter.now+d.pacer.PartialResponseTimeout()))
	}
	if err != nil { // asked at once again, it would be as bad
		d.logFailure("list-refused", hint.Attrs(err)...)
		d.responseReceived = false
		d.lastFailure = pollpacer.Failed
	}
	if err != nil || n == 0 || response.Status < 200 { // the answer itself comes behind a status of 1xx
		return n, err
	}
	err = d.handleResponse(response)
	if err != nil {
		return 0, err
	}
	if response.CloseAfter {
		d.limiter.closeConn(d.conn, IdleClosed)
	} else if d.limiter.coldStart.hasCallRate() {
		d.limiter.timers.cancel(d.responseTimer)
		d.awaitingSlot = true
		d.scheduleSlot()
	} else {
		d.poll()
	}
	return n, nil
}

// handleResponse takes a whole answer: a list, or word that there is none.
func (d *discoveryClient) handleResponse(response discovery.Response) (err error) {
	d.responseReceived = true
	if response.Status == http.StatusServiceUnavailable || response.Status == http.StatusTooManyRequests {
		d.logFailure("list-throttled", append([]any{"status", response.Status}, hint.Attrs(response.Err())...)...)
		d.responseReceived = false
		d.lastFailure = pollpacer.Throttled // what is held stays, and what is newer than that is asked for again
		return errThrottled
	}
	var list *discovery.List
	err = response.Err()
	if err == nil {
		list, err = discovery.DecodeList(response.Body)
	}
	if err != nil {
		// The last good list stays. Asked at once again, it would be as bad.
		d.logFailure("list-refused", hint.Attrs(err)...)
		d.versionKnown = false
		d.responseReceived = false
		d.lastFailure = pollpacer.Failed
		return err
	}
	d.pacer.ResponseReceived(d.limiter.now)
	// One that counts from anew behind the same address may hold what was never told here.
	d.versionKnown = list.Complete || list.Version >= d.version
	d.serviceClock = response.Date
	d.applyList(list, coldstart.ListReceived)
	d.confirmedAt = d.limiter.now
	if d.revalidating {
		d.revalidating = false
		d.limiter.markListCurrent()
	}
	if d.limiter.coldStart == nil {
		d.limiter.checkReady()
	}
	return nil
}

// onClosed renews the connection: at once where it has served, else when the pace allows it.
func (d *discoveryClient) onClosed(reason CloseReason, _ int64) {
	d.limiter.timers.cancel(d.responseTimer)
	if d.awaitingSlot {
		d.awaitingSlot = false // its next call waits for its time already
		return
	}
	if reason == PeerClosed && d.conn.open { // an answer without response length is whole only now
		if response, n, err := discovery.ReadClosedResponse(d.conn.input.Bytes()); err == nil && n > 0 {
			_ = d.handleResponse(response)
		}
	}
	if !d.responseReceived {
		d.limiter.coldStart.pollFailed(d.lastFailure)
	} else if reason != IdleClosed {
		d.pacer.ConnectionLost(d.limiter.now)
	}
	if d.limiter.coldStart.hasCallRate() {
		d.scheduleSlot()
		return
	}
	if !d.responseReceived {
		d.retryTimer = d.limiter.schedule(d.limiter.now+d.pacer.RetryDelay(d.limiter.now, d.lastFailure), d.connect)
		return
	}
	d.connect()
}

// revalidate asks at once what has changed. Before the first call of all there is nothing to ask anew.
func (d *discoveryClient) revalidate() {
	if d.conn == nil {
		return
	}
	d.revalidating = true
	if d.limiter.conns[d.conn.id] == d.conn {
		d.responseReceived = true
		d.limiter.closeConn(d.conn, IdleClosed)
		return
	}
	d.limiter.timers.cancel(d.retryTimer)
	d.connect()
}

// changeAddress goes to discovery's new address, which may count its lists otherwise: the whole of it is asked for there,
// and the last good one holds meanwhile.
func (d *discoveryClient) changeAddress() {
	d.versionKnown = false
	d.pacer.ServiceMoved(d.limiter.now)
	if d.limiter.coldStart != nil {
		d.limiter.coldStart.step(coldstart.Event{Kind: coldstart.DiscoveryMoved})
	}
	if d.limiter.coldStart.hasCallRate() {
		d.awaitingSlot = false
		d.limiter.timers.cancel(d.retryTimer)
	}
	if d.conn != nil && d.limiter.conns[d.conn.id] == d.conn {
		d.responseReceived = true
		d.limiter.closeConn(d.conn, IdleClosed)
		return
	}
	// It waits for its turn at the old address. What the new one has to tell counts as notified before that may be
	// over.
	d.limiter.timers.cancel(d.retryTimer)
	if d.limiter.coldStart.hasCallRate() {
		d.scheduleSlot()
		return
	}
	d.connect()
}
