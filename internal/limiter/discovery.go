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

var errThrottled = errors.New("discovery throttled the call")

// failureLogInterval is the shortest time between log lines on a failing discovery, nanoseconds.
const failureLogInterval = 1e9

// discoveryClient polls discovery for the endpoint list over one connection.
type discoveryClient struct {
	limiter          *Limiter
	conn             *conn
	version          int64
	completeLists    int64  // complete lists that were applied
	versionKnown     bool   // discovery knows the version of the present list, so that a watch for changes is enough
	responseTimer    *timer // when the outstanding call is given up
	responseReceived bool   // the connection has brought a response
	retryTimer       *timer // when to connect or call again; nil before the first wait
	pacer            *pollpacer.Pacer
	lastFailure      pollpacer.Failure  // how the latest call without a list ended
	revalidating     bool               // after a suspension: the next watch is answered at once
	partialResponse  bool               // a response has begun and is not complete
	progress         discovery.Progress // of that response
	confirmedAt      int64              // when discovery last sent or confirmed the list; 0 before the first time
	serviceClock     int64              // discovery's clock in the response that is handled, 0 if it has none
	failureLoggedAt  int64              // when a failure was last logged
	// awaitingSlot: the connection is open without an outstanding call; with a call rate the next one waits for its
	// slot.
	awaitingSlot bool
}

// newDiscoveryClient makes the client; start makes its first call.
func newDiscoveryClient(l *Limiter) discoveryClient {
	pacer := pollpacer.New(l.now, l.settings.DialTimeout, max(l.settings.Position, 0), l.settings.PollInterval)
	pacer.SetNotificationBound(l.settings.DrainGrace)
	return discoveryClient{limiter: l, pacer: pacer}
}

// start makes the first call, or schedules it.
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

// restore applies the list of the configuration, which may be out of date. Errors: one that begins with the key, known.
func (d *discoveryClient) restore(text []byte) error {
	if len(text) == 0 || string(text) == "null" {
		return d.restoreList(nil)
	}
	list, err := discovery.DecodeList(text)
	var refused *discovery.ListRefusedError
	if errors.As(err, &refused) && refused.Key == "instances" && refused.Server == "" {
		return d.restoreList(nil) // without servers the limiter starts all the same and asks discovery for the list
	}
	if err != nil {
		return fmt.Errorf("known: %w", err)
	}
	return d.restoreList(list)
}

// restoreList starts with a list, nil for none.
func (d *discoveryClient) restoreList(list *discovery.List) error {
	versionValid := list != nil
	if d.limiter.coldStart != nil {
		list, versionValid = d.limiter.coldStart.chooseList(list)
	}
	if list != nil {
		list.Complete = true
		d.versionKnown = versionValid // a complete list costs discovery as much as several watches
		d.applyList(list, coldstart.ListRestored)
	}
	return nil
}

// scheduleSlot makes the next call at this limiter's slot.
func (d *discoveryClient) scheduleSlot() {
	d.limiter.timers.cancel(d.retryTimer)
	if at := d.limiter.coldStart.start.NextSlot(); at > d.limiter.now {
		d.retryTimer = d.limiter.schedule(at, d.onSlot)
		return
	}
	d.onSlot()
}

// onSlot makes the call of a slot, or waits for another slot if this one passed too long ago.
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
	d.progress = discovery.Progress{}
	d.conn = d.limiter.dial(d, d.limiter.config.Discovery, d.pacer.DialTimeout())
}

func (d *discoveryClient) onConnected() { d.poll() }

// poll asks for the complete list if the version is not known, else for changes since the version.
func (d *discoveryClient) poll() {
	l := d.limiter
	var hold, timeout int64
	if !l.coldStart.hasCallRate() {
		hold, timeout = d.pacer.NextPoll(l.now, !d.versionKnown)
	} else {
		d.responseReceived = false
		d.lastFailure = pollpacer.Failed // with slots each call is judged on its own, not each connection
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

// setResponseTimeout sets when the outstanding call is given up, which closes the connection.
func (d *discoveryClient) setResponseTimeout(at int64) {
	d.limiter.timers.cancel(d.responseTimer)
	d.responseTimer = d.limiter.schedule(at, func() { d.limiter.closeConn(d.conn, NoResponse) })
}

// logFailure logs a failure at most once in failureLogInterval: an agent on the same machine is called many times a
// second.
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
	response, n, err := discovery.ReadMore(b, &d.progress)
	if err != nil || n > 0 {
		d.progress = discovery.Progress{}
	}
	if err == nil && n == 0 && len(b) > 0 && !d.partialResponse {
		// The rest should follow at once. A response that stops there would hide changes for the whole hold time.
		d.partialResponse = true
		d.setResponseTimeout(min(d.responseTimer.at, d.limiter.now+d.pacer.PartialResponseTimeout()))
	}
	if err != nil { // a call made again at once would fail again, so it waits as after a failure
		d.logFailure("list-refused", hint.Attrs(err)...)
		d.responseReceived = false
		d.lastFailure = pollpacer.Failed
	}
	if err != nil || n == 0 || response.Status < 200 { // the final response follows one with a status of 1xx
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

// handleResponse handles a complete response. Errors: errThrottled, and those of package discovery.
func (d *discoveryClient) handleResponse(response discovery.Response) (err error) {
	d.responseReceived = true
	if response.Status == http.StatusServiceUnavailable || response.Status == http.StatusTooManyRequests {
		d.logFailure("list-throttled", append([]any{"status", response.Status}, hint.Attrs(response.Err())...)...)
		d.responseReceived = false
		d.lastFailure = pollpacer.Throttled // the list and its version stay valid; the next call asks for changes since
		return errThrottled
	}
	var list *discovery.List
	err = response.Err()
	if err == nil {
		list, err = discovery.DecodeList(response.Body)
	}
	if err != nil {
		// The last valid list stays in use. A call made again at once would fail again.
		d.logFailure("list-refused", hint.Attrs(err)...)
		d.versionKnown = false
		d.responseReceived = false
		d.lastFailure = pollpacer.Failed
		return err
	}
	d.pacer.ResponseReceived(d.limiter.now)
	// A lower version is that of a discovery that began to count anew: changes may be missing, so the complete list is
	// needed.
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

// onClosed reconnects: at once if the connection has brought a response, else after a backoff.
func (d *discoveryClient) onClosed(reason CloseReason, _ int64) {
	d.limiter.timers.cancel(d.responseTimer)
	if d.awaitingSlot {
		d.awaitingSlot = false // a timer for the slot is set already
		return
	}
	if reason == PeerClosed && d.conn.open { // a response without a length ends with the connection
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

// revalidate asks at once what changed during a suspension. Before the first call there is nothing to revalidate.
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

// changeAddress switches to discovery's new address. Versions may differ there, so the complete list is asked for; the
// present one stays in use until it comes.
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
	// The client waits to call the old address. Changes at the new one may count as notified before that wait is over.
	d.limiter.timers.cancel(d.retryTimer)
	if d.limiter.coldStart.hasCallRate() {
		d.scheduleSlot()
		return
	}
	d.connect()
}
